//! A simulated world for the controllers: stand-ins for the state service, the
//! cloud, workers and users, a network that delays, loses and holds back, and
//! seeded troubles. The rules of the protocol are checked at every change.

mod checks;
mod cloud;
mod faults;
mod machines;
mod network;
mod store;
mod stored;
mod users;
mod worker;

pub use faults::Trouble;
pub use users::{Told, UserJob};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use store::Store;
use sumacbend::Now;
use sumacbend::controller::{CloudReply, CloudRequest, Controller, Input, Output, WorkerReply};
use sumacbend::peers::{Answer, Message, UserRequest};
use sumacbend::policy::Policy;
use sumacbend::settings::Settings;
use sumacbend::store::{StoreReply, StoreRequest};
use sumacbend::wire::*;
use worker::{Effect, Worker};

pub const LEASE_MS: u64 = 20_000;
pub const CANCEL_MS: u64 = 40_000;
/// The controller in the south.
const SOUTH_NODE: usize = 1;
const KNOWN_MS: u64 = 75_000;
const WAITING_MS: u64 = 90_000;
const LARGEST_MS: u64 = 240_000;
const TEAM_CPUS: f64 = 24.0;

const SETTINGS: &str = r#"
node = "NODE"
location = "north"
serve_on = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
PEERS
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[params]
zones = ["north", "south"]
time_bound_ms = 25.0
[[params.teams]]
name = "red"
cpus = 8.0
cpus_max = 24.0
gpus = 0.0
gpus_max = 0.0
[[params.teams]]
name = "blue"
cpus = 8.0
cpus_max = 24.0
gpus = 0.0
gpus_max = 0.0
[params.workers]
report_s = 3.0
lease_s = 20.0
cancel_s = 40.0
[params.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 48
[params.cloud]
rps = 5.0
list_lag_s = 6.0
[params.quota]
cores = 0.1
memory_mb = 136.0
max_connections = 2000
"#;

enum Happening {
    Tick(usize),
    Input {
        node: usize,
        incarnation: u64,
        input: Input,
    },
    Store {
        node: usize,
        incarnation: u64,
        call: u64,
        request: StoreRequest,
        reply: bool,
    },
    Cloud {
        node: usize,
        incarnation: u64,
        call: u64,
        request: CloudRequest,
        reply: bool,
    },
    Direct {
        node: usize,
        incarnation: u64,
        call: u64,
        machine: String,
        commands: DirectCommands,
        reply: bool,
    },
    ReportArrives {
        node: usize,
        machine: String,
        report: Box<Report>,
        id: u64,
    },
    ReportAnswered {
        machine: String,
        id: u64,
        answer: Answer,
    },
    World,
    User(usize),
    /// A request of a user out of turn.
    UserNow(usize),
    UserAnswered {
        job: usize,
        kind: u8,
        /// When the controller gave it.
        given: u64,
        answer: Answer,
    },
    Trouble(Trouble),
    Restart(usize),
    /// What a controller that stood still sends when it wakes.
    Thawed {
        node: usize,
        incarnation: u64,
        output: Output,
    },
}

struct Node {
    controller: Option<Controller>,
    incarnation: u64,
    name: String,
    offset: u64,
    rate: f64,
    store_cut: u64,
    peer_cut: u64,
    worker_cut: u64,
    refused: u64,
    reads_lost: u64,
    frozen_until: u64,
    /// Inputs that it still takes before it stands still.
    last_inputs: u32,
    /// What its last health check said, as the load balancer sees it.
    healthy: bool,
}

enum Waiting {
    Health,
    User { job: usize, kind: u8 },
    Report { machine: String, id: u64 },
}

pub struct World {
    pub now: u64,
    rng: StdRng,
    order: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    nodes: Vec<Node>,
    store: Store,
    store_out: u64,
    store_slow: u64,
    cloud_out: u64,
    peers_refuse: u64,
    copies: u64,
    late_writes: u64,
    held_commands: u64,
    cancel_at_end: u64,
    odd_requests: u64,
    south_alone: u64,
    late_boots: u64,
    /// Jobs that fail on every machine until their users cancel them.
    mistaken: BTreeSet<String>,
    watches: Vec<(u64, usize, u64, u64, StoreRequest)>,
    workers: BTreeMap<String, Worker>,
    rented: BTreeMap<String, Vec<String>>,
    next_machine: u32,
    pub jobs: Vec<UserJob>,
    requests: BTreeMap<(usize, u64), Waiting>,
    next_request: u64,
    next_report: u64,
    /// Since when users of most jobs are answered.
    most_heard_since: Option<u64>,
    /// Where each task is on a machine now.
    on: BTreeMap<String, BTreeSet<String>>,
    pub done_tasks: BTreeSet<String>,
    pub broken: Vec<String>,
    pub starts: u64,
    /// Tasks that left their machine before their end.
    pub lost_tasks: u64,
    /// Starts of tasks of mistaken jobs, each of which failed.
    pub failures: u64,
    /// Starts of jobs whose users had been told that they are cancelled.
    pub starts_after_cancel: u64,
    /// The longest that a task stayed on a machine after its user was told so.
    pub longest_cancelled: u64,
    pub calm_at: u64,
    pub sent: Sent,
    /// Machines to be had of each zone and kind.
    capacity: usize,
    /// How many times longer than usual tasks run.
    pub run_times: u64,
    team_cpus: f64,
}

/// What controllers have sent, by count.
#[derive(Debug, Default)]
pub struct Sent {
    pub store_requests: usize,
    pub store_writes: usize,
    pub messages: usize,
    pub direct_commands: usize,
    /// Reports answered by the leader itself, and all.
    pub leader_answers: usize,
    pub report_answers: usize,
}
impl World {
    pub fn new(seed: u64, nodes: usize, jobs: usize, troubles: Vec<(u64, Trouble)>) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = (0..nodes)
            .map(|index| Node {
                controller: None,
                incarnation: 0,
                name: format!("n{index}"),
                offset: rng.random_range(0..5_000_000),
                rate: rng.random_range(0.9995..1.0005),
                store_cut: 0,
                peer_cut: 0,
                worker_cut: 0,
                refused: 0,
                reads_lost: 0,
                frozen_until: 0,
                last_inputs: 0,
                healthy: false,
            })
            .collect();
        let mut world = World {
            now: 0,
            rng,
            order: 0,
            heap: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            nodes,
            store: Store::default(),
            store_out: 0,
            store_slow: 0,
            cloud_out: 0,
            peers_refuse: 0,
            copies: 0,
            late_writes: 0,
            held_commands: 0,
            cancel_at_end: 0,
            odd_requests: 0,
            south_alone: 0,
            late_boots: 0,
            mistaken: BTreeSet::new(),
            watches: Vec::new(),
            workers: BTreeMap::new(),
            rented: BTreeMap::new(),
            next_machine: 0,
            jobs: Vec::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            next_report: 0,
            most_heard_since: None,
            on: BTreeMap::new(),
            done_tasks: BTreeSet::new(),
            broken: Vec::new(),
            starts: 0,
            lost_tasks: 0,
            failures: 0,
            starts_after_cancel: 0,
            longest_cancelled: 0,
            sent: Sent::default(),
            capacity: 4,
            run_times: 1,
            team_cpus: TEAM_CPUS,
            calm_at: troubles
                .iter()
                .map(|(at, trouble)| at + trouble.lasts())
                .max()
                .unwrap_or(0),
        };
        for index in 0..jobs {
            let job = world.draw_job(index);
            world.at(job.submit_at, Happening::User(index));
            world.jobs.push(job);
        }
        for node in 0..world.nodes.len() {
            let at = world.rng.random_range(0..200);
            world.at(at, Happening::Restart(node));
        }
        for (at, trouble) in troubles {
            world.at(at, Happening::Trouble(trouble));
        }
        world.at(100, Happening::World);
        world
    }

    /// Room for some thousand machines, and teams that may use them.
    pub fn at_size(seed: u64, nodes: usize, troubles: Vec<(u64, Trouble)>) -> World {
        World::of_size(seed, nodes, 1_000, troubles)
    }

    /// Room for so many machines of each zone and kind, of which there are four.
    pub fn of_size(seed: u64, nodes: usize, capacity: usize, troubles: Vec<(u64, Trouble)>) -> World {
        let mut world = World::new(seed, nodes, 0, troubles);
        world.capacity = capacity;
        world.team_cpus = 20.0 * capacity as f64;
        world
    }

    /// Machines that no answer reaches, and that are still rented.
    pub fn deaf_machines(&self) -> usize {
        let deaf = |worker: &&Worker| worker.up(self.now) && self.now < worker.deaf_until;
        self.workers.values().filter(deaf).count()
    }

    pub fn machines(&self) -> usize {
        self.machine_names().len()
    }

    /// Machines rented so far, those returned since among them.
    pub fn machines_rented(&self) -> usize {
        self.rented.values().map(Vec::len).sum()
    }

    pub fn machine_names(&self) -> BTreeSet<String> {
        let up = self.workers.values().filter(|worker| worker.up(self.now));
        up.map(|worker| worker.name.clone()).collect()
    }

    /// Keys in the state service that begin so.
    pub fn stored(&self, prefix: &str) -> usize {
        self.store.count(prefix)
    }

    fn at(&mut self, time: u64, happening: Happening) {
        self.order += 1;
        self.heap.push(Reverse((time.max(self.now), self.order)));
        self.happenings.insert(self.order, happening);
    }

    fn delay(&mut self) -> u64 {
        if self.rng.random_bool(0.01) {
            self.rng.random_range(50..400)
        } else {
            self.rng.random_range(1..8)
        }
    }

    pub fn run(&mut self, until: u64) {
        while let Some(&Reverse((time, order))) = self.heap.peek() {
            // What is due later stays for the next call.
            if time > until || !self.broken.is_empty() {
                return;
            }
            self.heap.pop();
            self.now = time;
            if let Some(happening) = self.happenings.remove(&order) {
                self.happen(happening);
            }
        }
    }

    fn step(&mut self, node: usize, input: Input) {
        let (now, broken) = (self.now, &mut self.nodes[node]);
        let clock = Now {
            monotonic: broken.offset + (now as f64 * broken.rate) as u64 + 1_000_000,
            wall_clock: 1_700_000_000_000 + now,
        };
        let Some(controller) = &mut broken.controller else {
            return;
        };
        let outputs = controller.step(clock, input);
        let (incarnation, thaw) = (broken.incarnation, broken.frozen_until);
        for output in outputs {
            let requester = match &output {
                Output::Answer { request, .. } => self.requests.get(&(node, *request)),
                _ => None,
            };
            if now < thaw && matches!(requester, Some(Waiting::User { .. })) {
                // Its user has given up by then.
            } else if now < thaw {
                self.at(
                    thaw,
                    Happening::Thawed {
                        node,
                        incarnation,
                        output,
                    },
                );
            } else {
                self.output(node, incarnation, output);
            }
        }
    }

    fn restart(&mut self, node: usize) {
        let incarnation = self.rng.random::<u32>() as u64 + 1;
        let name = self.nodes[node].name.clone();
        let peers: String = (0..self.nodes.len())
            .filter(|&other| other != node)
            .map(|other| format!("[[seeds]]\nnode = \"n{other}\"\nlocation = \"north\"\naddress = \"127.0.0.1:9\"\n"))
            .collect();
        let limit = format!("cpus_max = {:.1}", self.team_cpus);
        let text = SETTINGS.replace("NODE", &name).replace("PEERS", &peers);
        let text = text.replace("cpus_max = 24.0", &limit);
        let settings = Settings::parse(&text).expect("valid settings");
        self.nodes[node].incarnation = incarnation;
        self.nodes[node].controller = Some(Controller::new(settings, Policy::default(), incarnation));
        self.at(self.now, Happening::Tick(node));
    }

    fn leader(&self) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.controller.as_ref().is_some_and(Controller::leads))
    }

    /// Workers' time passes, and their reports go out.
    fn world(&mut self) {
        let nodes = self.nodes.len();
        if self.now % 1_000 < 100 {
            for node in 0..nodes {
                if self.now < self.alone_until(node).max(self.nodes[node].frozen_until) {
                    self.nodes[node].healthy = false;
                    continue;
                }
                let request = self.expect(node, Waiting::Health);
                self.step(node, Input::Health { request });
            }
        }
        self.check_known();
        self.check_waiting();
        self.send_odd_requests();
        if self.now >= self.store_out && self.store_out > 0 {
            self.store_out = 0;
            self.store.refresh_leases(self.now);
        }
        if self.store_out == 0 {
            self.store.expire(self.now);
            self.serve_watches();
        }
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let now = self.now;
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            if !worker.up(now) {
                continue;
            }
            if worker.spot_reclaim_at.is_some_and(|at| now >= at) {
                self.machine_gone(&name);
                continue;
            }
            if now < worker.hung_until {
                continue;
            }
            let mut effects = Vec::new();
            worker.advance(now, LEASE_MS, &mut effects);
            if worker.report_out.is_some_and(|(_, sent)| now >= sent + 4_000) {
                worker.report_out = None;
                worker.node = (worker.node + 1) % nodes;
                worker.next_report = now + 1_000;
            }
            let mut sent = None;
            if worker.report_out.is_none() && now >= worker.next_report {
                self.next_report += 1;
                let id = self.next_report;
                worker.report_out = Some((id, now));
                worker.next_report = now + 3_000;
                if now < worker.mute_until {
                    // Refused at once: it tries the next controller.
                    worker.report_out = None;
                    worker.node = (worker.node + 1) % nodes;
                    worker.next_report = now + 1_000;
                } else {
                    let south = worker.zone == "south";
                    sent = Some((worker.node, id, Box::new(worker.report()), worker.cut_until, south));
                }
            }
            self.take_effects(&name, effects);
            if let Some((node, id, report, cut, south)) = sent {
                let cut = cut.max(self.nodes[node].worker_cut).max(self.apart(node, south));
                // Reports may be held back and arrive late.
                let delay = if now < cut { cut - now + 500 } else { self.delay() };
                if now < self.copies && self.rng.random_bool(0.3) {
                    let (node, late) = (self.rng.random_range(0..nodes), self.rng.random_range(1_000..90_000));
                    // Nobody waits for its answer.
                    let copy = Happening::ReportArrives {
                        node,
                        machine: name.clone(),
                        report: report.clone(),
                        id: 0,
                    };
                    self.at(now + late, copy);
                }
                self.at(
                    now + delay,
                    Happening::ReportArrives {
                        node,
                        machine: name,
                        report,
                        id,
                    },
                );
            }
        }
        self.check_cancelled();
    }
}

/// What a link carries is what comes out of it.
fn over_the_wire(message: &Message) -> Message {
    let bytes = rmp_serde::to_vec(message).expect("written");
    rmp_serde::from_slice(&bytes).expect("read")
}
