//! Leader election: the claim on the shard, its lease, and the term.
//!
//! One key holds the claim and is attached to a lease of the state service. The
//! transaction that claims the shard also begins a new term and reserves its fencing tokens
//! ([`crate::fencing`]), which workers check. A leader that claims the shard again begins another
//! term.
//!
//! The lease is considered valid from the time at which its last successful renewal was
//! *sent*, so it may be considered expired too early but never too late. The age of the
//! watch cache is measured in the same way (see the module `validity`).
//!
//! A *lease extension* lets a leader continue to act without its lease during an outage of
//! the state service that affects all controllers. No controller can claim the shard or
//! confirm anything during such an outage, and without the extension workers would stop all
//! their tasks needlessly. The leader therefore asks every other controller not to claim
//! the shard for [`EXTENSION_MS`] and to report the cancellations that it knows of. The
//! extension counts from the time of the request, and only if *all* other controllers have
//! granted it; a single missing grant ends the leadership.

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

/// The time to live of the leader's lease, in milliseconds.
pub const LEASE_MS: Millis = 4_000;
/// A margin for clock drift during one lease and for the time between checking the lease and
/// acting on the result.
const SAFETY_MARGIN_MS: Millis = 300;

/// The state of one controller in the election of the shard's leader.
#[derive(Debug)]
pub struct LeaderElection {
    node: String,
    incarnation: u64,
    phase: Phase,
    /// The term of this controller's current or last claim, 0 if it never claimed.
    term: u64,
    /// Version of the leader key. Every transaction of the leader is conditional on it.
    claim_version: u64,
    /// The id of the current lease.
    lease: Option<u64>,
    /// When the current lease, or the one being requested, was requested.
    lease_requested_at: Option<Millis>,
    /// The earliest time of the next renewal.
    renew_not_before: Millis,
    validity: Validity,
    /// Present while the leadership is suspended.
    suspension: Option<Suspension>,
    extension_requests: ExtensionRequests,
    claim_wait: ClaimWait,
}

/// The state of a leader whose leadership is no longer known to be valid. It may act again
/// after a successful renewal followed by a read of the watch cache that still shows its
/// claim.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    /// When the first successful renewal after the expiry was answered.
    renewed_at: Option<Millis>,
}

impl LeaderElection {
    /// Returns the state of a follower. `incarnation` distinguishes this process from earlier
    /// processes of the same controller. `max_watch_cache_age_ms` is the maximum age of the
    /// watch cache while the controller acts as the leader.
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

    /// Returns the phase of this controller.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the term of this controller's current or last claim, 0 if it never claimed.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the version of the leader key as this controller last wrote it.
    pub fn claim_version(&self) -> u64 {
        self.claim_version
    }

    /// Returns when the current lease, or the one being requested, was requested, 0 if there
    /// is none.
    pub fn lease_requested_at(&self) -> Millis {
        self.lease_requested_at.unwrap_or(0)
    }

    /// Returns whether this controller has claimed the shard and has not stepped down.
    pub fn holds_claim(&self) -> bool {
        matches!(self.phase, Phase::Loading | Phase::Active)
    }

    /// Returns whether this controller is certain to lead the shard and may act as its leader.
    pub fn is_acting_leader(&self, now: Millis) -> bool {
        self.phase == Phase::Active && self.suspension.is_none() && self.validity.covers(now)
    }

    /// Returns whether the leadership has expired and has not been confirmed again yet.
    pub fn is_suspended(&self) -> bool {
        self.suspension.is_some()
    }

    /// Starts acting as the leader, after all state has been loaded or is known to be current.
    pub fn activate(&mut self) {
        self.phase = Phase::Active;
    }

    /// Becomes a follower and drops the lease. The shard is not claimed again until
    /// `claim_delay_ms` has passed.
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
