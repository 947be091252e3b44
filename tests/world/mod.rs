//! A simulated world for the controllers: stand-ins for the state service, the
//! cloud, workers and users, a network that delays, loses and holds back, and
//! seeded troubles. The rules of the protocol are checked at every change.

mod store;
mod worker;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use store::Store;
use sumacbend::Now;
use sumacbend::controller::{CloudReply, CloudRequest, Controller, Input, Output, WorkerReply};
use sumacbend::peers::{Answer, Ask, Message};
use sumacbend::policy::Policy;
use sumacbend::settings::Settings;
use sumacbend::store::{StoreReply, StoreRequest};
use sumacbend::wire::*;
use worker::{Effect, Worker};

pub const LEASE_MS: u64 = 20_000;
pub const CANCEL_MS: u64 = 40_000;
const KNOWN_MS: u64 = 75_000;
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

/// A trouble, from a time on and for a while.
#[derive(Clone, Debug)]
pub enum Trouble {
    Crash {
        node: usize,
    },
    CutFromStore {
        node: usize,
        ms: u64,
    },
    CutFromPeers {
        node: usize,
        ms: u64,
    },
    CutFromWorkers {
        node: usize,
        ms: u64,
    },
    StoreOutage {
        ms: u64,
    },
    CloudOutage {
        ms: u64,
    },
    MachineCut {
        ms: u64,
    },
    /// All machines of one zone at once.
    ZoneCut {
        ms: u64,
    },
    MachineTaken,
    MachineSick,
    /// Its reports arrive; answers and commands don't reach it.
    MachineDeaf {
        ms: u64,
    },
    /// Back at once, its tasks gone, in its next session.
    MachineBlinks,
    /// Copies of reports come seconds to several leases late.
    LateCopies {
        ms: u64,
    },
    /// Cut from the state service and the other controllers, not from workers.
    CutFromAllButWorkers {
        node: usize,
        ms: u64,
    },
    /// Back within a fraction of a second.
    Blink {
        node: usize,
    },
    /// Stands still while its clocks run on; what it had worked out just before
    /// leaves only when it wakes.
    Freeze {
        node: usize,
        ms: u64,
    },
    PeersRefuse {
        ms: u64,
    },
    StoreSlow {
        ms: u64,
    },
}

impl Trouble {
    /// Until all of it is over, late messages included.
    fn lasts(&self) -> u64 {
        match self {
            Trouble::CutFromStore { ms, .. }
            | Trouble::CutFromPeers { ms, .. }
            | Trouble::CutFromWorkers { ms, .. }
            | Trouble::CutFromAllButWorkers { ms, .. }
            | Trouble::Freeze { ms, .. }
            | Trouble::StoreOutage { ms }
            | Trouble::CloudOutage { ms }
            | Trouble::MachineCut { ms }
            | Trouble::ZoneCut { ms }
            | Trouble::MachineDeaf { ms }
            | Trouble::LateCopies { ms }
            | Trouble::PeersRefuse { ms }
            | Trouble::StoreSlow { ms } => *ms,
            _ => 5_000,
        }
    }
}

