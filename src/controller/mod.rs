//! A controller: a deterministic state machine that composes the other modules of the crate.
//!
//! [`Controller::step`] takes one [`Input`] and returns the resulting [`Output`]s. It performs no
//! I/O and has no clock or randomness of its own.

mod activity;
mod answer_confirmations;
mod claim;
mod cloud;
mod command_delivery;
mod commits;
mod delegated_commands;
mod direct_commands;
mod forwarded_requests;
mod id_sequence;
mod input;
mod leader;
mod leader_timers;
mod lease_extension;
mod load_progress;
mod membership;
mod output;
mod peer_messages;
mod placement_rounds;
mod redirects;
mod report_relay;
mod requests;
mod shard;
mod store_calls;
mod store_client;
mod store_purpose;
mod store_rates;
mod takeover;
mod term_raise;
mod watch_state;
mod watching;
mod worker_reports;

pub use crate::peers::WorkerReply;
pub use input::Input;
pub use output::{CloudReply, CloudRequest, Output};
pub use shard::Shard;
#[cfg(test)]
pub use shard::tests::shard_with;

use crate::admission::Admission;
use crate::election::{Connectivity, LeaderElection, LeaseRequest};
use crate::membership::Membership;
use crate::peers::PeerLinks;
use crate::policy::Policy;
use crate::settings::{ConnectionLimits, Settings};
use crate::store::{Keys, StoreRequest, WatchCache};
use crate::wire::Catalogue;
use crate::{Millis, Now};
use activity::Activity;
use command_delivery::CommandDelivery;
use delegated_commands::DelegatedCommands;
use forwarded_requests::ForwardedRequests;
use id_sequence::IdSequence;
use leader_timers::LeaderTimers;
use load_progress::LoadProgress;
use placement_rounds::PlacementRounds;
use redirects::Redirects;
use report_relay::ReportRelay;
use store_client::StoreClient;
use store_purpose::{LoadStage, Purpose};
use term_raise::TermRaise;
use watch_state::WatchState;

/// The name of the only shard.
///
/// Team quotas and preemption span all teams that share a pool of machines, so all jobs that
/// compete for the pool belong to one shard.
pub const SHARD: &str = "pool";

/// The fraction of the cloud's request rate that a leader uses.
const CLOUD_RATE_SHARE: f64 = 0.7;

/// One controller process: holds its state and routes each input to the module that handles it.
pub struct Controller {
    settings: Settings,
    policy: Policy,
    keys: Keys,
    connections: ConnectionLimits,
    /// The time of the current step on the monotonic clock.
    now: Millis,
    /// The time of the current step on the wall clock.
    wall_clock: Millis,
    /// The outputs of the current step.
    outputs: Vec<Output>,
    /// Call ids of requests to the state service, the cloud and workers.
    call_ids: IdSequence,
    /// Ids of user requests and worker reports that are sent on to peers.
    peer_request_ids: IdSequence,

    // State of every controller.
    election: LeaderElection,
    membership: Membership,
    peers: PeerLinks,
    admission: Admission,
    /// The cloud's catalogue of machine types, `None` until it has been read from the cloud or the
    /// state service.
    catalogue: Option<Catalogue>,
    watch_cache: WatchCache,
    watch_state: WatchState,
    store_client: StoreClient,
    activity: Activity,

    // State that only the leader uses.
    /// The state of the shard, present from the commit of the claim until this controller steps
    /// down.
    shard: Option<Shard>,
    leader_timers: LeaderTimers,
    load_progress: LoadProgress,
    term_raise: TermRaise,
    placement_rounds: PlacementRounds,
    command_delivery: CommandDelivery,
    redirects: Redirects,
    cloud: cloud::CloudCalls,

    // State of a controller that forwards or relays to the leader.
    forwarded_requests: ForwardedRequests,
    report_relay: ReportRelay,
    delegated_commands: DelegatedCommands,
}

