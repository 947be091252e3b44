//! The client of the state service: queued requests, requests in flight, rate limits, and whether
//! the service is reachable.

use super::id_sequence::IdSequence;
use super::store_purpose::Purpose;
use super::{Output, store_rates};
use crate::Millis;
use crate::election::Phase;
use crate::settings::Settings;
use crate::store::{StoreReply, StoreRequest, TokenBucket};
use std::collections::{BTreeMap, VecDeque};
use store_rates::RateShares;

/// The maximum length of the queue, as the number of seconds that sending it takes at the service's
/// full request rate. Users would give up before requests beyond that were sent.
const MAX_QUEUE_S: f64 = 3.0;
/// The state service counts as reachable for this long after its last answer.
const REACHABLE_MS: Millis = 3_000;

/// A request that has not been sent yet.
struct QueuedRequest {
    purpose: Purpose,
    request: StoreRequest,
    /// The earliest time at which it may be sent.
    not_before: Millis,
}

/// A request that has left the queue, with its purpose.
pub(super) struct TrackedRequest {
    pub(super) purpose: Purpose,
    pub(super) request: StoreRequest,
}

/// The token bucket that the writes of a request are charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteBudget {
    /// Reserved for the writes that users wait for.
    Users,
    /// For the controller's own writes, and for users' writes when their own bucket is empty.
    Controller,
}

/// Queues requests to the state service and sends them within the rate limits.
pub(super) struct StoreClient {
    queue: VecDeque<QueuedRequest>,
    /// Keyed by call id.
    in_flight: BTreeMap<u64, TrackedRequest>,
    request_bucket: TokenBucket,
    write_bucket: TokenBucket,
    /// Reserved for the writes that users wait for, so that they never queue behind a large
    /// transaction of the leader.
    user_write_bucket: TokenBucket,
    /// The requests per second that the service allows to all controllers together.
    service_rps: f64,
    /// The writes per second that the service allows to all controllers together.
    service_write_rps: f64,
    /// The number of controllers, including this one.
    controller_count: f64,
    /// When the service last answered. A throttled request does not count as answered.
    last_answer_at: Option<Millis>,
    /// When the service last was unavailable or gave no answer.
    last_failure_at: Option<Millis>,
}

impl StoreClient {
    pub(super) fn new(settings: &Settings) -> StoreClient {
        let state = &settings.params.state;
        let initial = store_rates::INITIAL;
        StoreClient {
            queue: VecDeque::new(),
            in_flight: BTreeMap::new(),
            request_bucket: TokenBucket::new(state.rps * initial.requests),
            write_bucket: TokenBucket::new(state.write_rps * initial.writes),
            user_write_bucket: TokenBucket::new(state.write_rps * initial.user_writes),
            service_rps: state.rps,
            service_write_rps: state.write_rps,
            controller_count: settings.peers.len() as f64 + 1.0,
            last_answer_at: None,
            last_failure_at: None,
        }
    }

    /// Queues a request to be sent at `not_before` at the earliest.
    pub(super) fn enqueue(&mut self, not_before: Millis, purpose: Purpose, request: StoreRequest) {
        self.queue.push_back(QueuedRequest {
            purpose,
            request,
            not_before,
        });
    }

    /// The number of queued requests.
    pub(super) fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// This controller's shares of the service's rates: a follower's share, or the leader's shares
    /// in all other phases. What remains is reserved for leases and claims.
    pub(super) fn rate_shares(&self, phase: Phase) -> RateShares {
        if phase == Phase::Follower {
            store_rates::FOLLOWERS.divided_by(self.controller_count)
        } else if self.queue.iter().any(|queued| queued.purpose.is_user_write()) {
            store_rates::LEADER_WITH_QUEUED_USER_WRITES
        } else {
            store_rates::LEADER
        }
    }

