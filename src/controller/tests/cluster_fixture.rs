//! Three controllers and a state service on one clock, for tests of the order in which different
//! controllers answer. Nothing is drawn at random: the state service executes each request when it is
//! sent, and the test says whose replies are late and who is suspended, cut off or down.

use super::memory_store::MemoryStore;
use super::worker_stand_in::WorkerStandIn;
use super::*;
use crate::wire::DirectCommands;

/// The time between two steps of the cluster, and that until a reply or message arrives.
const STEP_MS: Millis = 10;

/// The numbers of workers' requests follow this one; those of users are lower.
const LAST_USER_REQUEST: u64 = 1 << 32;

/// A watch that waits for a change.
struct OpenWatch {
    node: usize,
    call: u64,
    request: StoreRequest,
}

/// A controller and its troubles.
pub struct Node {
    controller: Option<Controller>,
    /// Inputs with the time at which they arrive.
    arriving: Vec<(Millis, Input)>,
    /// By how much the state service's replies to it are late.
    pub slow_ms: Millis,
    /// By how much the replies to its reads are late in addition.
    pub slow_reads_ms: Millis,
    /// Whether the process stands still. Its inputs arrive when it goes on.
    pub is_suspended: bool,
    /// Whether it exchanges no messages with the other controllers.
    pub is_cut_from_peers: bool,
    /// Whether its requests to the state service are refused.
    pub is_refused: bool,
    /// Whether its requests for leases and renewals are refused.
    pub has_leases_refused: bool,
}

/// An answer to a user, with its time.
#[derive(Clone, Debug)]
pub struct GivenAnswer {
    pub at: Millis,
    pub node: usize,
    pub request: u64,
    pub answer: Answer,
}

/// Three controllers and a state service.
pub struct Cluster {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub answers: Vec<GivenAnswer>,
    pub workers: Vec<WorkerStandIn>,
    store: MemoryStore,
    watches: Vec<OpenWatch>,
    last_request: u64,
    last_incarnation: u64,
}

/// The settings of one of three controllers.
fn settings_of(node: usize) -> Settings {
    let mut settings = Settings::parse(SAMPLE).expect("valid settings");
    let sample = settings.peers[0].clone();
    let peer = |other: usize| crate::settings::Peer {
        node: format!("stall-{other}"),
        ..sample.clone()
    };
    settings.node = format!("stall-{node}");
    settings.peers = (0..3).filter(|&other| other != node).map(peer).collect();
    settings
}

impl Cluster {
    /// Returns a cluster in which a leader has been elected. The state service holds these keys.
    pub fn new(keys: Vec<(String, serde_json::Value)>) -> Cluster {
        let node = |index| Node {
            controller: Some(Controller::new(settings_of(index), Policy::default(), 7 + index as u64)),
            arriving: Vec::new(),
            slow_ms: 0,
            slow_reads_ms: 0,
            is_suspended: false,
            is_cut_from_peers: false,
            is_refused: false,
            has_leases_refused: false,
        };
        let mut cluster = Cluster {
            now: 1_000_000,
            nodes: (0..3).map(node).collect(),
            answers: Vec::new(),
            workers: Vec::new(),
            store: MemoryStore::default(),
            watches: Vec::new(),
            last_request: 0,
            last_incarnation: 100,
        };
        for (key, value) in keys {
            cluster.write(&key, value);
        }
        cluster.run(5_000);
        cluster
    }

    /// Writes a key, as a controller that the test does not have would.
    pub fn write(&mut self, key: &str, value: serde_json::Value) {
        self.store.revision += 1;
        self.store.put(key, value, None);
    }

    /// Returns the leader.
    pub fn leader(&self) -> usize {
        let leads = |node: &Node| node.controller.as_ref().is_some_and(Controller::leads);
        self.nodes.iter().position(leads).expect("a leader")
    }

    /// Ends a controller for good.
    pub fn end(&mut self, node: usize) {
        self.nodes[node].controller = None;
        self.nodes[node].arriving.clear();
        self.watches.retain(|watch| watch.node != node);
    }

    /// Ends a controller and starts it again at once, as a new incarnation.
    pub fn restart(&mut self, node: usize) {
        self.end(node);
        self.last_incarnation += 1;
        let controller = Controller::new(settings_of(node), Policy::default(), self.last_incarnation);
        self.nodes[node].controller = Some(controller);
    }

    /// Sends a user's request to a controller, and returns its number.
    pub fn ask(&mut self, node: usize, user_request: UserRequest) -> u64 {
        self.last_request += 1;
        let request = self.last_request;
        self.nodes[node]
            .arriving
            .push((self.now, Input::User { request, user_request }));
        request
    }

    /// Returns the answer to a request, if it was given.
    pub fn answer_to(&self, request: u64) -> Option<GivenAnswer> {
        self.answers.iter().find(|given| given.request == request).cloned()
    }

    /// Lets time pass until a request is answered, for `ms` at most.
    pub fn run_until_answered(&mut self, request: u64, ms: Millis) -> Option<GivenAnswer> {
        let until = self.now + ms;
        while self.now < until && self.answer_to(request).is_none() {
            self.run(STEP_MS);
        }
        self.answer_to(request)
    }

