//! Lease extensions, requested by the leader and granted by followers. See
//! [`crate::election`] for their purpose.

use super::{LeaderElection, Phase, SAFETY_MARGIN_MS};
use crate::Millis;

/// How long a lease extension lasts after the leader requested it, in milliseconds. A controller
/// that grants it does not claim the shard for this time and a safety margin.
pub const EXTENSION_MS: Millis = 2_000;
/// A leader requests an extension when its last successful renewal was sent this long ago.
pub(super) const REQUEST_LEASE_AGE_MS: Millis = 1_500;
/// The minimum time between two requests for an extension.
const REQUEST_INTERVAL_MS: Millis = 300;

/// The leader's requests for lease extensions.
#[derive(Debug, Default)]
pub(super) struct ExtensionRequests {
    /// When the last request was sent, 0 if none was.
    last_at: Millis,
}

impl LeaderElection {
    /// Returns whether to request a lease extension now, and if so marks it as requested.
    pub fn take_extension_request_due(&mut self, now: Millis) -> bool {
        let due = self.is_acting_leader(now)
            && self.validity.is_lease_older_than(now, REQUEST_LEASE_AGE_MS)
            && now >= self.extension_requests.last_at + REQUEST_INTERVAL_MS;
        if due {
            self.extension_requests.last_at = now;
        }
        due
    }

    /// Handles the grant, by every other controller, of the extension requested at
    /// `requested_at`. It is ignored if the leadership has already expired, since another
    /// controller may have claimed and lost the shard in the meantime.
    pub fn on_lease_extended(&mut self, now: Millis, requested_at: Millis) {
        if self.is_acting_leader(now) {
            self.validity.extend_until(requested_at + EXTENSION_MS);
        }
    }

    /// Decides on a leader's request: grants it, and delays this controller's next claim,
    /// unless this controller is claiming or holds the shard. Returns whether it is granted.
    pub fn grant_extension(&mut self, now: Millis) -> bool {
        let is_follower = self.phase == Phase::Follower;
        if is_follower {
            self.claim_wait.delay_until(now + EXTENSION_MS + SAFETY_MARGIN_MS);
        }
        is_follower
    }
}
