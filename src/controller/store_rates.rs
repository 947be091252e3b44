//! How the rates that the state service allows are shared among the controllers.

/// Parts of the service's rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RateShares {
    /// Of the requests.
    pub(super) requests: f64,
    /// Of the writes, for the controller's own.
    pub(super) writes: f64,
    /// Of the writes, for those of users.
    pub(super) user_writes: f64,
}

/// Before anything is known.
pub(super) const INITIAL: RateShares = RateShares {
    requests: 0.2,
    writes: 0.2,
    user_writes: 0.04,
};
/// Of all controllers together, where none of them leads.
pub(super) const FOLLOWERS: RateShares = RateShares {
    requests: 0.4,
    writes: 0.05,
    user_writes: 0.15,
};
pub(super) const LEADER: RateShares = RateShares {
    requests: 0.45,
    writes: 0.6,
    user_writes: 0.15,
};
/// In a wave of submissions: what is being started, ended and cleaned up can follow,
/// while users count the milliseconds.
pub(super) const LEADER_WITH_QUEUED_USER_WRITES: RateShares = RateShares {
    requests: 0.45,
    writes: 0.3,
    user_writes: 0.45,
};

impl RateShares {
    /// One controller's part, of so many.
    pub(super) fn divided_by(self, controllers: f64) -> RateShares {
        RateShares {
            requests: self.requests / controllers,
            writes: self.writes / controllers,
            user_writes: self.user_writes / controllers,
        }
    }
}
