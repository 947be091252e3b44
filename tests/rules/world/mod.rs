//! A simulated cluster that runs the real controllers against a simulated state service,
//! cloud, workers, users and network.
//!
//! The network delays, loses and holds back messages, and tests inject further faults. All
//! random choices come from one generator that the test seeds, so a run can be repeated.
//! The rules of the protocol are checked on every task start, every answer to a user and
//! every cluster step (100 ms); broken rules are collected in [`World::violations`].
//! Unless another unit is given, times are milliseconds of simulated time.

mod checks;
mod cloud;
mod direct_commands;
mod event_dispatch;
mod fault;
mod fault_injection;
mod heartbeat_reports;
mod machines;
mod network;
mod ongoing_faults;
mod repetitions;
mod scheduled_event;
mod setup;
mod state_service;
mod store;
mod takeover_setup;
mod user_answers;
mod users;
mod worker;

pub use fault::Fault;
use ongoing_faults::OngoingFaults;
pub use users::{KnownState, RequestKind, UserJob};

use scheduled_event::{Caller, PendingRequest, ScheduledEvent};
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

/// How long a worker's lease lasts after the send time of its last acknowledged report.
pub const LEASE_MS: u64 = 20_000;
/// How long after a confirmed cancellation tasks of the job may still be on machines.
pub const CANCEL_DEADLINE_MS: u64 = 40_000;
/// The index of the controller that [`Fault::SouthIsolated`] cuts off together with the zone
/// `south`.
const SOUTH_NODE: usize = 1;
/// How long an accepted job, ended or not, may go without an answer to its user once all faults
/// are over.
const MAX_UNANSWERED_MS: u64 = 75_000;
/// How long a job may wait while a machine has room for one of its tasks, once all faults are
/// over.
const MAX_STARVATION_MS: u64 = 90_000;
/// How long the largest job of a team may take to start its first task after its submission or,
/// if that is later, the end of all faults.
const LARGEST_JOB_START_MS: u64 = 240_000;
/// The default CPU limit of each team.
const TEAM_CPUS: f64 = 24.0;

/// A controller process, its clock and its faults.
struct Node {
    /// `None` while the process is down.
    controller: Option<Controller>,
    /// Identifies one run of the process; 0 while it is down.
    incarnation: u64,
    /// Its node name: `n` and its index.
    name: String,
    /// Milliseconds added to its monotonic clock, so that the clocks of controllers differ.
    clock_offset: u64,
    /// Speed of its monotonic clock relative to simulated time.
    clock_rate: f64,
    /// Until when it can't reach the state service.
    store_cut_until: u64,
    /// Until when it can't exchange messages with other controllers.
    peer_cut_until: u64,
    /// Until when it and the workers can't reach each other.
    worker_cut_until: u64,
    /// Until when the state service answers its requests with 503.
    store_refuses_until: u64,
    /// Until when its reads and watches of the state service get no answer.
    store_reads_lost_until: u64,
    /// Until when the state service's replies to it are slow.
    store_replies_slow_until: u64,
    /// By how many milliseconds these replies are late.
    store_reply_delay_ms: u64,
    /// Until when the process is suspended.
    frozen_until: u64,
    /// The number of inputs that it still processes before the freeze takes effect.
    inputs_before_freeze: u32,
    /// Whether it processes other inputs before the tick when it resumes after a freeze.
    takes_inputs_first: bool,
    /// The result of the last health check by the load balancer.
    healthy: bool,
}

/// The simulated cluster, together with the records that the rules are checked against.
pub struct World {
    /// Simulated time in milliseconds since the start of the run.
    pub now: u64,
    /// The only source of random choices, seeded by the test.
    rng: StdRng,
    /// The number of the event scheduled last; events due at the same time run in this order.
    last_sequence: u64,
    /// Due time and sequence number of each scheduled event, earliest first.
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events by sequence number.
    scheduled_events: BTreeMap<u64, ScheduledEvent>,
    nodes: Vec<Node>,
    store: Store,
    /// Faults of services, the network and users that are under way.
    ongoing_faults: OngoingFaults,
    /// Ids of jobs whose tasks fail on every machine until their users cancel them.
    always_failing_jobs: BTreeSet<String>,
    /// Watches of the state service that wait for a change.
    watches: Vec<OpenWatch>,
    /// Workers by machine name, terminated ones included.
    workers: BTreeMap<String, Worker>,
    /// Names of the machines rented for each machine request, by request id.
    machines_by_request: BTreeMap<String, Vec<String>>,
    /// The number in the name of the next rented machine.
    next_machine: u32,
    /// All jobs of the run; the job at index `i` has the id `j-` and `i` in six digits.
    pub jobs: Vec<UserJob>,
    /// Requests to controllers that are not answered yet, by node and request number.
    pending_requests: BTreeMap<(usize, u64), PendingRequest>,
    /// The number of the last request to a controller.
    last_request: u64,
    /// The id of the last heartbeat report.
    last_report: u64,
    /// Since when most open jobs have had an answer within the last 10 s; `None` while they have
    /// not.
    most_answered_since: Option<u64>,
    /// The machines that each task is running or saving on; empty after it has ended.
    task_machines: BTreeMap<String, BTreeSet<String>>,
    /// Tasks that ended successfully.
    pub done_tasks: BTreeSet<String>,
    /// Broken rules, each starting with the name of the rule; the first one ends the run.
    pub violations: Vec<String>,
    /// The number of task starts.
    pub starts: u64,
    /// The number of task runs that ended early: failed, stopped, or lost when the worker's lease
    /// expired or its agent restarted. Runs that end with their machine are not counted.
    pub lost_tasks: u64,
    /// The number of task starts of jobs that always fail.
    pub always_failing_starts: u64,
    /// The number of task starts after the cancellation of the job was confirmed to its user.
    pub starts_after_cancel: u64,
    /// The longest time in milliseconds that a task stayed on a machine after the confirmed
    /// cancellation of its job.
    pub longest_run_after_cancel_ms: u64,
    /// When all injected faults count as over; see [`Fault::duration_ms`].
    pub faults_end_at: u64,
    /// Counts of what controllers have sent.
    pub sent: SentCounts,
    /// The number of machines that the cloud has for each combination of zone and spot or
    /// on-demand.
    capacity: usize,
    /// A factor on the run time of every task.
    pub run_time_factor: u64,
    /// The CPU limit of each team.
    team_cpus: f64,
}