enum Happening {
    Tick(usize),
    Input {
        node: usize,
        life: u64,
        input: Input,
    },
    Store {
        node: usize,
        life: u64,
        call: u64,
        request: StoreRequest,
        reply: bool,
    },
    Cloud {
        node: usize,
        life: u64,
        call: u64,
        request: CloudRequest,
        reply: bool,
    },
    Direct {
        node: usize,
        life: u64,
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
    UserAnswered {
        job: usize,
        kind: u8,
        answer: Answer,
    },
    Trouble(Trouble),
    Restart(usize),
    /// What a controller that stood still sends when it wakes.
    Thawed {
        node: usize,
        life: u64,
        output: Output,
    },
}

struct Node {
    controller: Option<Controller>,
    life: u64,
    name: String,
    offset: u64,
    rate: f64,
    store_cut: u64,
    peer_cut: u64,
    worker_cut: u64,
    frozen_until: u64,
    /// Inputs that it still takes before it stands still.
    last_inputs: u32,
    /// What its last health check said, as the load balancer sees it.
    healthy: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    Nothing,
    Accepted,
    Done,
    Cancelled,
}

pub struct UserJob {
    pub spec: JobSpec,
    pub submit_at: u64,
    pub cancel_at: Option<u64>,
    pub told: Told,
    pub told_at: u64,
    /// When a question about it was last answered.
    answered_at: u64,
    /// The controller that its user is connected to.
    node: Option<usize>,
    pub first_start: Option<u64>,
    cancel_asked: bool,
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
    watches: Vec<(u64, usize, u64, u64, StoreRequest)>,
    workers: BTreeMap<String, Worker>,
    hired: BTreeMap<String, Vec<String>>,
    next_machine: u32,
    pub jobs: Vec<UserJob>,
    requests: BTreeMap<(usize, u64), Waiting>,
    next_request: u64,
    next_report: u64,
    /// Where each task is on a machine now.
    on: BTreeMap<String, BTreeSet<String>>,
    pub done_tasks: BTreeSet<String>,
    pub broken: Vec<String>,
    pub starts: u64,
    pub calm_at: u64,
    pub sent: Sent,
    /// Machines to be had of each zone and kind.
    capacity: usize,
    team_cpus: f64,
}

/// What controllers have sent, by count.
#[derive(Debug, Default)]
pub struct Sent {
    pub store_requests: usize,
    pub store_writes: usize,
    pub messages: usize,
    pub direct_commands: usize,
    /// Reports answered by the owner itself, and all.
    pub owner_answers: usize,
    pub report_answers: usize,
}

impl World {
    pub fn new(seed: u64, nodes: usize, jobs: usize, troubles: Vec<(u64, Trouble)>) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = (0..nodes)
            .map(|index| Node {
                controller: None,
                life: 0,
                name: format!("n{index}"),
                offset: rng.random_range(0..5_000_000),
                rate: rng.random_range(0.9995..1.0005),
                store_cut: 0,
                peer_cut: 0,
                worker_cut: 0,
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
            watches: Vec::new(),
            workers: BTreeMap::new(),
            hired: BTreeMap::new(),
            next_machine: 0,
            jobs: Vec::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            next_report: 0,
            on: BTreeMap::new(),
            done_tasks: BTreeSet::new(),
            broken: Vec::new(),
            starts: 0,
            sent: Sent::default(),
            capacity: 4,
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

    fn draw_job(&mut self, index: usize) -> UserJob {
        let rng = &mut self.rng;
        let tasks = rng.random_range(1..9);
        let submit_at = rng.random_range(2_000..90_000);
        UserJob {
            spec: JobSpec {
                id: format!("j-{index:06}"),
                team: if rng.random_bool(0.5) { "red" } else { "blue" }.into(),
                priority: if rng.random_bool(0.5) {
                    Priority::High
                } else {
                    Priority::Low
                },
                tasks,
                cpus: f64::from(rng.random_range(1..5u32)),
                zone: rng.random_bool(0.2).then(|| "south".into()),
                one_zone: rng.random_bool(0.2),
                spread: rng.random_bool(0.2),
                spot: rng.random_bool(0.7),
                image: format!("img-{}", rng.random_range(0..3)),
                ..World::plain_spec()
            },
            submit_at,
            cancel_at: rng.random_bool(0.25).then(|| submit_at + rng.random_range(500..40_000)),
            told: Told::Nothing,
            told_at: 0,
            answered_at: 0,
            node: None,
            first_start: None,
            cancel_asked: false,
        }
    }

    /// Room for some thousand machines, and teams that may use them.
    pub fn at_size(seed: u64, nodes: usize, troubles: Vec<(u64, Trouble)>) -> World {
        let mut world = World::new(seed, nodes, 0, troubles);
        world.capacity = 1_000;
        world.team_cpus = 20_000.0;
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

    pub fn machine_names(&self) -> BTreeSet<String> {
        let up = self.workers.values().filter(|worker| worker.up(self.now));
        up.map(|worker| worker.name.clone()).collect()
    }

    /// Adds a job made for a test.
    pub fn submit(&mut self, submit_at: u64, spec: JobSpec) -> usize {
        let index = self.jobs.len();
        let mut job = self.draw_job(index);
        job.spec = JobSpec {
            id: job.spec.id,
            ..spec
        };
        job.submit_at = submit_at;
        job.cancel_at = None;
        self.at(submit_at, Happening::User(index));
        self.jobs.push(job);
        index
    }

    /// A job that may run anywhere.
    pub fn plain_spec() -> JobSpec {
        JobSpec {
            id: String::new(),
            class: "sort".into(),
            team: "red".into(),
            kind: Kind::Array,
            priority: Priority::High,
            tasks: 1,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 2.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            image: "img-0".into(),
            image_gb: 1.0,
            estimate_s: 5.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        }
    }

    /// Gives a drawn job another shape.
    pub fn reshape(&mut self, index: usize, tasks: u32, cancel_at: Option<u64>) {
        let job = &mut self.jobs[index];
        job.spec.tasks = tasks;
        job.spec.cpus = 1.0;
        job.spec.zone = None;
        job.spec.one_zone = false;
        job.spec.spread = false;
        job.cancel_at = cancel_at;
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
            steady: broken.offset + (now as f64 * broken.rate) as u64 + 1_000_000,
            wall: 1_700_000_000_000 + now,
        };
        let Some(controller) = &mut broken.controller else {
            return;
        };
        let outputs = controller.step(clock, input);
        let (life, thaw) = (broken.life, broken.frozen_until);
        for output in outputs {
            let asker = match &output {
                Output::Answer { request, .. } => self.requests.get(&(node, *request)),
                _ => None,
            };
            if now < thaw && matches!(asker, Some(Waiting::User { .. })) {
                // Its user has given up by then.
            } else if now < thaw {
                self.at(thaw, Happening::Thawed { node, life, output });
            } else {
                self.output(node, life, output);
            }
        }
    }

    /// True if a controller stands still and can take nothing in now.
    fn stands_still(&mut self, node: usize) -> bool {
        let (now, node) = (self.now, &mut self.nodes[node]);
        if now >= node.frozen_until {
            return false;
        }
        let still = node.last_inputs == 0;
        node.last_inputs = node.last_inputs.saturating_sub(1);
        still
    }

    fn output(&mut self, node: usize, life: u64, output: Output) {
        match output {
            Output::Answer { request, answer } => {
                let delay = self.delay();
                if let Some(Waiting::Report { .. }) = self.requests.get(&(node, request)) {
                    self.sent.report_answers += 1;
                    self.sent.owner_answers += usize::from(self.owner() == Some(node));
                }
                match self.requests.remove(&(node, request)) {
                    Some(Waiting::User { job, kind }) => {
                        self.at(self.now + delay, Happening::UserAnswered { job, kind, answer });
                    }
                    Some(Waiting::Health) => self.nodes[node].healthy = answer.status == 200,
                    Some(Waiting::Report { machine, id }) if self.now >= self.nodes[node].worker_cut => {
                        self.at(self.now + delay, Happening::ReportAnswered { machine, id, answer });
                    }
                    _ => {}
                }
            }
            Output::Peer { node: to, message } => {
                self.sent.messages += 1;
                let Some(to) = self.nodes.iter().position(|other| other.name == to) else {
                    return;
                };
                let cut = self.nodes[node].peer_cut.max(self.nodes[to].peer_cut);
                if self.now < cut.max(self.peers_refuse) {
                    return;
                }
                let (delay, to_life) = (self.delay(), self.nodes[to].life);
                let input = Input::Peer {
                    node: self.nodes[node].name.clone(),
                    message: Box::new(over_the_wire(&message)),
                };
                self.at(
                    self.now + delay,
                    Happening::Input {
                        node: to,
                        life: to_life,
                        input,
                    },
                );
            }
            Output::Store { call, request } => {
                self.sent.store_requests += 1;
                self.sent.store_writes += request.writes() as usize;
                if self.now < self.nodes[node].store_cut {
                    // Held back: applied late, when nobody waits any more.
                    if matches!(request, StoreRequest::Transact(_)) && self.rng.random_bool(0.5) {
                        let late = self.nodes[node].store_cut + self.rng.random_range(0..3_000);
                        self.at(
                            late,
                            Happening::Store {
                                node,
                                life,
                                call,
                                request,
                                reply: false,
                            },
                        );
                    }
                    let input = Input::Store {
                        call,
                        reply: StoreReply::Lost,
                    };
                    self.at(self.now + 2_000, Happening::Input { node, life, input });
                    return;
                }
                let slow = if self.now < self.store_slow { 15 } else { 1 };
                let delay = self.delay() * slow;
                let lost = self.rng.random_bool(0.003);
                if lost {
                    let input = Input::Store {
                        call,
                        reply: StoreReply::Lost,
                    };
                    self.at(self.now + 2_000, Happening::Input { node, life, input });
                }
                let late = if lost { self.rng.random_range(0..8_000) } else { delay };
                self.at(
                    self.now + late,
                    Happening::Store {
                        node,
                        life,
                        call,
                        request,
                        reply: !lost,
                    },
                );
            }
            Output::Cloud { call, request } => {
                let delay = self.rng.random_range(50..300);
                let lost = self.rng.random_bool(0.02);
                if lost {
                    let input = Input::Cloud {
                        call,
                        reply: CloudReply::Lost,
                    };
                    self.at(self.now + 6_000, Happening::Input { node, life, input });
                }
                let late = if lost { self.rng.random_range(0..15_000) } else { delay };
                self.at(
                    self.now + late,
                    Happening::Cloud {
                        node,
                        life,
                        call,
                        request,
                        reply: !lost,
                    },
                );
            }
            Output::Worker {
                call,
                address,
                commands,
            } => {
                self.sent.direct_commands += 1;
                let delay = self.delay();
                let cut = self
                    .workers
                    .get(&address)
                    .map_or(0, |worker| worker.cut_until.max(worker.deaf_until))
                    .max(self.nodes[node].worker_cut);
                let held = self.now < cut;
                if held || self.rng.random_bool(0.02) {
                    let input = Input::Worker {
                        call,
                        reply: WorkerReply::Lost,
                    };
                    self.at(self.now + 2_500, Happening::Input { node, life, input });
                    // Delivered late, perhaps minutes after its time.
                    let late = if held { cut - self.now } else { 0 } + self.rng.random_range(0..20_000);
                    self.at(
                        self.now + late,
                        Happening::Direct {
                            node,
                            life,
                            call,
                            machine: address,
                            commands,
                            reply: false,
                        },
                    );
                } else {
                    self.at(
                        self.now + delay,
                        Happening::Direct {
                            node,
                            life,
                            call,
                            machine: address,
                            commands,
                            reply: true,
                        },
                    );
                }
            }
        }
    }

    fn happen(&mut self, happening: Happening) {
        if let Happening::Tick(node) | Happening::Input { node, .. } | Happening::ReportArrives { node, .. } =
            &happening
            && self.stands_still(*node)
        {
            // The tick first: it was due all the time.
            let late = u64::from(!matches!(happening, Happening::Tick(_)));
            let thaw = self.nodes[*node].frozen_until;
            self.at(thaw + late, happening);
            return;
        }
        match happening {
            Happening::Thawed { node, life, output } => {
                if self.nodes[node].life == life {
                    self.output(node, life, output);
                }
            }
            Happening::Tick(node) => {
                if self.nodes[node].controller.is_some() {
                    self.step(node, Input::Tick);
                    self.at(self.now + 50, Happening::Tick(node));
                }
            }
            Happening::Input { node, life, input } => {
                if self.nodes[node].life == life {
                    self.step(node, input);
                }
            }
            Happening::Store {
                node,
                life,
                call,
                request,
                reply,
            } => self.store_call(node, life, call, request, reply),
            Happening::Cloud {
                node,
                life,
                call,
                request,
                reply,
            } => {
                let answer = self.cloud_call(&request);
                if reply {
                    let input = Input::Cloud { call, reply: answer };
                    self.at(self.now + 20, Happening::Input { node, life, input });
                }
            }
            Happening::Direct {
                node,
                life,
                call,
                machine,
                commands,
                reply,
            } => {
                let answer = self.direct(&machine, &commands);
                if reply {
                    let delay = self.delay();
                    let input = Input::Worker { call, reply: answer };
                    self.at(self.now + delay, Happening::Input { node, life, input });
                }
            }
            Happening::ReportArrives {
                node,
                machine,
                report,
                id,
            } => {
                if self.nodes[node].controller.is_none() {
                    return;
                }
                self.next_request += 1;
                let request = self.next_request;
                self.requests.insert((node, request), Waiting::Report { machine, id });
                self.step(node, Input::Report { request, report });
            }
            Happening::ReportAnswered { machine, id, answer } => self.report_answered(&machine, id, &answer),
            Happening::World => {
                self.world();
                self.at(self.now + 100, Happening::World);
            }
            Happening::User(job) => self.user(job),
            Happening::UserAnswered { job, kind, answer } => self.user_answered(job, kind, &answer),
            Happening::Trouble(trouble) => self.trouble(trouble),
            Happening::Restart(node) => self.restart(node),
        }
    }

    fn restart(&mut self, node: usize) {
        let life = self.rng.random::<u32>() as u64 + 1;
        let name = self.nodes[node].name.clone();
        let peers: String = (0..self.nodes.len())
            .filter(|&other| other != node)
            .map(|other| format!("[[seeds]]\nnode = \"n{other}\"\nlocation = \"north\"\naddress = \"127.0.0.1:9\"\n"))
            .collect();
        let limit = format!("cpus_max = {:.1}", self.team_cpus);
        let text = SETTINGS.replace("NODE", &name).replace("PEERS", &peers);
        let text = text.replace("cpus_max = 24.0", &limit);
        let settings = Settings::parse(&text).expect("valid settings");
        self.nodes[node].life = life;
        self.nodes[node].controller = Some(Controller::new(settings, Policy::default(), life));
        self.at(self.now, Happening::Tick(node));
    }

    fn trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Crash { node } => {
                // The owner, when one is named that is out of range.
                let node = self.pick_node(node);
                self.crash(node, 4_000);
            }
            Trouble::Blink { node } => {
                let node = self.pick_node(node);
                let pause = self.rng.random_range(50..900);
                self.crash(node, pause);
            }
            Trouble::Freeze { node, ms } => {
                let node = self.pick_node(node);
                self.nodes[node].frozen_until = self.now + ms;
                self.nodes[node].last_inputs = 3;
            }
            Trouble::CutFromAllButWorkers { node, ms } => {
                let node = self.pick_node(node);
                self.nodes[node].store_cut = self.now + ms;
                self.nodes[node].peer_cut = self.now + ms;
            }
            Trouble::PeersRefuse { ms } => self.peers_refuse = self.now + ms,
            Trouble::StoreSlow { ms } => self.store_slow = self.now + ms,
            Trouble::LateCopies { ms } => self.copies = self.now + ms,
            Trouble::MachineDeaf { ms } => {
                let now = self.now;
                if let Some(worker) = self.pick_worker() {
                    worker.deaf_until = now + ms;
                }
            }
            Trouble::MachineBlinks => {
                let now = self.now;
                if let Some(worker) = self.pick_worker() {
                    let (name, mut effects) = (worker.name.clone(), Vec::new());
                    worker.next_session(now, &mut effects);
                    self.take_effects(&name, effects);
                }
            }
            Trouble::CutFromStore { node, ms } => {
                let node = self.pick_node(node);
                self.nodes[node].store_cut = self.now + ms;
            }
            Trouble::CutFromPeers { node, ms } => {
                let node = self.pick_node(node);
                self.nodes[node].peer_cut = self.now + ms;
            }
            Trouble::CutFromWorkers { node, ms } => {
                let node = self.pick_node(node);
                self.nodes[node].worker_cut = self.now + ms;
            }
            Trouble::StoreOutage { ms } => self.store_out = self.now + ms,
            Trouble::CloudOutage { ms } => self.cloud_out = self.now + ms,
            Trouble::MachineCut { ms } => {
                let now = self.now;
                if let Some(worker) = self.pick_worker() {
                    worker.cut_until = now + ms;
                }
            }
            Trouble::ZoneCut { ms } => {
                let until = self.now + ms;
                let south = self.workers.values_mut().filter(|worker| worker.zone == "south");
                south.for_each(|worker| worker.cut_until = until);
            }
            Trouble::MachineTaken => {
                let now = self.now;
                if let Some(worker) = self.pick_worker() {
                    worker.taken_at = Some(now + 500);
                }
            }
            Trouble::MachineSick => {
                if let Some(worker) = self.pick_worker() {
                    worker.sick = true;
                }
            }
        }
    }

