//! Leader election: the claim on the shard, its lease, and the rising term.
//!
//! One key holds the claim and is attached to a lease of the state service. The
//! transaction that claims the shard also raises the term, which is the fencing token
//! that workers check. A claim over one's own claim raises the term again.
//!
//! The lease is taken to be valid from when its last successful renewal was *sent*, so
//! it may be found expired early, never late; so is the age of the watch cache (see
//! [`validity`]).
//!
//! A *lease extension* lets a leader act on without its lease, in an outage of the
//! state service that all controllers share. Nobody can claim or confirm anything
//! then, and workers would drop all their tasks for nothing. So the leader asks every
//! other controller to promise not to claim for [`EXTENSION_MS`], and to name the
//! cancellations it knows of. The lease is extended, from when this was requested, if
//! *all* of them have granted it; a single one missing ends it.

mod claim;
mod extension;
mod phase;
mod validity;

pub use extension::EXTENSION_MS;
pub use phase::{Connectivity, LeaseRequest, Phase};

use crate::Millis;
use extension::ExtensionRequests;
use phase::ClaimWait;
use validity::Validity;

/// The time to live of the lease.
pub const LEASE_MS: Millis = 4_000;
/// Clock drift over one lease, and the time between looking and acting.
const MARGIN_MS: Millis = 300;

/// One controller's part in the election of the shard's leader.
#[derive(Debug)]
pub struct LeaderElection {
    node: String,
    incarnation: u64,
    phase: Phase,
    term: u64,
    /// Version of the claim key; every transaction of the leader depends on it.
    claim_version: u64,
    lease: Option<u64>,
    /// When the lease in hand or on its way was requested.
    lease_requested_at: Option<Millis>,
    renew_not_before: Millis,
    validity: Validity,
    suspension: Option<Suspension>,
    extension_requests: ExtensionRequests,
    claim_wait: ClaimWait,
}

/// The validity of the leadership expired. To act again takes a renewal, and then a
/// read of the watch cache that still shows our claim.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    /// When the first renewal after the expiry was answered.
    renewed_at: Option<Millis>,
}

impl LeaderElection {
    /// A follower. `incarnation` tells this process from earlier ones of the same
    /// controller.
    pub fn new(node: &str, incarnation: u64, max_watch_cache_age_ms: Millis) -> LeaderElection {
        LeaderElection {
            node: node.into(),
            incarnation,
            phase: Phase::Follower,
            term: 0,
            claim_version: 0,
            lease: None,
            lease_requested_at: None,
            renew_not_before: 0,
            validity: Validity::new(max_watch_cache_age_ms),
            suspension: None,
            extension_requests: ExtensionRequests::default(),
            claim_wait: ClaimWait::default(),
        }
    }

    /// Where this controller stands in the election.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The term of the own claim, or of the last one.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The version of the own claim's key.
    pub fn claim_version(&self) -> u64 {
        self.claim_version
    }

    /// When the grant in flight was requested.
    pub fn lease_requested_at(&self) -> Millis {
        self.lease_requested_at.unwrap_or(0)
    }

    /// Whether this controller claimed the shard, and has not given it up.
    pub fn holds_claim(&self) -> bool {
        matches!(self.phase, Phase::Loading | Phase::Active)
    }

    /// Whether this controller surely leads the shard, and may act for it.
    pub fn is_acting_leader(&self, now: Millis) -> bool {
        self.phase == Phase::Active && self.suspension.is_none() && self.validity.covers(now)
    }

    /// Whether the validity of the leadership expired and was not yet confirmed again.
    pub fn is_suspended(&self) -> bool {
        self.suspension.is_some()
    }

    /// Begins to act as the leader: everything has been loaded, or still holds.
    pub fn activate(&mut self) {
        self.phase = Phase::Active;
    }

    /// Gives up claim and lease, and claims no sooner than after this delay.
    pub fn step_down(&mut self, now: Millis, claim_delay_ms: Millis) {
        if self.phase != Phase::Follower {
            tracing::info!(term = self.term, claim_delay_ms, "stepped down");
        }
        self.phase = Phase::Follower;
        self.lease = None;
        self.lease_requested_at = None;
        self.validity.clear();
        self.suspension = None;
        self.claim_wait.restart(now + claim_delay_ms);
    }
}

#[cfg(test)]
mod tests;