impl Controller {
    /// Creates a controller that has not yet read anything from the state service.
    ///
    /// `incarnation` must differ each time this controller's process starts.
    pub fn new(settings: Settings, policy: Policy, incarnation: u64) -> Controller {
        let nodes = settings.peers.iter().map(|peer| peer.node.clone());
        Controller {
            keys: Keys::new(SHARD),
            connections: settings.connections(),
            now: 0,
            wall_clock: 0,
            outputs: Vec::new(),
            call_ids: IdSequence::for_incarnation(incarnation),
            peer_request_ids: IdSequence::for_incarnation(incarnation),
            election: LeaderElection::new(&settings.node, incarnation, settings.max_watch_cache_age_ms()),
            membership: Membership::new(&settings.node, incarnation),
            peers: PeerLinks::new(nodes),
            admission: Admission::default(),
            catalogue: None,
            watch_cache: WatchCache::default(),
            watch_state: WatchState::default(),
            store_client: StoreClient::new(&settings),
            activity: Activity::default(),
            shard: None,
            leader_timers: LeaderTimers::default(),
            load_progress: LoadProgress::default(),
            term_raise: TermRaise::default(),
            placement_rounds: PlacementRounds::default(),
            command_delivery: CommandDelivery::default(),
            redirects: Redirects::default(),
            cloud: cloud::CloudCalls::new(settings.params.cloud.rps * CLOUD_RATE_SHARE),
            forwarded_requests: ForwardedRequests::default(),
            report_relay: ReportRelay::default(),
            delegated_commands: DelegatedCommands::default(),
            settings,
            policy,
        }
    }

    /// Handles one input, then performs the work that is due, and returns the resulting outputs.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.now = now.monotonic;
        self.wall_clock = now.wall_clock;
        match input {
            Input::Tick => self.on_tick(),
            Input::User { request, user_request } => self.on_user_request(request, user_request),
            Input::Health { request } => self.on_health_check(request),
            Input::Report { request, report } => self.on_report(request, *report),
            Input::Peer { node, message } => self.on_peer_message(node, *message),
            Input::Store { call, reply } => self.on_store_reply(call, reply),
            Input::Cloud { call, reply } => self.on_cloud_reply(call, reply),
            Input::Worker { call, reply } => self.on_worker_reply(call, reply),
        }
        self.advance();
        std::mem::take(&mut self.outputs)
    }

    /// Whether this controller is the acting leader: it holds the claim and its leadership has
    /// not expired.
    pub fn leads(&self) -> bool {
        self.election.is_acting_leader(self.now)
    }

    /// Returns a new id for a request to the state service, the cloud or a worker.
    fn next_call_id(&mut self) -> u64 {
        self.call_ids.next()
    }

    /// Performs the work that depends only on elapsed time.
    fn on_tick(&mut self) {
        self.send_heartbeat();
        self.request_lease_extension();
        self.tick_admission();
        self.expire_relayed_reports();
        self.flush_relays();
        self.redirects.prune(self.now);
        self.log_activity();
        self.forwarded_requests.prune(self.peer_request_ids.last());
    }

    /// Performs the work that is due. Called after every input.
    fn advance(&mut self) {
        self.advance_watch_cache();
        self.advance_membership();
        self.advance_election();
        self.advance_leader();
        self.advance_loading();
        self.send_confirming_read();
        self.send_queued();
    }

    /// Sends the lease request that the election requires now, if any.
    fn advance_election(&mut self) {
        let connectivity = if self.peers.has_no_peers() || self.peers.any_peer_reachable(self.now) {
            Connectivity::Connected
        } else {
            Connectivity::Isolated
        };
        match self.election.poll(self.now, &self.watch_cache, connectivity) {
            Some(LeaseRequest::Grant) => {
                let ttl_ms = crate::election::LEASE_MS;
                self.enqueue(Purpose::GrantLease, StoreRequest::Grant { ttl_ms });
            }
            Some(LeaseRequest::Renew(lease)) => {
                self.enqueue(Purpose::RenewLease { sent_at: self.now }, StoreRequest::Renew(lease));
            }
            None => {}
        }
    }
}

#[cfg(test)]
mod tests;