    /// Sets the rate limits for the given phase of the election.
    pub(super) fn set_rates(&mut self, phase: Phase) {
        let shares = self.rate_shares(phase);
        self.request_bucket.set_rate(self.service_rps * shares.requests);
        self.write_bucket.set_rate(self.service_write_rps * shares.writes);
        self.user_write_bucket
            .set_rate(self.service_write_rps * shares.user_writes);
    }

    /// Sends queued requests within the rate limits, urgent requests first.
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

    /// Returns the budget to charge for a request, or `None` if the request has to wait.
    fn ready_budget(&mut self, now: Millis, queued: &QueuedRequest) -> Option<WriteBudget> {
        let budget = if queued.purpose.is_user_write() && self.user_write_bucket.ready(now) {
            WriteBudget::Users
        } else {
            WriteBudget::Controller
        };
        let may_write = queued.request.writes() == 0 || budget == WriteBudget::Users || self.write_bucket.ready(now);
        let is_ready =
            now >= queued.not_before && (queued.purpose.is_urgent() || self.request_bucket.ready(now) && may_write);
        is_ready.then_some(budget)
    }

    /// Sends a request under a new call id and charges it to the rate limits.
    fn send(
        &mut self,
        queued: QueuedRequest,
        budget: WriteBudget,
        call_ids: &mut IdSequence,
        outputs: &mut Vec<Output>,
    ) {
        let QueuedRequest { purpose, request, .. } = queued;
        self.request_bucket.spend(1.0);
        let bucket = match budget {
            WriteBudget::Users => &mut self.user_write_bucket,
            WriteBudget::Controller => &mut self.write_bucket,
        };
        bucket.spend(f64::from(request.writes()));
        let call = call_ids.next();
        outputs.push(Output::Store {
            call,
            request: request.clone(),
        });
        self.in_flight.insert(call, TrackedRequest { purpose, request });
    }

    /// Removes and returns the last user request in the queue if the queue is too long. Only user
    /// requests arrive in such numbers.
    pub(super) fn take_excess(&mut self) -> Option<TrackedRequest> {
        let max_queue = (self.service_rps * MAX_QUEUE_S) as usize;
        if self.queue.len() <= max_queue {
            return None;
        }
        let position = self.queue.iter().rposition(|queued| queued.purpose.is_for_user())?;
        let QueuedRequest { purpose, request, .. } = self.queue.remove(position)?;
        Some(TrackedRequest { purpose, request })
    }

    /// Removes and returns the request that a reply belongs to. `None` if it was discarded.
    pub(super) fn take_answered(&mut self, now: Millis, call: u64, reply: &StoreReply) -> Option<TrackedRequest> {
        let answered = self.in_flight.remove(&call)?;
        match reply {
            StoreReply::Unavailable | StoreReply::Unanswered => self.last_failure_at = Some(now),
            StoreReply::Throttled => {}
            _ => self.last_answer_at = Some(now),
        }
        Some(answered)
    }

    /// Discards all requests that are valid only within the ending term.
    pub(super) fn discard_term_requests(&mut self) {
        self.in_flight.retain(|_, sent| !sent.purpose.is_bound_to_term());
        self.queue.retain(|queued| !queued.purpose.is_bound_to_term());
    }

    /// Whether the service has answered recently.
    pub(super) fn is_reachable(&self, now: Millis) -> bool {
        self.last_answer_at.is_some_and(|at| now < at + REACHABLE_MS)
    }

    /// Whether the service has failed since its last answer.
    pub(super) fn is_failing(&self) -> bool {
        self.last_failure_at > self.last_answer_at
    }

    /// Whether the rate limits allow another transaction of the leader.
    pub(super) fn may_commit(&mut self, now: Millis) -> bool {
        self.write_bucket.ready(now) && self.request_bucket.ready(now)
    }

    /// The number of writes the leader may send now without overdrawing its token bucket.
    pub(super) fn write_allowance(&mut self, now: Millis) -> usize {
        self.write_bucket.level(now) as usize
    }
}
