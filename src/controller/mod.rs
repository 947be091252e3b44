//! One controller: the slices composed into a deterministic state machine.
//! [`Controller::step`] takes what happened and returns what to send, write and
//! answer; it does no I/O and has no clock or randomness of its own.

mod claim;
mod cloud;
mod commits;
mod direct_commands;
mod follower;
mod leader;
mod shard;
mod takeover;

pub use shard::Shard;
#[cfg(test)]
pub use shard::tests::shard_with;

use crate::admission::{Admission, AdmissionContext, Asker, Want};
use crate::election::{LeaderElection, LeaseRequest, Phase};
pub use crate::peers::WorkerReply;
use crate::peers::{Answer, Ask, Message, Peers};
use crate::policy::Policy;
use crate::settings::{Connections, Settings};
use crate::store::{Bucket, Keys, StoreReply, StoreRequest, WatchCache, WatchedChange};
use crate::wire::{Catalogue, DirectCommands, JobSpec, MachineList, MachineNames, RentalRequest, Report, Transaction};
use crate::{Millis, Now};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Team limits and preemption span all teams on a pool of machines, so all
/// that compete for it form one shard.
pub const SHARD: &str = "pool";

/// The state service is taken for reachable this long after its last answer.
const STORE_OK_MS: Millis = 3_000;
const CHECK_STORE_MS: Millis = 1_000;
const WATCH_WAIT_MS: u64 = 10_000;
/// Changes that come close together are taken in one answer.
const WATCH_PAUSE_MS: Millis = 150;
/// Pause before a failed read or watch is tried again.
const RETRY_MS: Millis = 300;
/// Requests to the state service that wait are those of this long at its rate: users
/// give up before any more would be sent.
const STORE_QUEUE_S: f64 = 3.0;

#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    User { request: u64, ask: Ask },
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
    Rental(RentalRequest),
    Delete(MachineNames),
    List { after: String },
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    Catalogue(Catalogue),
    Rented(MachineNames),
    NoCapacity,
    Deleted,
    Listed(MachineList),
    /// Refused for good: asking the same again gives the same.
    Malformed,
    /// Not executed.
    Unavailable,
    /// No answer: perhaps executed, perhaps later.
    Lost,
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
    Rentals,
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
    wall: Millis,
    outputs: Vec<Output>,
    next_call: u64,

    election: LeaderElection,
    watch_cache: WatchCache,
    catalogue: Option<Catalogue>,
    admission: Admission,
    peers: Peers,
    shard: Option<Shard>,

    queue: VecDeque<Queued>,
    calls: BTreeMap<u64, (Purpose, StoreRequest)>,
    requests: Bucket,
    writes: Bucket,
    /// Kept for what users wait for, so that it never queues behind a large
    /// transaction of the leader.
    user_writes: Bucket,
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
    pushes: BTreeMap<u64, direct_commands::DirectCall>,
    pushed_at: Millis,
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
    reclaim_wanted: bool,
    /// The term is about to rise, or rising, while what is known still holds.
    raising: bool,
    committed_at: Millis,
    reclaimed_at: Millis,
    loading_since: Millis,
    /// When the last answer to loading came.
    load_heard_at: Millis,

    forwards: BTreeMap<u64, u64>,
    next_forward: u64,
    relays: BTreeMap<u64, (u64, Millis)>,
    /// Reports to relay to the leader, and when that was last done.
    relay_out: Vec<(u64, Report)>,
    relayed_at: Millis,
    connections: Connections,
    /// Commands taken over from a leader, by our call: who asked, and its id.
    held: BTreeMap<u64, (String, u64)>,
    pushed_out: BTreeMap<String, Vec<(u64, WorkerReply)>>,
    /// Workers that this controller sent on lately, and when old ones were forgotten.
    redirected: BTreeMap<String, follower::RedirectedWorker>,
    redirected_at: Millis,
}

