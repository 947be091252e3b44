//! The phases of an election and the lease requests that each phase sends to the state service.

use super::extension::EXTENSION_MS;
use super::{LeaderElection, SAFETY_MARGIN_MS, Suspension};
use crate::Millis;
use crate::store::WatchCache;

/// How often the leader renews its lease.
const RENEW_INTERVAL_MS: Millis = 1_000;
/// The maximum time between a failed renewal and the next attempt.
const RENEW_RETRY_MS: Millis = 300;
/// How much longer a controller that can't reach any other controller waits before it claims
/// the shard, so that a connected controller can claim it first.
pub(super) const ISOLATED_CLAIM_DELAY_MS: Millis = 1_500;

/// The phase of a controller in the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Another controller or none leads the shard.
    Follower,
    /// A lease has been requested; the claim will be sent once it is granted.
    RequestingLease,
    /// The claim has been sent and not answered yet.
    Claiming,
    /// The claim holds; machines, jobs and task chunks are being loaded.
    Loading,
    /// The claim holds and all state has been loaded.
    Active,
}

/// A lease request to send to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseRequest {
    /// Request a new lease.
    Grant,
    /// Renew the lease with this id.
    Renew(u64),
}

/// Whether a controller can reach other controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// At least one other controller is reachable, or there are no others.
    Connected,
    /// No other controller is reachable.
    Isolated,
}

/// The conditions that a follower waits for before it claims the shard.
#[derive(Debug, Default)]
pub(super) struct ClaimWait {
    /// When this incarnation was first polled. An earlier incarnation may have granted a lease
    /// extension just before.
    started_at: Option<Millis>,
    /// When this controller first saw that the shard was vacant, or `None` if it is not.
    vacant_since: Option<Millis>,
    /// The earliest time of a claim.
    not_before: Millis,
}

impl ClaimWait {
    /// Restarts the wait for a vacancy, and delays the next claim at least until `not_before`.
    pub(super) fn restart(&mut self, not_before: Millis) {
        self.vacant_since = None;
        self.delay_until(not_before);
    }

    /// Delays the next claim at least until `not_before`.
    pub(super) fn delay_until(&mut self, not_before: Millis) {
        self.not_before = self.not_before.max(not_before);
    }
}

impl LeaderElection {
    /// Returns the lease request to send now, if any, and suspends an expired leadership.
    pub fn poll(&mut self, now: Millis, watch_cache: &WatchCache, connectivity: Connectivity) -> Option<LeaseRequest> {
        self.suspend_if_expired(now);
        match self.phase {
            Phase::Follower => self.poll_follower(now, watch_cache, connectivity),
            Phase::RequestingLease | Phase::Claiming => None,
            Phase::Loading | Phase::Active => self.poll_renewal(now),
        }
    }

    /// Suspends the leadership if its validity has expired.
    fn suspend_if_expired(&mut self, now: Millis) {
        if !self.holds_claim() || self.is_suspended() || self.validity.covers(now) {
            return;
        }
        tracing::warn!(
            term = self.term,
            lease_valid = self.is_lease_valid(now),
            "suspended leadership: the lease or the watch cache may have expired"
        );
        self.suspension = Some(Suspension { renewed_at: None });
    }

    /// Requests a lease if the shard is vacant and the delays before a claim have passed.
    fn poll_follower(
        &mut self,
        now: Millis,
        watch_cache: &WatchCache,
        connectivity: Connectivity,
    ) -> Option<LeaseRequest> {
        let started_at = *self.claim_wait.started_at.get_or_insert(now);
        if !watch_cache.is_complete() {
            return None;
        }
        if !self.is_vacant(now, started_at, watch_cache) {
            self.claim_wait.vacant_since = None;
            return None;
        }
        let vacant_since = *self.claim_wait.vacant_since.get_or_insert(now);
        let delay = match connectivity {
            Connectivity::Connected => 0,
            Connectivity::Isolated => ISOLATED_CLAIM_DELAY_MS,
        };
        if now < vacant_since + delay || now < self.claim_wait.not_before {
            return None;
        }
        self.phase = Phase::RequestingLease;
        self.lease_requested_at = Some(now);
        Some(LeaseRequest::Grant)
    }

    /// Returns whether the watch cache shows that the shard may be claimed.
    fn is_vacant(&self, now: Millis, started_at: Millis, watch_cache: &WatchCache) -> bool {
        match &watch_cache.leader() {
            // An earlier incarnation of this controller may have granted a lease extension, unless
            // there has never been a leader.
            None => watch_cache.term().0 == 0 || now >= started_at + EXTENSION_MS + SAFETY_MARGIN_MS,
            // A claim by an earlier incarnation of this controller counts as vacant.
            Some((leader, _)) => self.is_claim_of_earlier_incarnation(leader),
        }
    }

    /// Renews the lease if it is due.
    fn poll_renewal(&mut self, now: Millis) -> Option<LeaseRequest> {
        // A leader that can't read the watched keys must not keep its lease, so that a
        // controller that can read them takes over.
        if now < self.renew_not_before || !self.validity.may_renew(now) {
            return None;
        }
        self.renew_not_before = now + RENEW_INTERVAL_MS;
        self.lease.map(LeaseRequest::Renew)
    }

    /// Handles a failed renewal: the next one is due after `RENEW_RETRY_MS` at the latest.
    pub fn renewal_failed(&mut self, now: Millis) {
        self.renew_not_before = self.renew_not_before.min(now + RENEW_RETRY_MS);
    }
}
