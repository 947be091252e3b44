//! A controller with the state of a large deployment, and a state service that answers
//! immediately.

mod state_service;

use serde_json::{Value, json};
use std::collections::BTreeMap;
use sumacbend::Now;
use sumacbend::controller::{Controller, Input, Output};
use sumacbend::peers::Message;
use sumacbend::policy::Policy;
use sumacbend::settings::Settings;
use sumacbend::store::{JobKey, Keys};
use sumacbend::wire::{Catalogue, JobSpec, MachineType, Report, TaskReport, TaskState};

/// The number of machines of the deployment.
pub const MACHINES: usize = 2_000;
/// The number of unfinished jobs of the deployment.
pub const JOBS: usize = 400;
/// The number of tasks of each job, of which some are open and the others have not started. All of
/// them are in one chunk.
pub const TASKS_PER_JOB: u32 = 45;
/// The number of open tasks on each machine.
pub const TASKS_PER_MACHINE: usize = 4;
/// The number of machines in an inventory group.
const MACHINES_PER_GROUP: usize = 64;
/// The time on the monotonic clock at which the controller starts, in milliseconds.
const START_MS: u64 = 1_000_000;
/// The term of the leader. It is the first, because the stored keys contain no earlier term.
pub const TERM: u64 = 1;

const SETTINGS: &str = include_str!("../../../tests/support/fleet_settings.toml");

/// Returns the settings of the controller.
pub fn settings() -> Settings {
    Settings::parse(SETTINGS).expect("valid settings")
}

/// Returns a catalogue with the only machine type of the deployment.
pub fn catalogue() -> Catalogue {
    Catalogue {
        types: vec![MachineType {
            name: "pantry-rack".into(),
            cpus: 16.0,
            gpus: 0.0,
            memory_gb: 64.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: Some(0.5),
            boot_s: 50.0,
            zones: vec!["north".into(), "south".into()],
        }],
    }
}

/// Returns a job as a user submits it. `priority` is a value of the wire protocol.
pub fn spec(number: usize, priority: &str) -> JobSpec {
    let spec = json!({"id": format!("j-{number:06}"), "lotType": "allergen-labels", "consignor": "red",
        "saleFormat": "array", "bidRank": priority, "lots": TASKS_PER_JOB, "cores": 4.0, "cards": 0.0, "memGb": 4.0,
        "rigs": null, "yard": null, "oneZone": false, "scatter": false, "loaner": true,
        "catalog": format!("img-{:02}", number % 15), "pullGb": 1.0, "appraisedS": 20.0, "tallyS": 0.0,
        "ledgerS": 0.0, "hammerS": null});
    serde_json::from_value(spec).expect("a job")
}

/// Returns the value of the key of an unfinished job.
pub fn job_key(number: usize, priority: &str) -> JobKey {
    JobKey {
        spec: spec(number, priority),
        accepted_ms: 1_700_000_000_000,
        ended: None,
    }
}

/// Returns the name of the machine with this number.
pub fn machine_name(number: usize) -> String {
    format!("host-{number:06}")
}

/// Returns the job's number and the task's index within the job for a slot of a machine. A machine
/// has [`TASKS_PER_MACHINE`] slots, numbered from 0.
fn task_at(machine: usize, slot: usize) -> (usize, u32) {
    let task = machine * TASKS_PER_MACHINE + slot;
    (task % JOBS, (task / JOBS) as u32)
}

/// Returns a report of a machine on which all tasks in its slots are running.
pub fn report(machine: usize, seq: u64) -> Report {
    let tasks = (0..TASKS_PER_MACHINE).map(|slot| {
        let (job, task) = task_at(machine, slot);
        TaskReport {
            task: format!("j-{job:06}/{task}"),
            attempt: u64::from(task) + 1,
            state: TaskState::Running,
            exit_reason: None,
        }
    });
    Report {
        machine: machine_name(machine),
        address: format!("10.1.{}.{}:9000", machine / 250, machine % 250),
        machine_type: "pantry-rack".into(),
        zone: "north".into(),
        spot: true,
        agent_epoch: 1,
        seq,
        fencing_token: TERM,
        notice_s: None,
        tasks: tasks.collect(),
    }
}

