//! How the state service's rate limits are divided among the controllers.

/// Fractions of the service's rate limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RateShares {
    /// The fraction of the request rate.
    pub(super) requests: f64,
    /// The fraction of the write rate for the controller's own writes.
    pub(super) writes: f64,
    /// The fraction of the write rate for users' writes.
    pub(super) user_writes: f64,
}

/// A controller's shares before its role in the election is known.
pub(super) const INITIAL: RateShares = RateShares {
    requests: 0.2,
    writes: 0.2,
    user_writes: 0.04,
};
/// The shares of all controllers together, if all of them are followers.
pub(super) const FOLLOWERS: RateShares = RateShares {
    requests: 0.4,
    writes: 0.05,
    user_writes: 0.15,
};
/// The leader's shares.
pub(super) const LEADER: RateShares = RateShares {
    requests: 0.45,
    writes: 0.6,
    user_writes: 0.15,
};
/// The leader's shares while users' writes are queued, as in a burst of submissions. The writes
/// for starts, ends and clean-up can be delayed; users' latency matters more.
pub(super) const LEADER_WITH_QUEUED_USER_WRITES: RateShares = RateShares {
    requests: 0.45,
    writes: 0.3,
    user_writes: 0.45,
};

impl RateShares {
    /// Divides the shares evenly among this many controllers.
    pub(super) fn divided_by(self, controller_count: f64) -> RateShares {
        RateShares {
            requests: self.requests / controller_count,
            writes: self.writes / controller_count,
            user_writes: self.user_writes / controller_count,
        }
    }
}