    /// Lets this time pass.
    pub fn run(&mut self, ms: Millis) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP_MS;
            self.store.expire_leases(self.now);
            self.answer_watches();
            self.run_workers();
            for node in 0..self.nodes.len() {
                self.run_node(node);
            }
        }
    }

    /// Lets the workers send the reports that are due.
    fn run_workers(&mut self) {
        let (now, nodes) = (self.now, self.nodes.len());
        for index in 0..self.workers.len() {
            if let Some((node, report)) = self.workers[index].due_report(now, nodes) {
                let request = LAST_USER_REQUEST + 1 + index as u64;
                let report = Box::new(report);
                let input = Input::Report { request, report };
                self.nodes[node].arriving.push((now + STEP_MS, input));
            }
        }
    }

    /// Delivers what has arrived at a controller, and a tick. The replies of the state service come
    /// first.
    fn run_node(&mut self, node: usize) {
        if self.nodes[node].is_suspended {
            return;
        }
        let arriving = std::mem::take(&mut self.nodes[node].arriving);
        let (mut due, later): (Vec<_>, Vec<_>) = arriving.into_iter().partition(|(at, _)| *at <= self.now);
        self.nodes[node].arriving = later;
        due.sort_by_key(|(_, input)| !matches!(input, Input::Store { .. }));
        for (_, input) in due {
            self.step(node, input);
        }
        self.step(node, Input::Tick);
    }

    fn step(&mut self, node: usize, input: Input) {
        let Some(controller) = &mut self.nodes[node].controller else {
            return;
        };
        for output in controller.step(at(self.now), input) {
            match output {
                Output::Store { call, request } => self.send_to_store(node, call, request),
                Output::Peer { node: to, message } => self.send_to_peer(node, &to, message),
                Output::Answer { request, answer } if request > LAST_USER_REQUEST => {
                    let worker = (request - LAST_USER_REQUEST - 1) as usize;
                    self.workers[worker].receive_answer(self.now, &answer);
                }
                Output::Answer { request, answer } => self.answers.push(GivenAnswer {
                    at: self.now,
                    node,
                    request,
                    answer,
                }),
                Output::Worker {
                    call,
                    address,
                    commands,
                } => self.send_to_worker(node, call, &address, commands),
                Output::Cloud { .. } => {}
            }
        }
    }

    /// Lets the worker at this address execute direct commands, and replies. A worker that is silent
    /// gets and sends nothing.
    fn send_to_worker(&mut self, node: usize, call: u64, address: &str, commands: DirectCommands) {
        let now = self.now;
        let worker = self.workers.iter_mut().find(|worker| worker.name == address);
        let Some(worker) = worker.filter(|worker| !worker.is_silent) else {
            return;
        };
        worker.senders.push(node);
        let reply = worker.receive_commands(now, &commands);
        worker.received.push(commands);
        self.nodes[node]
            .arriving
            .push((now + STEP_MS, Input::Worker { call, reply }));
    }

    fn send_to_store(&mut self, node: usize, call: u64, request: StoreRequest) {
        let concerns_lease = matches!(request, StoreRequest::Grant { .. } | StoreRequest::Renew(_));
        if self.nodes[node].is_refused || concerns_lease && self.nodes[node].has_leases_refused {
            self.reply(node, call, StoreReply::Unavailable);
            return;
        }
        let waits = matches!(request, StoreRequest::Watch { wait_ms, .. } if wait_ms > 0);
        let reply = self.store.execute(self.now, &request);
        if waits && matches!(&reply, StoreReply::WatchLog(log) if log.events.is_empty()) {
            self.watches.push(OpenWatch { node, call, request });
        } else if matches!(request, StoreRequest::Watch { .. } | StoreRequest::Get(_)) {
            self.reply_to_read(node, call, reply);
        } else {
            self.reply(node, call, reply);
        }
    }

    fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let reply = self.store.execute(self.now, &watch.request);
            let is_empty = matches!(&reply, StoreReply::WatchLog(log) if log.events.is_empty());
            if is_empty || self.nodes[watch.node].is_refused {
                self.watches.push(watch);
            } else {
                self.reply_to_read(watch.node, watch.call, reply);
            }
        }
    }

    fn reply(&mut self, node: usize, call: u64, reply: StoreReply) {
        self.reply_after(0, node, call, reply);
    }

    fn reply_to_read(&mut self, node: usize, call: u64, reply: StoreReply) {
        self.reply_after(self.nodes[node].slow_reads_ms, node, call, reply);
    }

    fn reply_after(&mut self, delay_ms: Millis, node: usize, call: u64, reply: StoreReply) {
        let at = self.now + STEP_MS + self.nodes[node].slow_ms + delay_ms;
        self.nodes[node].arriving.push((at, Input::Store { call, reply }));
    }

    fn send_to_peer(&mut self, from: usize, to: &str, message: Message) {
        let Some(to) = (0..self.nodes.len()).find(|other| format!("stall-{other}") == to) else {
            return;
        };
        if self.nodes[from].is_cut_from_peers || self.nodes[to].is_cut_from_peers {
            return;
        }
        let (node, message) = (format!("stall-{from}"), Box::new(message));
        let at = self.now + STEP_MS;
        self.nodes[to].arriving.push((at, Input::Peer { node, message }));
    }
}