/// Returns the keys and values of the deployment in the state service, without a leader's claim.
pub fn stored_entries() -> BTreeMap<String, Value> {
    let keys = Keys::new("pool");
    let mut entries = BTreeMap::from([(keys.catalogue(), json!(catalogue()))]);
    let mut open: BTreeMap<usize, Vec<Value>> = BTreeMap::new();
    for machine in 0..MACHINES {
        for slot in 0..TASKS_PER_MACHINE {
            let (job, task) = task_at(machine, slot);
            let record = json!([task, u64::from(task) + 1, machine_name(machine), 1]);
            open.entry(job).or_default().push(record);
        }
    }
    for job in 0..JOBS {
        let key = job_key(job, "high");
        entries.insert(keys.job(&key.spec.id), json!(key));
        let value = json!({"next": TASKS_PER_JOB + 1, "done": "", "open": open.remove(&job).unwrap_or_default()});
        entries.insert(keys.task_chunk(&key.spec.id, 0), value);
    }
    for group in 0..MACHINES.div_ceil(MACHINES_PER_GROUP) {
        let members = (group * MACHINES_PER_GROUP..MACHINES).take(MACHINES_PER_GROUP);
        let machines: Vec<Value> = members
            .map(|machine| {
                let report = report(machine, 1);
                json!([
                    report.machine,
                    report.machine_type,
                    report.zone,
                    report.spot,
                    report.address
                ])
            })
            .collect();
        entries.insert(
            keys.machine_group(&format!("1-{group}")),
            json!({ "machines": machines }),
        );
    }
    entries
}

/// A controller under test and the state service that it uses.
pub struct Harness {
    /// The controller under test, which leads the shard or is a follower.
    pub controller: Controller,
    /// The keys of the state service with their values and versions.
    entries: BTreeMap<String, (Value, u64)>,
    /// The revision of the last transaction.
    revision: u64,
    /// The time on the monotonic clock, in milliseconds.
    now_ms: u64,
}

impl Harness {
    /// Returns a controller that has read the watched keys. If `peer_leads`, the peer `n1` holds
    /// the claim and the controller is a follower; otherwise the controller leads.
    pub fn new(peer_leads: bool) -> Harness {
        let entries = stored_entries()
            .into_iter()
            .map(|(key, value)| (key, (value, 1)))
            .collect();
        let mut harness = Harness {
            controller: Controller::new(settings(), Policy::default(), 7),
            entries,
            revision: 1,
            now_ms: START_MS,
        };
        if peer_leads {
            let claim = json!({"node": "n1", "life": 3, "term": TERM});
            harness.entries.insert(Keys::new("pool").leader(), (claim, 1));
        }
        while !peer_leads && !harness.controller.leads() {
            harness.heartbeat(None);
            harness.tick_after(50);
        }
        for _ in 0..20 {
            harness.heartbeat(peer_leads.then_some(TERM));
            harness.tick_after(50);
        }
        harness
    }

    /// Passes the controller a heartbeat of the peer `n1`, which leads under `leading_term` if given.
    fn heartbeat(&mut self, leading_term: Option<u64>) {
        let message = Message::Heartbeat {
            node: "n1".into(),
            shard: "pool".into(),
            leading_term,
            store_reachable: true,
        };
        self.step(peer_input(message));
    }

    /// Advances the time by `ms` milliseconds and runs a tick. Returns the number of the
    /// controller's outputs, without requests to the state service.
    pub fn tick_after(&mut self, ms: u64) -> usize {
        self.now_ms += ms;
        self.step(Input::Tick).len()
    }

    /// Passes an input to the controller, then the state service's replies to the requests that
    /// result. Returns all other outputs.
    pub fn step(&mut self, input: Input) -> Vec<Output> {
        let mut other_outputs = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let now = Now {
                monotonic: self.now_ms,
                wall_clock: 1_700_000_000_000 + self.now_ms,
            };
            for output in self.controller.step(now, input) {
                match output {
                    Output::Store { call, request } => {
                        if let Some(reply) = self.reply_to(&request) {
                            inputs.push(Input::Store { call, reply });
                        }
                    }
                    other => other_outputs.push(other),
                }
            }
        }
        other_outputs
    }
}

/// Returns a message of the peer `n1` as an input of the controller.
pub fn peer_input(message: Message) -> Input {
    Input::Peer {
        node: "n1".into(),
        message: Box::new(message),
    }
}
