//! The controller's side of the state service: requests that wait, requests in flight,
//! the rates within which they are sent, and whether the service answers.

use super::id_sequence::IdSequence;
use super::store_purpose::Purpose;
use super::{Output, store_rates};
use crate::Millis;
use crate::election::Phase;
use crate::settings::Settings;
use crate::store::{StoreReply, StoreRequest, TokenBucket};
use std::collections::{BTreeMap, VecDeque};
use store_rates::RateShares;

/// Requests to the state service that wait are those of this long at its rate: users
/// give up before any more would be sent.
const MAX_QUEUE_S: f64 = 3.0;
/// The state service is taken for reachable this long after its last answer.
const REACHABLE_MS: Millis = 3_000;

struct QueuedRequest {
    purpose: Purpose,
    request: StoreRequest,
    not_before: Millis,
}

/// A request and why it was made.
pub(super) struct TrackedRequest {
    pub(super) purpose: Purpose,
    pub(super) request: StoreRequest,
}

/// What pays for the writes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteBudget {
    Users,
    Controller,
}

/// Requests to the state service, sent within the rates.
pub(super) struct StoreClient {
    queue: VecDeque<QueuedRequest>,
    in_flight: BTreeMap<u64, TrackedRequest>,
    requests: TokenBucket,
    writes: TokenBucket,
    /// Reserved for what users wait for, so that it never queues behind a large
    /// transaction of the leader.
    user_writes: TokenBucket,
    /// Requests and writes a second that the service allows to all controllers.
    service_rps: f64,
    service_write_rps: f64,
    controllers: f64,
    last_answer_at: Option<Millis>,
    /// When it last refused a request or gave no answer.
    last_failure_at: Option<Millis>,
}

impl StoreClient {
    pub(super) fn new(settings: &Settings) -> StoreClient {
        let state = &settings.params.state;
        let initial = store_rates::INITIAL;
        StoreClient {
            queue: VecDeque::new(),
            in_flight: BTreeMap::new(),
            requests: TokenBucket::new(state.rps * initial.requests),
            writes: TokenBucket::new(state.write_rps * initial.writes),
            user_writes: TokenBucket::new(state.write_rps * initial.user_writes),
            service_rps: state.rps,
            service_write_rps: state.write_rps,
            controllers: settings.peers.len() as f64 + 1.0,
            last_answer_at: None,
            last_failure_at: None,
        }
    }

    /// Sends the request no sooner than `not_before`.
    pub(super) fn enqueue(&mut self, not_before: Millis, purpose: Purpose, request: StoreRequest) {
        self.queue.push_back(QueuedRequest {
            purpose,
            request,
            not_before,
        });
    }

    /// How many requests wait.
    pub(super) fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// This controller's part of the rates. What is left over is the reserve for
    /// leases and claims.
    pub(super) fn rate_shares(&self, phase: Phase) -> RateShares {
        if phase == Phase::Follower {
            store_rates::FOLLOWERS.divided_by(self.controllers)
        } else if self.queue.iter().any(|queued| queued.purpose.is_user_write()) {
            store_rates::LEADER_WITH_QUEUED_USER_WRITES
        } else {
            store_rates::LEADER
        }
    }

    /// Adapts the rates to the phase of the election.
    pub(super) fn set_rates(&mut self, phase: Phase) {
        let shares = self.rate_shares(phase);
        self.requests.set_rate(self.service_rps * shares.requests);
        self.writes.set_rate(self.service_write_rps * shares.writes);
        self.user_writes.set_rate(self.service_write_rps * shares.user_writes);
    }

    /// Sends what the rates allow, the urgent first.
    pub(super) fn send_ready(&mut self, now: Millis, call_ids: &mut IdSequence, outputs: &mut Vec<Output>) {
        let queue = std::mem::take(&mut self.queue);
        let (urgent, rest): (Vec<_>, Vec<_>) = queue.into_iter().partition(|queued| queued.purpose.is_urgent());
        for queued in urgent.into_iter().chain(rest) {
            match self.ready_budget(now, &queued) {
                Some(budget) => self.send(queued, budget, call_ids, outputs),
                None => self.queue.push_back(queued),
            }
        }
    }

    /// What pays for the request now. `None`: it has to wait.
    fn ready_budget(&mut self, now: Millis, queued: &QueuedRequest) -> Option<WriteBudget> {
        let budget = if queued.purpose.is_user_write() && self.user_writes.ready(now) {
            WriteBudget::Users
        } else {
            WriteBudget::Controller
        };
        let may_write = queued.request.writes() == 0 || budget == WriteBudget::Users || self.writes.ready(now);
        let is_ready =
            now >= queued.not_before && (queued.purpose.is_urgent() || self.requests.ready(now) && may_write);
        is_ready.then_some(budget)
    }

    fn send(
        &mut self,
        queued: QueuedRequest,
        budget: WriteBudget,
        call_ids: &mut IdSequence,
        outputs: &mut Vec<Output>,
    ) {
        let QueuedRequest { purpose, request, .. } = queued;
        self.requests.spend(1.0);
        let bucket = match budget {
            WriteBudget::Users => &mut self.user_writes,
            WriteBudget::Controller => &mut self.writes,
        };
        bucket.spend(f64::from(request.writes()));
        let call = call_ids.next();
        outputs.push(Output::Store {
            call,
            request: request.clone(),
        });
        self.in_flight.insert(call, TrackedRequest { purpose, request });
    }

    /// Takes out a request of a user, the last one, if too many requests wait: only
    /// users' requests come in such numbers.
    pub(super) fn take_excess(&mut self) -> Option<TrackedRequest> {
        let max_queue = (self.service_rps * MAX_QUEUE_S) as usize;
        if self.queue.len() <= max_queue {
            return None;
        }
        let position = self.queue.iter().rposition(|queued| queued.purpose.is_for_user())?;
        let QueuedRequest { purpose, request, .. } = self.queue.remove(position)?;
        Some(TrackedRequest { purpose, request })
    }

    /// Takes out the request that this reply answers, if it still matters.
    pub(super) fn take_answered(&mut self, now: Millis, call: u64, reply: &StoreReply) -> Option<TrackedRequest> {
        let answered = self.in_flight.remove(&call)?;
        match reply {
            StoreReply::Unavailable | StoreReply::Unanswered => self.last_failure_at = Some(now),
            StoreReply::Throttled => {}
            _ => self.last_answer_at = Some(now),
        }
        Some(answered)
    }

    /// Drops all requests that mean something only within the term that ends.
    pub(super) fn discard_term_requests(&mut self) {
        self.in_flight.retain(|_, sent| !sent.purpose.is_bound_to_term());
        self.queue.retain(|queued| !queued.purpose.is_bound_to_term());
    }

    /// Whether the service answered lately.
    pub(super) fn is_reachable(&self, now: Millis) -> bool {
        self.last_answer_at.is_some_and(|at| now < at + REACHABLE_MS)
    }

    /// Whether it has failed since it last answered.
    pub(super) fn is_failing(&self) -> bool {
        self.last_failure_at > self.last_answer_at
    }

    /// Whether the rates allow another transaction of the leader.
    pub(super) fn may_commit(&mut self, now: Millis) -> bool {
        self.writes.ready(now) && self.requests.ready(now)
    }

    /// How many writes the leader may send now without going into debt.
    pub(super) fn write_allowance(&mut self, now: Millis) -> usize {
        self.writes.level(now) as usize
    }
}
