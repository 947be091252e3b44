//! One controller: the slices composed into a deterministic state machine.
//! [`Controller::step`] takes what happened and returns what to send, write and
//! answer; it does no I/O and has no clock or randomness of its own.

mod claim;
mod cloud;
mod commits;
mod direct_commands;
mod follower;
mod leader;
mod requests;
mod shard;
mod store_calls;
mod takeover;
mod watching;

pub use shard::Shard;
#[cfg(test)]
pub use shard::tests::shard_with;

use crate::admission::Admission;
use crate::election::{Connectivity, LeaderElection, LeaseRequest};
pub use crate::peers::WorkerReply;
use crate::peers::{Answer, CommandReply, Message, PeerLinks, RelayedReport, UserRequest};
use crate::policy::Policy;
use crate::settings::{Connections, Settings};
use crate::store::{Keys, StoreReply, StoreRequest, TokenBucket, WatchCache};
use crate::wire::{Catalogue, DirectCommands, MachineList, MachineNames, MachineRequest, Report, Transaction};
use crate::{Millis, Now};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Team limits and preemption span all teams on a pool of machines, so all
/// that compete for it form one shard.
pub const SHARD: &str = "pool";

/// The state service is taken for reachable this long after its last answer.
const STORE_OK_MS: Millis = 3_000;

#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    User { request: u64, user_request: UserRequest },
    Health { request: u64 },
    Report { request: u64, report: Box<Report> },
    Peer { message: Box<Message>, node: String },
    Store { call: u64, reply: StoreReply },
    Cloud { call: u64, reply: CloudReply },
    Worker { call: u64, reply: WorkerReply },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Answer {
        request: u64,
        answer: Answer,
    },
    Store {
        call: u64,
        request: StoreRequest,
    },
    Cloud {
        call: u64,
        request: CloudRequest,
    },
    Worker {
        call: u64,
        address: String,
        commands: DirectCommands,
    },
    Peer {
        node: String,
        message: Message,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    Catalogue,
    RequestMachines(MachineRequest),
    Delete(MachineNames),
    List { after: String },
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    Catalogue(Catalogue),
    Provisioned(MachineNames),
    NoCapacity,
    Deleted,
    Listed(MachineList),
    /// Refused for good: asking the same again gives the same.
    Malformed,
    /// Not executed.
    Unavailable,
    /// No answer: perhaps executed, perhaps later.
    Unanswered,
}

/// Why a request to the state service was made.
#[derive(Clone, Debug)]
enum Purpose {
    Grant,
    Claim {
        transaction: Arc<Transaction>,
        sent: Millis,
    },
    Renew {
        sent: Millis,
    },
    /// After a claim that conflicted: is it ours?
    CheckClaim,
    ReadWatchCache,
    Watch,
    /// Brings the watch cache up to date; for questions of admission, if not 0.
    Sync {
        number: u64,
        sent: Millis,
    },
    Load(Loading),
    Commit,
    /// Whether the transaction in flight was carried out.
    CheckCommit(commits::Evidence),
    ReadEnd(u64),
    Write(u64),
    Catalogue,
    Resign,
}

/// What a new leader reads, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loading {
    Machines,
    MachineRequests,
    /// The watched keys, up to a revision after the claim.
    WatchCache,
    Firings,
}

struct Queued {
    purpose: Purpose,
    request: StoreRequest,
    not_before: Millis,
}

impl Queued {
    fn is_users_write(&self) -> bool {
        matches!(self.purpose, Purpose::Write(_))
    }
}

pub struct Controller {
    settings: Settings,
    policy: Policy,
    keys: Keys,
    now: Millis,
    wall_clock: Millis,
    outputs: Vec<Output>,
    next_call: u64,

    election: LeaderElection,
    watch_cache: WatchCache,
    catalogue: Option<Catalogue>,
    admission: Admission,
    peers: PeerLinks,
    shard: Option<Shard>,

    queue: VecDeque<Queued>,
    calls: BTreeMap<u64, (Purpose, StoreRequest)>,
    requests: TokenBucket,
    writes: TokenBucket,
    /// Kept for what users wait for, so that it never queues behind a large
    /// transaction of the leader.
    user_writes: TokenBucket,
    watching: bool,
    watch_not_before: Millis,
    reading: bool,
    read_not_before: Millis,
    store_ok_at: Option<Millis>,
    /// When it last refused a request or gave no answer.
    store_failed_at: Option<Millis>,
    store_asked_at: Millis,

    cloud: cloud::Calls,
    /// Direct commands in flight.
    deliveries: BTreeMap<u64, direct_commands::DirectCall>,
    delivered_at: Millis,
    next_path: usize,
    claimed_at: Millis,
    worker_heard_at: Millis,
    maintained_at: Millis,
    /// When it last acted as the leader.
    acted_at: Millis,
    placed_at: Millis,
    place_wanted: bool,
    counts_at: Millis,
    /// What is known may be wrong: claim once more and read it all again.
    reload_wanted: bool,
    /// The term is about to rise, or rising, while what is known still holds.
    raising_term: bool,
    committed_at: Millis,
    term_raised_at: Millis,
    loading_since: Millis,
    /// When the last answer to loading came.
    load_heard_at: Millis,

    forwards: BTreeMap<u64, u64>,
    next_forward: u64,
    relays: BTreeMap<u64, (u64, Millis)>,
    /// Reports to relay to the leader, and when that was last done.
    reports_to_relay: Vec<RelayedReport>,
    relayed_at: Millis,
    connections: Connections,
    /// Commands taken over from a leader, by our call: who asked, and its id.
    delegated_deliveries: BTreeMap<u64, (String, u64)>,
    delivery_replies: BTreeMap<String, Vec<CommandReply>>,
    /// Workers that this controller sent on lately, and when old ones were forgotten.
    redirected: BTreeMap<String, follower::RedirectedWorker>,
    redirected_at: Millis,
}

