//! A simulated world for the controllers: the state service, the
//! cloud, workers and users, a network that delays, loses and holds back, and
//! seeded faults. The rules of the protocol are checked at every change.

mod checks;
mod cloud;
mod direct_commands;
mod event_dispatch;
mod fault;
mod fault_injection;
mod heartbeat_reports;
mod machines;
mod network;
mod scheduled_event;
mod setup;
mod state_service;
mod store;
mod stored;
mod user_answers;
mod users;
mod worker;

pub use fault::Fault;
pub use users::{KnownState, RequestKind, UserJob};

use scheduled_event::{Caller, ScheduledEvent, Waiting};
use state_service::OpenWatch;

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
pub const CANCEL_DEADLINE_MS: u64 = 40_000;
/// The controller in the south.
const SOUTH_NODE: usize = 1;
const KNOWN_MS: u64 = 75_000;
const WAITING_MS: u64 = 90_000;
const LARGEST_MS: u64 = 240_000;
const TEAM_CPUS: f64 = 24.0;

struct Node {
    controller: Option<Controller>,
    incarnation: u64,
    name: String,
    clock_offset: u64,
    clock_rate: f64,
    store_cut_until: u64,
    peer_cut_until: u64,
    worker_cut_until: u64,
    refused_until: u64,
    reads_lost_until: u64,
    frozen_until: u64,
    /// Inputs that it still takes before it freezes.
    last_inputs: u32,
    /// What its last health check said, as the load balancer sees it.
    healthy: bool,
}

/// Until when each fault of a service, the network or the users lasts.
#[derive(Default)]
struct OngoingFaults {
    store_out_until: u64,
    store_slow_until: u64,
    cloud_out_until: u64,
    peers_refuse_until: u64,
    late_copies_until: u64,
    late_writes_until: u64,
    held_commands_until: u64,
    cancel_at_end_until: u64,
    invalid_requests_until: u64,
    south_isolated_until: u64,
    slow_boots_until: u64,
}

/// The simulated cluster, and what the rules of the protocol are checked against.
pub struct World {
    pub now: u64,
    rng: StdRng,
    order: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled_events: BTreeMap<u64, ScheduledEvent>,
    nodes: Vec<Node>,
    store: Store,
    ongoing: OngoingFaults,
    /// Jobs that fail on every machine until their users cancel them.
    mistaken: BTreeSet<String>,
    watches: Vec<OpenWatch>,
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
    task_machines: BTreeMap<String, BTreeSet<String>>,
    pub done_tasks: BTreeSet<String>,
    pub violations: Vec<String>,
    pub starts: u64,
    /// Tasks that left their machine before their end.
    pub lost_tasks: u64,
    /// Starts of tasks of mistaken jobs, each of which failed.
    pub failures: u64,
    /// Starts of jobs whose users had been told that they are cancelled.
    pub starts_after_cancel: u64,
    /// The longest that a task stayed on a machine after its user was told so.
    pub longest_run_after_cancel_ms: u64,
    pub faults_end_at: u64,
    pub sent: Sent,
    /// Machines to be had of each zone and kind.
    capacity: usize,
    /// How many times longer than usual tasks run.
    pub run_time_factor: u64,
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
    /// Machines that no answer reaches, and that are still rented.
    pub fn machines_receiving_nothing(&self) -> usize {
        let deaf = |worker: &&Worker| worker.up(self.now) && self.now < worker.receives_nothing_until;
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
    pub fn count_stored_keys(&self, prefix: &str) -> usize {
        self.store.count(prefix)
    }

    fn at(&mut self, time: u64, event: ScheduledEvent) {
        self.order += 1;
        self.heap.push(Reverse((time.max(self.now), self.order)));
        self.scheduled_events.insert(self.order, event);
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
            if time > until || !self.violations.is_empty() {
                return;
            }
            self.heap.pop();
            self.now = time;
            if let Some(event) = self.scheduled_events.remove(&order) {
                self.dispatch(event);
            }
        }
    }

    fn step(&mut self, node: usize, input: Input) {
        let (now, running) = (self.now, &mut self.nodes[node]);
        let clock = Now {
            monotonic: running.clock_offset + (now as f64 * running.clock_rate) as u64 + 1_000_000,
            wall_clock: 1_700_000_000_000 + now,
        };
        let Some(controller) = &mut running.controller else {
            return;
        };
        let outputs = controller.step(clock, input);
        let (incarnation, thaw) = (running.incarnation, running.frozen_until);
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
                    ScheduledEvent::Thawed {
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

    fn leader(&self) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.controller.as_ref().is_some_and(Controller::leads))
    }
}