impl Controller {
    /// `life` must differ between any two lives of this controller.
    pub fn new(settings: Settings, policy: Policy, life: u64) -> Controller {
        let nodes = settings.peers.iter().map(|peer| peer.node.clone());
        Controller {
            keys: Keys::new(SHARD),
            now: 0,
            wall: 0,
            outputs: Vec::new(),
            // A peer may still answer what a former life of this process asked.
            next_call: life >> 1,
            election: LeaderElection::new(&settings.node, life, settings.watch_cache_age_ms()),
            watch_cache: WatchCache::default(),
            catalogue: None,
            admission: Admission::default(),
            peers: Peers::new(nodes),
            shard: None,
            queue: VecDeque::new(),
            calls: BTreeMap::new(),
            requests: Bucket::new(settings.params.state.rps * 0.2),
            writes: Bucket::new(settings.params.state.write_rps * 0.2),
            user_writes: Bucket::new(settings.params.state.write_rps * 0.04),
            watching: false,
            watch_not_before: 0,
            reading: false,
            read_not_before: 0,
            store_ok_at: None,
            store_failed_at: None,
            store_asked_at: 0,
            cloud: cloud::Calls::new(settings.params.cloud.rps * 0.7),
            pushes: BTreeMap::new(),
            pushed_at: 0,
            next_path: 0,
            claimed_at: 0,
            worker_heard_at: 0,
            maintained_at: 0,
            acted_at: 0,
            placed_at: 0,
            place_wanted: false,
            counts_at: 0,
            reclaim_wanted: false,
            raising: false,
            committed_at: 0,
            reclaimed_at: 0,
            loading_since: 0,
            load_heard_at: 0,
            forwards: BTreeMap::new(),
            next_forward: life >> 1,
            relays: BTreeMap::new(),
            relay_out: Vec::new(),
            relayed_at: 0,
            connections: settings.connections(),
            held: BTreeMap::new(),
            pushed_out: BTreeMap::new(),
            redirected: BTreeMap::new(),
            redirected_at: 0,
            settings,
            policy,
        }
    }

    pub fn step(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.now = now.steady;
        self.wall = now.wall;
        match input {
            Input::Tick => self.tick(),
            Input::User { request, ask } => self.user(request, ask),
            Input::Health { request } => self.health(request),
            Input::Report { request, report } => self.report(request, *report),
            Input::Peer { node, message } => self.peer(node, *message),
            Input::Store { call, reply } => self.store_reply(call, reply),
            Input::Cloud { call, reply } => self.cloud_reply(call, reply),
            Input::Worker { call, reply } => self.worker_answered(call, reply),
        }
        self.advance();
        std::mem::take(&mut self.outputs)
    }

    pub fn leads(&self) -> bool {
        self.election.acting(self.now)
    }

    fn call(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }

    fn store_ok(&self) -> bool {
        self.store_ok_at.is_some_and(|at| self.now < at + STORE_OK_MS)
    }

