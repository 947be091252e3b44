//! Lease extensions, requested as the leader and granted as a follower. The module
//! [`crate::election`] says what they are.

use super::{LeaderElection, MARGIN_MS, Phase};
use crate::Millis;

/// For how long a controller that grants a lease extension does not claim.
pub const EXTENSION_MS: Millis = 2_000;
/// A leader requests an extension when its last successful renewal is this old.
pub(super) const REQUEST_AFTER_MS: Millis = 1_500;
/// Pause between two requests.
const REQUEST_EVERY_MS: Millis = 300;

/// The leader's requests for an extension.
#[derive(Debug, Default)]
pub(super) struct ExtensionRequests {
    last_at: Millis,
}

impl LeaderElection {
    /// Whether to request a lease extension now, which then counts as requested.
    pub fn take_extension_request_due(&mut self, now: Millis) -> bool {
        let due = self.is_acting_leader(now)
            && self.validity.is_lease_older_than(now, REQUEST_AFTER_MS)
            && now >= self.extension_requests.last_at + REQUEST_EVERY_MS;
        if due {
            self.extension_requests.last_at = now;
        }
        due
    }

    /// Every other controller granted the extension requested then. Counts only
    /// without a break: who has expired may have missed another's whole term.
    pub fn on_lease_extended(&mut self, now: Millis, requested_at: Millis) {
        if self.is_acting_leader(now) {
            self.validity.extend_until(requested_at + EXTENSION_MS);
        }
    }

    /// Grants a leader's request, unless a claim of our own is under way. True if so.
    pub fn grant_extension(&mut self, now: Millis) -> bool {
        let is_free = self.phase == Phase::Follower;
        if is_free {
            self.claim_wait.delay_until(now + EXTENSION_MS + MARGIN_MS);
        }
        is_free
    }
}