impl Controller {
    /// `incarnation` must differ between any two incarnations of this controller.
    pub fn new(settings: Settings, policy: Policy, incarnation: u64) -> Controller {
        let nodes = settings.peers.iter().map(|peer| peer.node.clone());
        Controller {
            keys: Keys::new(SHARD),
            now: 0,
            wall_clock: 0,
            outputs: Vec::new(),
            // A peer may still answer what a former incarnation of this process asked.
            next_call: incarnation >> 1,
            election: LeaderElection::new(&settings.node, incarnation, settings.max_watch_cache_age_ms()),
            watch_cache: WatchCache::default(),
            catalogue: None,
            admission: Admission::default(),
            peers: PeerLinks::new(nodes),
            shard: None,
            queue: VecDeque::new(),
            calls: BTreeMap::new(),
            requests: TokenBucket::new(settings.params.state.rps * 0.2),
            writes: TokenBucket::new(settings.params.state.write_rps * 0.2),
            user_writes: TokenBucket::new(settings.params.state.write_rps * 0.04),
            watching: false,
            watch_not_before: 0,
            reading: false,
            read_not_before: 0,
            store_ok_at: None,
            store_failed_at: None,
            store_asked_at: 0,
            cloud: cloud::Calls::new(settings.params.cloud.rps * 0.7),
            deliveries: BTreeMap::new(),
            delivered_at: 0,
            next_path: 0,
            claimed_at: 0,
            worker_heard_at: 0,
            maintained_at: 0,
            acted_at: 0,
            placed_at: 0,
            place_wanted: false,
            counts_at: 0,
            reload_wanted: false,
            raising_term: false,
            committed_at: 0,
            term_raised_at: 0,
            loading_since: 0,
            load_heard_at: 0,
            forwards: BTreeMap::new(),
            next_forward: incarnation >> 1,
            relays: BTreeMap::new(),
            reports_to_relay: Vec::new(),
            relayed_at: 0,
            connections: settings.connections(),
            delegated_deliveries: BTreeMap::new(),
            delivery_replies: BTreeMap::new(),
            redirected: BTreeMap::new(),
            redirected_at: 0,
            settings,
            policy,
        }
    }

    pub fn step(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.now = now.monotonic;
        self.wall_clock = now.wall_clock;
        match input {
            Input::Tick => self.tick(),
            Input::User { request, user_request } => self.user(request, user_request),
            Input::Health { request } => self.health(request),
            Input::Report { request, report } => self.report(request, *report),
            Input::Peer { node, message } => self.peer(node, *message),
            Input::Store { call, reply } => self.store_reply(call, reply),
            Input::Cloud { call, reply } => self.cloud_reply(call, reply),
            Input::Worker { call, reply } => self.on_worker_reply(call, reply),
        }
        self.advance();
        std::mem::take(&mut self.outputs)
    }

    pub fn leads(&self) -> bool {
        self.election.is_acting_leader(self.now)
    }

    fn call(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }

    fn store_ok(&self) -> bool {
        self.store_ok_at.is_some_and(|at| self.now < at + STORE_OK_MS)
    }

    fn tick(&mut self) {
        if self.peers.take_heartbeat_due(self.now) {
            let message = Message::Heartbeat {
                node: self.settings.node.clone(),
                shard: SHARD.into(),
                leading_term: self.leads().then_some(self.election.term()),
                store_reachable: self.store_ok(),
            };
            self.broadcast(&message);
        }
        self.request_lease_extension();
        let wants = self.with_admission(|admission, context, peers| {
            admission.tick(context, &|node| peers.is_in_reach(context.now, node))
        });
        self.apply_effects(wants);
        self.follower_tick();
    }

    /// Whatever is due, after every input.
    fn advance(&mut self) {
        self.advance_watch_cache();
        self.advance_election();
        self.advance_leader();
        if let Some(number) = self.admission.take_sync() {
            self.sync(number);
        }
        self.send_queued();
    }

    fn advance_election(&mut self) {
        let connectivity = if self.peers.is_alone() || self.peers.any_in_reach(self.now) {
            Connectivity::Connected
        } else {
            Connectivity::Isolated
        };
        match self.election.poll(self.now, &self.watch_cache, connectivity) {
            Some(LeaseRequest::Grant) => {
                let ttl_ms = crate::election::LEASE_MS;
                self.enqueue(Purpose::Grant, StoreRequest::Grant { ttl_ms });
            }
            Some(LeaseRequest::Renew(lease)) => {
                self.enqueue(Purpose::Renew { sent: self.now }, StoreRequest::Renew(lease));
            }
            None => {}
        }
    }

    /// Where the state service can't be reached, the others may promise not to
    /// claim meanwhile.
    fn request_lease_extension(&mut self) {
        if !self.election.take_extension_request_due(self.now) {
            return;
        }
        let message = Message::RequestLeaseExtension {
            shard: SHARD.into(),
            term: self.election.term(),
            requested_at: self.now,
            watch_revision: self.watch_cache.revision,
        };
        self.broadcast(&message);
    }

    fn broadcast(&mut self, message: &Message) {
        for node in self.peers.names() {
            let message = message.clone();
            self.outputs.push(Output::Peer { node, message });
        }
    }

    fn send_claim(&mut self, transaction: Transaction) {
        let transaction = Arc::new(transaction);
        self.enqueue(
            Purpose::Claim {
                transaction: transaction.clone(),
                sent: self.now,
            },
            StoreRequest::Transact(transaction),
        );
    }
}

#[cfg(test)]
mod tests;