    fn tick(&mut self) {
        if self.now >= self.peers.heartbeat_at + crate::peers::HEARTBEAT_EVERY_MS {
            self.peers.heartbeat_at = self.now;
            let message = Message::Heartbeat {
                node: self.settings.node.clone(),
                shard: SHARD.into(),
                leads_term: self.leads().then_some(self.election.term),
                store_ok: self.store_ok(),
            };
            self.tell_all(&message);
        }
        self.ask_to_hold();
        let wants = self.with_admission(|admission, context, peers| {
            admission.tick(context, &|node| peers.in_reach(context.now, node))
        });
        self.carry_out(wants);
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

    fn advance_watch_cache(&mut self) {
        if !self.watch_cache.complete {
            if !self.reading && self.now >= self.read_not_before {
                self.reading = true;
                self.enqueue(
                    Purpose::ReadWatchCache,
                    StoreRequest::List {
                        prefix: self.keys.watched(),
                        after: String::new(),
                    },
                );
            }
            return;
        }
        if !self.watching && self.now >= self.watch_not_before {
            self.watching = true;
            self.enqueue(Purpose::Watch, self.watch(WATCH_WAIT_MS));
        }
        // Without other traffic, a look now and then tells whether the state
        // service can be reached, and keeps the watch cache fresh.
        if self.now >= self.store_asked_at + CHECK_STORE_MS {
            self.sync(0);
        }
    }

    fn sync(&mut self, number: u64) {
        self.store_asked_at = self.now;
        let sent = self.now;
        self.enqueue(Purpose::Sync { number, sent }, self.watch(0));
    }

    /// What has changed of the watched keys since the watch cache's revision.
    fn watch(&self, wait_ms: u64) -> StoreRequest {
        StoreRequest::Watch {
            prefix: self.keys.watched(),
            since: self.watch_cache.revision,
            wait_ms,
        }
    }

    fn advance_election(&mut self) {
        let others = self.peers.is_alone() || self.peers.any_in_reach(self.now);
        match self.election.poll(self.now, &self.watch_cache, others) {
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
    fn ask_to_hold(&mut self) {
        if !self.election.asks_to_hold(self.now) {
            return;
        }
        let message = Message::Hold {
            shard: SHARD.into(),
            term: self.election.term,
            asked: self.now,
            revision: self.watch_cache.revision,
        };
        self.tell_all(&message);
    }

    fn tell_all(&mut self, message: &Message) {
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

    fn enqueue(&mut self, purpose: Purpose, request: StoreRequest) {
        let not_before = self.now;
        self.queue.push_back(Queued {
            purpose,
            request,
            not_before,
        });
    }

    /// Sends what the rate budget allows. Lease and claim go first and are
    /// never held back: a share of the rate is kept for them.
    fn send_queued(&mut self) {
        let (part, writes, user_writes) = self.budget();
        self.requests.set_rate(self.settings.params.state.rps * part);
        self.writes.set_rate(self.settings.params.state.write_rps * writes);
        self.user_writes
            .set_rate(self.settings.params.state.write_rps * user_writes);
        let mut held = VecDeque::new();
        let queue = std::mem::take(&mut self.queue);
        let (first, rest): (Vec<_>, Vec<_>) = queue.into_iter().partition(|queued| {
            matches!(
                queued.purpose,
                Purpose::Grant
                    | Purpose::Claim { .. }
                    | Purpose::Renew { .. }
                    | Purpose::CheckClaim
                    | Purpose::Resign
                    // One a second, on which acting depends.
                    | Purpose::Sync { number: 0, .. }
            )
        });
        let urgent = first.len();
        for (position, queued) in first.into_iter().chain(rest).enumerate() {
            let (now, writes) = (self.now, queued.request.writes());
            let for_user = queued.is_users_write() && self.user_writes.ready(now);
            let may_write = writes == 0 || for_user || self.writes.ready(now);
            let ready = now >= queued.not_before && (position < urgent || self.requests.ready(now) && may_write);
            if !ready {
                held.push_back(queued);
                continue;
            }
            self.requests.spend(1.0);
            let from = if for_user {
                &mut self.user_writes
            } else {
                &mut self.writes
            };
            from.spend(f64::from(writes));
            let call = self.call();
            self.outputs.push(Output::Store {
                call,
                request: queued.request.clone(),
            });
            self.calls.insert(call, (queued.purpose, queued.request));
        }
        self.queue = held;
        let most = (self.settings.params.state.rps * STORE_QUEUE_S) as usize;
        while self.queue.len() > most {
            // Only users' requests come in such numbers.
            let Some(position) = self
                .queue
                .iter()
                .rposition(|queued| matches!(queued.purpose, Purpose::ReadEnd(_) | Purpose::Write(_)))
            else {
                break;
            };
            if let Some(queued) = self.queue.remove(position) {
                self.answered(queued.purpose, &queued.request, StoreReply::Unavailable);
            }
        }
    }

    /// This controller's part of the request rate, the write rate, and of that
    /// for users. What is left over is the reserve for leases and claims.
    fn budget(&self) -> (f64, f64, f64) {
        let nodes = self.settings.peers.len() as f64 + 1.0;
        if self.election.phase == Phase::Follower {
            (0.4 / nodes, 0.05 / nodes, 0.15 / nodes)
        } else if self.queue.iter().any(Queued::is_users_write) {
            // A wave of submissions: what is being started, ended and cleaned up
            // can follow, while users count the milliseconds.
            (0.45, 0.3, 0.45)
        } else {
            (0.45, 0.6, 0.15)
        }
    }

    fn store_reply(&mut self, call: u64, reply: StoreReply) {
        let Some((purpose, request)) = self.calls.remove(&call) else {
            return;
        };
        match reply {
            StoreReply::Unavailable | StoreReply::Lost => self.store_failed_at = Some(self.now),
            StoreReply::Throttled => {
                if !matches!(purpose, Purpose::Renew { .. }) {
                    self.queue.push_back(Queued {
                        purpose,
                        request,
                        not_before: self.now + 250,
                    });
                    return;
                }
            }
            _ => self.store_ok_at = Some(self.now),
        }
        self.answered(purpose, &request, reply);
    }

    fn answered(&mut self, purpose: Purpose, request: &StoreRequest, reply: StoreReply) {
        match purpose {
            Purpose::Grant => self.granted(reply),
            Purpose::Claim { transaction, sent } => self.claim_answered(transaction, sent, reply),
            Purpose::Renew { sent } => self.renew_answered(sent, reply),
            Purpose::CheckClaim => self.claim_checked(reply),
            Purpose::ReadWatchCache => self.watch_cache_page(request, reply),
            Purpose::Watch => {
                self.watching = false;
                let taken = self.take_log(reply);
                self.watch_not_before = self.now + if taken { WATCH_PAUSE_MS } else { RETRY_MS };
            }
            Purpose::Sync { number, sent } => {
                let ok = self.take_log(reply);
                if ok {
                    self.watch_cache_read(sent);
                }
                if number > 0 {
                    let wants = self.with_admission(|admission, context, _| admission.synced(context, number, ok));
                    self.carry_out(wants);
                }
            }
            Purpose::Load(part) => self.load_answered(part, request, reply),
            Purpose::Commit => self.commit_answered(request, reply),
            Purpose::CheckCommit(evidence) => self.commit_checked(evidence, &reply),
            Purpose::ReadEnd(op) => {
                let wants = self.admission.end_read(op, &reply);
                self.carry_out(wants);
            }
            Purpose::Write(op) => {
                if let StoreReply::Conflict { failed } = &reply {
                    self.check_claim_in(request, failed);
                }
                let wants = self.with_admission(|admission, context, _| admission.written(context, op, &reply));
                self.carry_out(wants);
            }
            Purpose::Catalogue | Purpose::Resign => {}
        }
    }

    fn watch_cache_page(&mut self, request: &StoreRequest, reply: StoreReply) {
        let StoreReply::Page(page) = reply else {
            self.reading = false;
            self.watch_cache.restart();
            self.read_not_before = self.now + RETRY_MS;
            return;
        };
        let next = page.items.last().map(|entry| entry.key.clone());
        let prefix = self.keys.watched();
        match (self.watch_cache.take_page(&self.keys, page), next) {
            (Some(changes), _) => {
                self.reading = false;
                self.watch_cache_changed(changes);
            }
            (None, Some(after)) => self.enqueue(Purpose::ReadWatchCache, StoreRequest::List { prefix, after }),
            (None, None) => tracing::error!(?request, "an empty page says that there is more"),
        }
    }

    fn take_log(&mut self, reply: StoreReply) -> bool {
        match reply {
            StoreReply::Log(log) if self.watch_cache.complete => {
                let changes = self.watch_cache.take_log(&self.keys, log.revision, log.events);
                self.watch_cache_changed(changes);
                true
            }
            StoreReply::TooOld => {
                self.watch_cache.restart();
                false
            }
            _ => false,
        }
    }

    fn watch_cache_changed(&mut self, changes: Vec<WatchedChange>) {
        for change in changes {
            match change {
                WatchedChange::Leader => self.leader_changed(),
                WatchedChange::Catalogue => {
                    let value = self.watch_cache.catalogue.as_ref().map(|(value, _)| value.clone());
                    match value.map(serde_json::from_value::<Catalogue>) {
                        Some(Ok(catalogue)) => self.set_catalogue(catalogue),
                        Some(Err(error)) => tracing::error!(%error, "the stored catalogue can't be read"),
                        None => {}
                    }
                }
                WatchedChange::Job(id) => self.job_changed(&id),
                WatchedChange::JobGone(id) => {
                    self.peers.counts.remove(&id);
                    if let Some(shard) = &mut self.shard {
                        shard.gone.push(id);
                    }
                }
            }
        }
    }

    fn set_catalogue(&mut self, catalogue: Catalogue) {
        if let Some(shard) = &mut self.shard {
            shard.set_catalogue(&catalogue);
        }
        self.catalogue = Some(catalogue);
        self.place_wanted = true;
    }

    fn job_changed(&mut self, id: &str) {
        if let (Some(shard), Some((key, version))) = (&mut self.shard, self.watch_cache.jobs().get(id)) {
            shard.job_changed(self.now, id, key, *version);
            self.place_wanted = true;
        }
    }

    fn with_admission<T>(&mut self, act: impl FnOnce(&mut Admission, &AdmissionContext, &Peers) -> T) -> T {
        let claim = self
            .election
            .acting(self.now)
            .then(|| self.election.condition(&self.keys));
        let (catalogue, teams) = (&self.catalogue, &self.settings.params.teams);
        let refuse = |spec: &JobSpec| {
            catalogue
                .as_ref()
                .map(|catalogue| crate::admission::check(spec, teams, catalogue))
        };
        let (shard, peers) = (&self.shard, &self.peers);
        let counts = |id: &str| match shard {
            Some(shard) => shard.counts(id),
            None => peers.counts.get(id).copied(),
        };
        let context = AdmissionContext {
            now: self.now,
            wall: self.wall,
            keys: &self.keys,
            limits: &self.settings.params.limits,
            watch_cache: &self.watch_cache,
            claim,
            refuse: &refuse,
            counts: &counts,
        };
        act(&mut self.admission, &context, &self.peers)
    }

    fn carry_out(&mut self, wants: Vec<Want>) {
        for want in wants {
            match want {
                Want::Answer(Asker::User(request), answer) => self.outputs.push(Output::Answer { request, answer }),
                Want::Answer(Asker::Peer { node, id }, answer) => self.outputs.push(Output::Peer {
                    node,
                    message: Message::Forwarded { id, answer },
                }),
                Want::ReadEnd { op, key } => self.enqueue(Purpose::ReadEnd(op), StoreRequest::Get(key)),
                Want::Write { op, transaction } => {
                    self.enqueue(Purpose::Write(op), StoreRequest::Transact(transaction));
                }
                Want::Forward { op, node, ask } => {
                    self.next_forward += 1;
                    let id = self.next_forward;
                    self.forwards.insert(id, op);
                    self.outputs.push(Output::Peer {
                        node,
                        message: Message::Forward {
                            shard: SHARD.into(),
                            id,
                            ask,
                        },
                    });
                }
                Want::Learned { id, key, revision } => {
                    // The watch may have been faster, even to the job's end.
                    if revision > self.watch_cache.revision {
                        self.watch_cache.learn(&id, key, revision);
                        self.job_changed(&id);
                    }
                }
            }
        }
    }

    fn user(&mut self, request: u64, ask: Ask) {
        let forward = self.forward_to(&ask);
        let asker = Asker::User(request);
        let wants = self.with_admission(|admission, context, _| admission.ask(context, asker, ask, forward));
        self.carry_out(wants);
    }

    /// Who should answer: the leader takes submissions and cancels; any other
    /// controller only when this one can't use the state service.
    fn forward_to(&self, ask: &Ask) -> Option<String> {
        if self.leads() {
            return None;
        }
        let leader = self.peers.leader(self.now);
        let to = match ask {
            Ask::Submit(_) | Ask::Cancel(_) if leader.is_some() => leader,
            _ if self.store_ok() => None,
            _ => leader.or(self.peers.with_store(self.now)),
        };
        to.map(str::to_owned)
    }

    /// Not healthy if another controller could do what this one can't, or if
    /// it hears too few of them to tell: users of a controller that is cut off
    /// would ask in vain. In an outage that all share, users are better
    /// answered than refused.
    fn health(&mut self, request: u64) {
        let shared_outage = self.peers.most_in_reach(self.now) && self.peers.with_store(self.now).is_none();
        let well = self.store_ok() || (self.watch_cache.complete && shared_outage);
        let answer = if well {
            crate::admission::text(200, "")
        } else {
            crate::admission::busy("the state service can't be reached")
        };
        self.outputs.push(Output::Answer { request, answer });
    }
}

#[cfg(test)]
mod tests;
