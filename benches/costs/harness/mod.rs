//! A controller at the size of a grown deployment, with a store that answers at once.

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

pub const MACHINES: usize = 2_000;
pub const JOBS: usize = 400;
pub const TASKS_A_JOB: u32 = 45;
/// Tasks on each machine; each job has one firing that names its open tasks.
pub const TASKS_A_MACHINE: usize = 4;
const MACHINES_A_GROUP: usize = 64;
const START_MS: u64 = 1_000_000;
/// The claim makes it the first term.
pub const TERM: u64 = 1;

const SETTINGS: &str = include_str!("../../../tests/support/fleet_settings.toml");

pub fn settings() -> Settings {
    Settings::parse(SETTINGS).expect("valid settings")
}

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

pub fn spec(number: usize, priority: &str) -> JobSpec {
    let spec = json!({"id": format!("j-{number:06}"), "lotType": "allergen-labels", "consignor": "red",
        "saleFormat": "array", "bidRank": priority, "lots": TASKS_A_JOB, "cores": 4.0, "cards": 0.0, "memGb": 4.0,
        "rigs": null, "yard": null, "oneZone": false, "scatter": false, "loaner": true,
        "catalog": format!("img-{:02}", number % 15), "pullGb": 1.0, "appraisedS": 20.0, "tallyS": 0.0,
        "ledgerS": 0.0, "hammerS": null});
    serde_json::from_value(spec).expect("a job")
}

pub fn job_key(number: usize, priority: &str) -> JobKey {
    JobKey {
        spec: spec(number, priority),
        accepted_ms: 1_700_000_000_000,
        ended: None,
    }
}

pub fn machine_name(number: usize) -> String {
    format!("host-{number:06}")
}

/// The job and task in the given place of a machine.
fn task_at(machine: usize, place: usize) -> (usize, u32) {
    let task = machine * TASKS_A_MACHINE + place;
    (task % JOBS, (task / JOBS) as u32)
}

pub fn report(machine: usize, seq: u64) -> Report {
    let tasks = (0..TASKS_A_MACHINE).map(|place| {
        let (job, task) = task_at(machine, place);
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

/// All keys of a deployment in which each machine runs some tasks.
pub fn stored() -> BTreeMap<String, Value> {
    let keys = Keys::new("pool");
    let mut entries = BTreeMap::from([(keys.catalogue(), json!(catalogue()))]);
    let mut open: BTreeMap<usize, Vec<Value>> = BTreeMap::new();
    for machine in 0..MACHINES {
        for place in 0..TASKS_A_MACHINE {
            let (job, task) = task_at(machine, place);
            let record = json!([task, u64::from(task) + 1, machine_name(machine), 1]);
            open.entry(job).or_default().push(record);
        }
    }
    for job in 0..JOBS {
        let key = job_key(job, "high");
        entries.insert(keys.job(&key.spec.id), json!(key));
        let value = json!({"next": TASKS_A_JOB + 1, "done": "", "open": open.remove(&job).unwrap_or_default()});
        entries.insert(keys.task_chunk(&key.spec.id, 0), value);
    }
    for group in 0..MACHINES.div_ceil(MACHINES_A_GROUP) {
        let members = (group * MACHINES_A_GROUP..MACHINES).take(MACHINES_A_GROUP);
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

/// A controller and the state service it uses.
pub struct Harness {
    pub controller: Controller,
    entries: BTreeMap<String, (Value, u64)>,
    revision: u64,
    now_ms: u64,
}

impl Harness {
    /// A controller that has read the watched keys, and leads if nobody else does.
    pub fn new(other_leads: bool) -> Harness {
        let entries = stored().into_iter().map(|(key, value)| (key, (value, 1))).collect();
        let mut harness = Harness {
            controller: Controller::new(settings(), Policy::default(), 7),
            entries,
            revision: 1,
            now_ms: START_MS,
        };
        if other_leads {
            let claim = json!({"node": "n1", "life": 3, "term": TERM});
            harness.entries.insert(Keys::new("pool").leader(), (claim, 1));
        }
        while !other_leads && !harness.controller.leads() {
            harness.heartbeat(None);
            harness.pass(50);
        }
        for _ in 0..20 {
            harness.heartbeat(other_leads.then_some(TERM));
            harness.pass(50);
        }
        harness
    }

    fn heartbeat(&mut self, leading_term: Option<u64>) {
        let message = Message::Heartbeat {
            node: "n1".into(),
            shard: "pool".into(),
            leading_term,
            store_reachable: true,
        };
        self.step(peer(message));
    }

    /// Time passes, and a tick comes.
    pub fn pass(&mut self, ms: u64) -> usize {
        self.now_ms += ms;
        self.step(Input::Tick).len()
    }

    /// One input, and what the store answers to what it leads to. Gives all else.
    pub fn step(&mut self, input: Input) -> Vec<Output> {
        let mut rest = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let now = Now {
                monotonic: self.now_ms,
                wall_clock: 1_700_000_000_000 + self.now_ms,
            };
            for output in self.controller.step(now, input) {
                match output {
                    Output::Store { call, request } => {
                        if let Some(reply) = self.answer(&request) {
                            inputs.push(Input::Store { call, reply });
                        }
                    }
                    other => rest.push(other),
                }
            }
        }
        rest
    }
}

pub fn peer(message: Message) -> Input {
    Input::Peer {
        node: "n1".into(),
        message: Box::new(message),
    }
}