    /// The owner, when one is named that is out of range.
    fn pick_node(&self, node: usize) -> usize {
        if node < self.nodes.len() {
            node
        } else {
            self.owner().unwrap_or(0)
        }
    }

    fn crash(&mut self, node: usize, pause: u64) {
        self.nodes[node].controller = None;
        self.nodes[node].life = 0;
        self.nodes[node].frozen_until = 0;
        self.nodes[node].healthy = false;
        self.at(self.now + pause, Happening::Restart(node));
    }

    fn pick_worker(&mut self) -> Option<&mut Worker> {
        let up: Vec<String> = self
            .workers
            .values()
            .filter(|w| w.up(self.now))
            .map(|w| w.name.clone())
            .collect();
        if up.is_empty() {
            return None;
        }
        let pick = self.rng.random_range(0..up.len());
        self.workers.get_mut(&up[pick])
    }

    fn owner(&self) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.controller.as_ref().is_some_and(Controller::owns_share))
    }

    fn store_call(&mut self, node: usize, life: u64, call: u64, request: StoreRequest, reply: bool) {
        if self.now < self.store_out {
            if let StoreRequest::Watch { wait_ms, .. } = &request
                && *wait_ms > 0
            {
                let until = self.now + wait_ms;
                self.watches.push((until, node, life, call, request));
            } else if reply {
                let input = Input::Store {
                    call,
                    reply: StoreReply::Unavailable,
                };
                self.at(self.now + 2, Happening::Input { node, life, input });
            }
            return;
        }
        let answer = self.store.execute(self.now, &request);
        if let (StoreRequest::Watch { wait_ms, .. }, StoreReply::Log(log)) = (&request, &answer)
            && *wait_ms > 0
            && log.events.is_empty()
        {
            let until = self.now + wait_ms;
            self.watches.push((until, node, life, call, request));
            return;
        }
        if reply {
            let delay = self.delay();
            let input = Input::Store { call, reply: answer };
            self.at(self.now + delay, Happening::Input { node, life, input });
        }
        self.serve_watches();
    }

    fn serve_watches(&mut self) {
        if self.now < self.store_out {
            return;
        }
        for (until, node, life, call, request) in std::mem::take(&mut self.watches) {
            let answer = self.store.execute(self.now, &request);
            let empty = matches!(&answer, StoreReply::Log(log) if log.events.is_empty());
            if (empty && self.now < until) || self.now < self.nodes[node].store_cut {
                self.watches.push((until, node, life, call, request));
            } else {
                let delay = self.delay();
                let input = Input::Store { call, reply: answer };
                self.at(self.now + delay, Happening::Input { node, life, input });
            }
        }
    }

    fn cloud_call(&mut self, request: &CloudRequest) -> CloudReply {
        if self.now < self.cloud_out {
            return CloudReply::Unavailable;
        }
        match request {
            CloudRequest::Catalogue => CloudReply::Catalogue(catalogue()),
            CloudRequest::Hire(hire) => {
                if let Some(names) = self.hired.get(&hire.request) {
                    return CloudReply::Hired(MachineNames {
                        machines: names.clone(),
                    });
                }
                let there = self
                    .workers
                    .values()
                    .filter(|w| !w.gone && w.zone == hire.zone && w.spot == hire.spot)
                    .count();
                let count = (hire.count as usize).min(self.capacity.saturating_sub(there));
                if count == 0 {
                    return CloudReply::NoCapacity;
                }
                let mut names = Vec::new();
                for _ in 0..count {
                    let name = format!("host-{:06}", self.next_machine);
                    self.next_machine += 1;
                    let boot = if self.rng.random_bool(0.05) {
                        10_000_000
                    } else {
                        self.rng.random_range(500..8_000)
                    };
                    let worker = Worker {
                        name: name.clone(),
                        machine_type: hire.machine_type.clone(),
                        zone: hire.zone.clone(),
                        spot: hire.spot,
                        hired_at: self.now,
                        up_at: self.now + boot,
                        gone: false,
                        cut_until: 0,
                        deaf_until: 0,
                        sick: false,
                        session: 1,
                        seq: 0,
                        token: 0,
                        lease_from: self.now + boot,
                        taken_at: None,
                        node: self.rng.random_range(0..self.nodes.len()),
                        report_out: None,
                        next_report: self.now + boot,
                        tasks: BTreeMap::new(),
                    };
                    self.workers.insert(name.clone(), worker);
                    names.push(name);
                }
                self.hired.insert(hire.request.clone(), names.clone());
                CloudReply::Hired(MachineNames { machines: names })
            }
            CloudRequest::Delete(names) => {
                for name in &names.machines {
                    self.machine_gone(name);
                }
                CloudReply::Deleted
            }
            CloudRequest::List { after } => {
                let listed = self
                    .workers
                    .values()
                    .filter(|w| !w.gone && w.name > *after)
                    .map(|w| ListedMachine {
                        id: w.name.clone(),
                        address: Some(w.name.clone()),
                        machine_type: w.machine_type.clone(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        state: if self.now >= w.up_at {
                            MachineState::Running
                        } else {
                            MachineState::Starting
                        },
                        age_s: (self.now - w.hired_at) as f64 / 1000.0,
                    });
                CloudReply::Listed(MachineList {
                    machines: listed.take(500).collect(),
                    more: false,
                })
            }
        }
    }

    fn machine_gone(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.gone = true;
            worker.tasks.clear();
        }
        for machines in self.on.values_mut() {
            machines.remove(name);
        }
    }

    fn run_ms(&self) -> impl Fn(&str) -> u64 + use<> {
        |task: &str| 1_500 + (task.bytes().map(u64::from).sum::<u64>() * 37) % 9_000
    }

    fn direct(&mut self, machine: &str, commands: &DirectCommands) -> WorkerReply {
        let (now, run_ms) = (self.now, self.run_ms());
        let Some(worker) = self.workers.get_mut(machine).filter(|worker| worker.up(now)) else {
            return WorkerReply::Lost;
        };
        let mut effects = Vec::new();
        worker.advance(now, LEASE_MS, &mut effects);
        let done = worker.direct(now, commands, run_ms, &mut effects);
        let report = Box::new(worker.report());
        self.take_effects(machine, effects);
        if done {
            WorkerReply::Done(report)
        } else {
            WorkerReply::Refused(report)
        }
    }

    /// Workers' time passes, and their reports go out.
    fn world(&mut self) {
        let nodes = self.nodes.len();
        if self.now % 1_000 < 100 {
            for node in 0..nodes {
                if self.now < self.nodes[node].frozen_until {
                    self.nodes[node].healthy = false;
                    continue;
                }
                self.next_request += 1;
                let request = self.next_request;
                self.requests.insert((node, request), Waiting::Health);
                self.step(node, Input::Health { request });
            }
        }
        self.check_known();
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
            if worker.taken_at.is_some_and(|at| now >= at) {
                self.machine_gone(&name);
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
                sent = Some((worker.node, id, Box::new(worker.report()), worker.cut_until));
            }
            self.take_effects(&name, effects);
            if let Some((node, id, report, cut)) = sent {
                let cut = cut.max(self.nodes[node].worker_cut);
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
        let late: Vec<String> = self
            .jobs
            .iter()
            .filter(|job| job.told == Told::Cancelled && self.now > job.told_at + CANCEL_MS)
            .map(|job| format!("{}/", job.spec.id))
            .collect();
        for prefix in late {
            for (task, machines) in &self.on {
                if task.starts_with(&prefix) && !machines.is_empty() {
                    self.broken
                        .push(format!("ran_cancelled: {task} on {machines:?} at {}", self.now));
                }
            }
        }
    }

    fn report_answered(&mut self, machine: &str, id: u64, answer: &Answer) {
        let (now, run_ms, nodes) = (self.now, self.run_ms(), self.nodes.len());
        let Some(worker) = self.workers.get_mut(machine).filter(|worker| worker.up(now)) else {
            return;
        };
        let Some((out, sent)) = worker.report_out else {
            return;
        };
        if out != id || now < worker.cut_until.max(worker.deaf_until) {
            return;
        }
        worker.report_out = None;
        let mut effects = Vec::new();
        worker.advance(now, LEASE_MS, &mut effects);
        match answer.status {
            200 => {
                let answer: ReportAnswer = serde_json::from_str(&answer.body).expect("a report's answer");
                let session = worker.session;
                worker.answer(now, session, sent, &answer, run_ms, &mut effects);
            }
            421 => {
                let redirect: Redirect = serde_json::from_str(&answer.body).expect("a redirect");
                let to = redirect
                    .report_to
                    .and_then(|name| name.strip_prefix('n').and_then(|n| n.parse().ok()));
                worker.node = to.unwrap_or((worker.node + 1) % nodes);
                worker.next_report = now + if to.is_some() { 100 } else { 1_000 };
            }
            _ => {
                worker.node = (worker.node + 1) % nodes;
                worker.next_report = now + 1_000;
            }
        }
        self.take_effects(machine, effects);
    }

    fn take_effects(&mut self, machine: &str, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Started { task } => self.started(machine, &task),
                Effect::Left { task, done } => {
                    if let Some(machines) = self.on.get_mut(&task) {
                        machines.remove(machine);
                    }
                    if done {
                        self.done_tasks.insert(task);
                    }
                }
            }
        }
    }

    fn started(&mut self, machine: &str, task: &str) {
        self.starts += 1;
        let now = self.now;
        let on = self.on.entry(task.into()).or_default();
        if !on.is_empty() {
            self.broken
                .push(format!("ran_twice: {task} on {machine} and {on:?} at {now}"));
        }
        on.insert(machine.into());
        let id = task.split('/').next().unwrap_or_default();
        let Some(job) = self.jobs.iter().find(|job| job.spec.id == id) else {
            self.broken.push(format!("a task of no job: {task}"));
            return;
        };
        let worker = &self.workers[machine];
        let spec = &job.spec;
        let allowed = spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone) && (spec.spot || !worker.spot);
        let prefix = format!("{id}/");
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for (_, machines) in self.on.iter().filter(|(task, _)| task.starts_with(&prefix)) {
            for machine in machines {
                *zones.entry(self.workers[machine].zone.as_str()).or_default() += 1;
            }
        }
        let one_zone = !spec.one_zone || zones.len() <= 1;
        let spread = !spec.spread || zones.values().all(|&count| count <= spec.tasks.div_ceil(2));
        if !allowed || !one_zone || !spread {
            self.broken
                .push(format!("wrong_place: {task} on {machine}, {zones:?} at {now}"));
        }
        if job.told == Told::Cancelled && now > job.told_at + CANCEL_MS {
            self.broken.push(format!("ran_cancelled: {task} started at {now}"));
        }
        let id = id.to_owned();
        if let Some(job) = self.jobs.iter_mut().find(|job| job.spec.id == id) {
            job.first_start.get_or_insert(now);
        }
        for team in ["red", "blue"] {
            let used: f64 = self
                .on
                .iter()
                .filter(|(_, machines)| !machines.is_empty())
                .filter_map(|(task, machines)| {
                    let id = task.split('/').next()?;
                    let job = self
                        .jobs
                        .iter()
                        .find(|job| job.spec.id == id && job.spec.team == team)?;
                    Some(job.spec.cpus * machines.len() as f64)
                })
                .sum();
            if used > self.team_cpus + 1e-6 {
                self.broken.push(format!("quota: {team} uses {used} at {now}"));
            }
        }
    }

    /// Once troubles are over, no accepted job goes 75 s without an answer, and
    /// at no time one 90 s while most others get theirs.
    fn check_known(&mut self) {
        let now = self.now;
        let known = self.jobs.iter().filter(|job| job.told != Told::Nothing);
        let heard = known.clone().filter(|job| now < job.answered_at + 10_000).count();
        let most = heard * 2 > known.clone().count();
        for job in known {
            let singled_out = most && now > job.answered_at + 90_000;
            if singled_out || now > job.answered_at.max(self.calm_at) + KNOWN_MS {
                self.broken
                    .push(format!("forgotten: nothing said of {} at {now}", job.spec.id));
            }
        }
    }

    /// A user does what is next: submit, poll, cancel.
    fn user(&mut self, index: usize) {
        let job = &self.jobs[index];
        let (kind, ask) = match job.told {
            Told::Nothing => (0, Ask::Submit(serde_json::to_string(&job.spec).expect("json"))),
            Told::Accepted if job.cancel_at.is_some_and(|at| self.now >= at) => (2, Ask::Cancel(job.spec.id.clone())),
            _ => (1, Ask::Show(job.spec.id.clone())),
        };
        if kind == 2 {
            self.jobs[index].cancel_asked = true;
        }
        // Now and then somebody asks about a job that nobody submitted.
        let ask = if kind == 1 && self.rng.random_bool(0.05) {
            Ask::Show(format!("j-9{index:05}"))
        } else {
            ask
        };
        let kind = if matches!(&ask, Ask::Show(id) if id.starts_with("j-9")) {
            3
        } else {
            kind
        };
        // The load balancer knows only which controllers say that they are well.
        let healthy: Vec<usize> = (0..self.nodes.len()).filter(|&node| self.nodes[node].healthy).collect();
        // Open connections stay where they are while their controller is well.
        let node = match self.jobs[index].node.filter(|node| healthy.contains(node)) {
            Some(node) => node,
            None if healthy.is_empty() => self.rng.random_range(0..self.nodes.len()),
            None => healthy[self.rng.random_range(0..healthy.len())],
        };
        // Some users open a new one each time.
        self.jobs[index].node = index.is_multiple_of(2).then_some(node);
        self.at(self.now + 2_500, Happening::User(index));
        if self.nodes[node].controller.is_none() || self.now < self.nodes[node].frozen_until {
            return;
        }
        self.next_request += 1;
        let request = self.next_request;
        self.requests
            .insert((node, request), Waiting::User { job: index, kind });
        self.step(node, Input::User { request, ask });
    }

    fn user_answered(&mut self, index: usize, kind: u8, answer: &Answer) {
        let now = self.now;
        let id = self.jobs[index].spec.id.clone();
        if kind == 3 {
            if answer.status == 200 {
                self.broken.push(format!("invented: {}", answer.body));
            }
            return;
        }
        let job = &mut self.jobs[index];
        if matches!(answer.status, 400 | 422) || (answer.status == 404 && job.told != Told::Nothing) {
            self.broken.push(format!(
                "forgotten: {id} answered {} at {now} ({})",
                answer.status, answer.body
            ));
            return;
        }
        if !matches!(answer.status, 200 | 201) {
            return;
        }
        job.answered_at = now;
        let status: JobStatus = serde_json::from_str(&answer.body).expect("a job's state");
        let told = match status.state {
            Standing::Queued | Standing::Running => Told::Accepted,
            Standing::Done => Told::Done,
            Standing::Cancelled => Told::Cancelled,
        };
        let ended = matches!(job.told, Told::Done | Told::Cancelled);
        if (ended && told != job.told) || (told == Told::Cancelled && !job.cancel_asked) {
            self.broken
                .push(format!("went_back: {id} was {:?}, now {told:?} at {now}", job.told));
        }
        if told == Told::Done {
            let missing = (0..job.spec.tasks)
                .filter(|task| !self.done_tasks.contains(&format!("{id}/{task}")))
                .count();
            if missing > 0 {
                self.broken
                    .push(format!("not_done: {id} lacks {missing} tasks at {now}"));
            }
        }
        if job.told != told {
            job.told = told;
            job.told_at = now;
        }
    }
}

/// What a link carries is what comes out of it.
fn over_the_wire(message: &Message) -> Message {
    let bytes = rmp_serde::to_vec(message).expect("written");
    rmp_serde::from_slice(&bytes).expect("read")
}

fn catalogue() -> Catalogue {
    let machine_type = |name: &str, cpus: f64| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: cpus * 0.05,
        spot_price: Some(cpus * 0.02),
        boot_s: 5.0,
        zones: vec!["north".into(), "south".into()],
    };
    Catalogue {
        types: vec![machine_type("small", 4.0), machine_type("large", 8.0)],
    }
}