/// Counts of what all controllers together have sent.
#[derive(Debug, Default)]
pub struct SentCounts {
    /// Requests to the state service, writes included.
    pub store_requests: usize,
    /// Keys written or deleted by transactions.
    pub store_writes: usize,
    /// Messages to other controllers.
    pub messages: usize,
    /// Requests with direct commands to workers.
    pub direct_commands: usize,
    /// Heartbeat reports answered by the leader itself.
    pub leader_answers: usize,
    /// Heartbeat reports answered by any controller.
    pub report_answers: usize,
}

impl World {
    /// Returns the number of rented machines that are up but receive neither answers nor
    /// commands because of [`Fault::MachineReceivesNothing`].
    pub fn machines_receiving_nothing(&self) -> usize {
        let receives_nothing = |worker: &&Worker| worker.is_up(self.now) && self.now < worker.receives_nothing_until;
        self.workers.values().filter(receives_nothing).count()
    }

    /// Returns the number of machines that are up.
    pub fn machines(&self) -> usize {
        self.machine_names().len()
    }

    /// Returns the number of machines rented so far, including those terminated since.
    pub fn machines_rented(&self) -> usize {
        self.machines_by_request.values().map(Vec::len).sum()
    }

    /// Returns the names of the machines that are up.
    pub fn machine_names(&self) -> BTreeSet<String> {
        let up = self.workers.values().filter(|worker| worker.is_up(self.now));
        up.map(|worker| worker.name.clone()).collect()
    }

    /// Returns the number of keys in the state service that start with `prefix`.
    pub fn count_stored_keys(&self, prefix: &str) -> usize {
        self.store.count_keys(prefix)
    }

    /// Schedules an event at `time`, or now if `time` is in the past.
    fn schedule(&mut self, time: u64, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.event_queue.push(Reverse((time.max(self.now), self.last_sequence)));
        self.scheduled_events.insert(self.last_sequence, event);
    }

    /// Draws the delay of one message in milliseconds; one in a hundred is slow.
    fn draw_network_delay_ms(&mut self) -> u64 {
        if self.rng.random_bool(0.01) {
            self.rng.random_range(50..400)
        } else {
            self.rng.random_range(1..8)
        }
    }

    /// Runs all events due by `until`, or until the first violation.
    pub fn run(&mut self, until: u64) {
        while let Some(&Reverse((time, sequence))) = self.event_queue.peek() {
            // Later events stay scheduled for the next call.
            if time > until || !self.violations.is_empty() {
                return;
            }
            self.event_queue.pop();
            self.now = time;
            if let Some(event) = self.scheduled_events.remove(&sequence) {
                self.dispatch(event);
            }
        }
    }

    /// Lets a controller process one input and sends its outputs.
    ///
    /// While the controller is frozen, its outputs are delayed until it resumes, except answers
    /// to users, which are dropped.
    fn step_controller(&mut self, node: usize, input: Input) {
        let (now, state) = (self.now, &mut self.nodes[node]);
        let clock = Now {
            monotonic: state.clock_offset + (now as f64 * state.clock_rate) as u64 + 1_000_000,
            wall_clock: 1_700_000_000_000 + now,
        };
        let Some(controller) = &mut state.controller else {
            return;
        };
        let outputs = controller.step(clock, input);
        let (incarnation, resume_at) = (state.incarnation, state.frozen_until);
        for output in outputs {
            let requester = match &output {
                Output::Answer { request, .. } => self.pending_requests.get(&(node, *request)),
                _ => None,
            };
            if now < resume_at && matches!(requester, Some(PendingRequest::User { .. })) {
                // The user's request has timed out before the controller resumes.
            } else if now < resume_at {
                self.schedule(
                    resume_at,
                    ScheduledEvent::DelayedOutput {
                        node,
                        incarnation,
                        output,
                    },
                );
            } else {
                self.send_output(node, incarnation, output);
            }
        }
    }

    /// Returns the first controller that considers itself the leader.
    fn leader(&self) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.controller.as_ref().is_some_and(Controller::leads))
    }
}
