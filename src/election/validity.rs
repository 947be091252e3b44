//! For how long a leader may act: until its lease or its watch cache expires, or the
//! lease extension ends.
//!
//! A leader that renews but no longer hears what users cancel through others would keep
//! their workers' leases alive, so with an old watch cache it neither acts nor renews.

use super::{LEASE_MS, LeaderElection, MARGIN_MS};
use crate::Millis;

/// The times until which each condition of the leadership is met.
#[derive(Debug)]
pub(super) struct Validity {
    lease_until: Millis,
    watch_cache_until: Millis,
    extended_until: Millis,
    /// How old the watch cache may be while the leader acts.
    max_watch_cache_age_ms: Millis,
}

impl Validity {
    pub(super) fn new(max_watch_cache_age_ms: Millis) -> Validity {
        Validity {
            lease_until: 0,
            watch_cache_until: 0,
            extended_until: 0,
            max_watch_cache_age_ms,
        }
    }

    /// Whether the leader may act now.
    pub(super) fn covers(&self, now: Millis) -> bool {
        now < self.lease_until.min(self.watch_cache_until).max(self.extended_until)
    }

    /// Whether the lease should be renewed, whether it has expired or not.
    pub(super) fn may_renew(&self, now: Millis) -> bool {
        now < self.watch_cache_until.max(self.extended_until)
    }

    /// A new lease was requested then.
    pub(super) fn lease_granted(&mut self, requested_at: Millis) {
        self.lease_until = requested_at + LEASE_MS - MARGIN_MS;
    }

    /// Ends the lease extension at that time, if it doesn't already end later.
    pub(super) fn extend_until(&mut self, until: Millis) {
        self.extended_until = self.extended_until.max(until);
    }

    /// Ends lease and extension. The watch cache is as new as it was.
    pub(super) fn clear(&mut self) {
        self.lease_until = 0;
        self.extended_until = 0;
    }

    /// When the last renewal that counts was sent, as far as the lease's end tells.
    pub(super) fn is_lease_older_than(&self, now: Millis, age_ms: Millis) -> bool {
        now + LEASE_MS >= self.lease_until + MARGIN_MS + age_ms
    }
}

impl LeaderElection {
    /// Whether the lease itself is surely ours, without its extension.
    pub fn is_lease_valid(&self, now: Millis) -> bool {
        now < self.validity.lease_until
    }

    /// The renewal sent then succeeded.
    pub fn on_lease_renewed(&mut self, now: Millis, sent_at: Millis) {
        let until = sent_at + LEASE_MS - MARGIN_MS;
        self.validity.lease_until = self.validity.lease_until.max(until);
        let lease_valid = self.is_lease_valid(now);
        if let Some(suspension) = &mut self.suspension
            && lease_valid
        {
            suspension.renewed_at.get_or_insert(now);
        }
    }

    /// A read sent then brought the watch cache up to date.
    pub fn on_watch_cache_read(&mut self, sent_at: Millis) {
        let until = sent_at + self.validity.max_watch_cache_age_ms;
        self.validity.watch_cache_until = self.validity.watch_cache_until.max(until);
    }

    /// Whether leadership is suspended and the watch cache read that was sent then is
    /// newer than the renewal: what it shows of the claim decides.
    pub fn may_resume(&self, now: Millis, read_sent_at: Millis) -> bool {
        let renewed_at = self.suspension.and_then(|suspension| suspension.renewed_at);
        let is_read_newer = renewed_at.is_some_and(|at| read_sent_at >= at);
        self.holds_claim() && is_read_newer && self.validity.covers(now)
    }

    /// Acts again: the claim was looked at after the expiry and is still ours.
    pub fn resume(&mut self) {
        tracing::info!(term = self.term, "resumed leadership: the claim still holds");
        self.suspension = None;
    }
}
