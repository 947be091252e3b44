//! The phases of an election, and what each wants sent to the state service.

use super::extension::EXTENSION_MS;
use super::{LeaderElection, MARGIN_MS, Suspension};
use crate::Millis;
use crate::store::WatchCache;

const RENEW_EVERY_MS: Millis = 1_000;
/// Pause before a failed renewal is tried again.
const RETRY_MS: Millis = 300;
/// A controller that hears no other waits this much longer before it claims,
/// so that one that can talk to the others goes first.
pub(super) const ISOLATED_CLAIM_DELAY_MS: Millis = 1_500;

/// Where a controller stands in the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Another controller leads the shard, or none.
    Follower,
    /// A lease was requested; the claim follows.
    RequestingLease,
    /// The claim was sent.
    Claiming,
    /// The claim holds; jobs, firings and machines are being read.
    Loading,
    /// The claim holds and everything has been read.
    Active,
}

/// What leader election wants sent.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseRequest {
    /// Grant a lease.
    Grant,
    /// Renew this lease.
    Renew(u64),
}

/// Whether a controller hears others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// Another controller is in reach, or there are no others.
    Connected,
    /// No other controller is in reach.
    Isolated,
}

/// What a follower waits for before it claims.
#[derive(Debug, Default)]
pub(super) struct ClaimWait {
    /// When this incarnation began: an earlier one may have granted a lease extension.
    started_at: Option<Millis>,
    /// Since when nobody has held the claim.
    vacant_since: Option<Millis>,
    not_before: Millis,
}

impl ClaimWait {
    /// Waits anew for a vacancy, and at least until then.
    pub(super) fn restart(&mut self, not_before: Millis) {
        self.vacant_since = None;
        self.delay_until(not_before);
    }

    /// Claims no sooner than that.
    pub(super) fn delay_until(&mut self, not_before: Millis) {
        self.not_before = self.not_before.max(not_before);
    }
}

impl LeaderElection {
    /// What to send now.
    pub fn poll(&mut self, now: Millis, watch_cache: &WatchCache, connectivity: Connectivity) -> Option<LeaseRequest> {
        self.suspend_if_expired(now);
        match self.phase {
            Phase::Follower => self.poll_follower(now, watch_cache, connectivity),
            Phase::RequestingLease | Phase::Claiming => None,
            Phase::Loading | Phase::Active => self.poll_renewal(now),
        }
    }

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

    /// Whether the shard may be claimed, as far as the watch cache tells.
    fn is_vacant(&self, now: Millis, started_at: Millis, watch_cache: &WatchCache) -> bool {
        match &watch_cache.leader() {
            // Where there never was a leader, nobody granted it a lease extension.
            None => watch_cache.term().0 == 0 || now >= started_at + EXTENSION_MS + MARGIN_MS,
            // A claim by an earlier incarnation of this process is as good as none.
            Some((leader, _)) => self.is_claim_of_earlier_incarnation(leader),
        }
    }

    fn poll_renewal(&mut self, now: Millis) -> Option<LeaseRequest> {
        // One that can't read stands in the way of one that can.
        if now < self.renew_not_before || !self.validity.may_renew(now) {
            return None;
        }
        self.renew_not_before = now + RENEW_EVERY_MS;
        self.lease.map(LeaseRequest::Renew)
    }

    /// The renewal in flight failed: the next is due soon.
    pub fn renewal_failed(&mut self, now: Millis) {
        self.renew_not_before = self.renew_not_before.min(now + RETRY_MS);
    }
}
