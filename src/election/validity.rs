//! How long a leader may act: until its lease or its watch cache expires, or, if that is
//! later, until the lease extension ends.
//!
//! A leader that renews its lease but no longer learns of cancellations made through other
//! controllers would keep the leases of the affected workers alive. Therefore a leader with
//! a stale watch cache neither acts nor renews.

use super::{LEASE_MS, LeaderElection, SAFETY_MARGIN_MS};
use crate::Millis;

/// The expiry times that determine whether the leadership is valid.
#[derive(Debug)]
pub(super) struct Validity {
    lease_until: Millis,
    watch_cache_until: Millis,
    extended_until: Millis,
    /// The maximum age of the watch cache while the leader acts.
    max_watch_cache_age_ms: Millis,
}

impl Validity {
    /// Returns a validity that has expired already.
    pub(super) fn new(max_watch_cache_age_ms: Millis) -> Validity {
        Validity {
            lease_until: 0,
            watch_cache_until: 0,
            extended_until: 0,
            max_watch_cache_age_ms,
        }
    }

    /// Returns whether the leader may act now.
    pub(super) fn covers(&self, now: Millis) -> bool {
        now < self.lease_until.min(self.watch_cache_until).max(self.extended_until)
    }

    /// Returns whether the leader may renew its lease: the watch cache or the lease extension is
    /// valid. The lease itself may have expired as far as this controller knows.
    pub(super) fn may_renew(&self, now: Millis) -> bool {
        now < self.watch_cache_until.max(self.extended_until)
    }

    /// Sets the expiry of a new lease that was requested at `requested_at`.
    pub(super) fn lease_granted(&mut self, requested_at: Millis) {
        self.lease_until = requested_at + LEASE_MS - SAFETY_MARGIN_MS;
    }

    /// Extends the leadership until this time, unless it is already extended for longer.
    pub(super) fn extend_until(&mut self, until: Millis) {
        self.extended_until = self.extended_until.max(until);
    }

    /// Expires the lease and its extension. The watch cache is not affected.
    pub(super) fn clear(&mut self) {
        self.lease_until = 0;
        self.extended_until = 0;
    }

    /// Returns whether the request or renewal that determines the lease's expiry was sent at
    /// least `age_ms` ago.
    pub(super) fn is_lease_older_than(&self, now: Millis, age_ms: Millis) -> bool {
        now + LEASE_MS >= self.lease_until + SAFETY_MARGIN_MS + age_ms
    }
}

impl LeaderElection {
    /// Returns whether the lease is certain to be still held, regardless of any extension.
    pub fn is_lease_valid(&self, now: Millis) -> bool {
        now < self.validity.lease_until
    }

    /// Handles the success of the renewal that was sent at `sent_at`.
    pub fn on_lease_renewed(&mut self, now: Millis, sent_at: Millis) {
        let until = sent_at + LEASE_MS - SAFETY_MARGIN_MS;
        self.validity.lease_until = self.validity.lease_until.max(until);
        let lease_valid = self.is_lease_valid(now);
        if let Some(suspension) = &mut self.suspension
            && lease_valid
        {
            suspension.renewed_at.get_or_insert(now);
        }
    }

    /// Handles the success of a read, sent at `sent_at`, that brought the watch cache up to date.
    pub fn on_watch_cache_read(&mut self, sent_at: Millis) {
        let until = sent_at + self.validity.max_watch_cache_age_ms;
        self.validity.watch_cache_until = self.validity.watch_cache_until.max(until);
    }

    /// Returns whether the leadership is suspended and may resume if the watch cache still shows
    /// this controller's claim: the read sent at `read_sent_at` was sent after the renewal.
    pub fn may_resume(&self, now: Millis, read_sent_at: Millis) -> bool {
        let renewed_at = self.suspension.and_then(|suspension| suspension.renewed_at);
        let is_read_newer = renewed_at.is_some_and(|at| read_sent_at >= at);
        self.holds_claim() && is_read_newer && self.validity.covers(now)
    }

    /// Ends the suspension. Called when [`LeaderElection::may_resume`] holds and the watch cache
    /// still shows this controller's claim.
    pub fn resume(&mut self) {
        tracing::info!(term = self.term, "resumed leadership: the claim still holds");
        self.suspension = None;
    }
}
