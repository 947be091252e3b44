//! The lease on the shard and its rising term.
//!
//! One key holds the claim and is attached to a lease of the state service; the
//! claiming transaction also raises the term, which is the worker fencing token. The
//! lease's validity is reckoned from when the last successful renewal was
//! *sent*, so it may be found expired early, never late. So is the age of the
//! watch cache: a leader that renews but no longer hears what users cancel through
//! others would keep their workers' leases alive, so it neither acts nor renews.
//!
//! In an outage that all share nobody can claim or confirm anything, and workers
//! would drop all their tasks for nothing. So a leader also acts as long as *every*
//! other controller has just promised not to claim, and has told it of all
//! cancellations it knows (a lease extension). A single one missing ends it.

use crate::Millis;
use crate::store::{Keys, LeaderValue, WatchCache};
use crate::wire::{Change, Condition, Transaction};
use serde_json::json;

pub const LEASE_MS: u64 = 4_000;
const RENEW_EVERY_MS: u64 = 1_000;
const RETRY_MS: u64 = 300;
/// Clock drift over one lease and the time between looking and acting.
const MARGIN_MS: u64 = 300;
/// How long a controller that promised it does not claim.
pub const EXTENSION_MS: Millis = 2_000;
/// A leader asks for promises when its last renewal is this old, so often.
const EXTENSION_AFTER_MS: Millis = 1_500;
const EXTENSION_REQUEST_EVERY_MS: Millis = 300;
/// A controller that hears no other waits this much longer before it claims,
/// so that one that can talk to the others goes first.
const ALONE_DELAY_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Follower,
    /// A lease was asked for; the claim follows.
    RequestingLease,
    Claiming,
    /// The claim holds; jobs, firings and machines are being read.
    Loading,
    Active,
}

#[derive(Debug)]
pub struct LeaderElection {
    node: String,
    incarnation: u64,
    pub phase: Phase,
    pub term: u64,
    /// Version of the claim key; every transaction of the leader depends on it.
    pub claim_version: u64,
    lease: Option<u64>,
    valid_until: Millis,
    /// How old the watch cache may be while the leader acts, and
    /// until when it is young enough.
    max_watch_cache_age_ms: Millis,
    watch_cache_until: Millis,
    /// When the request now in flight was sent, if any.
    asked_at: Option<Millis>,
    next_renewal: Millis,
    claim_not_before: Millis,
    vacant_since: Option<Millis>,
    /// An expiry was noticed, of the lease or of the watch cache: acting again needs a
    /// renewal and then a watch cache that shows our claim.
    pub suspended: bool,
    /// Until when every other controller surely does not claim.
    extended_until: Millis,
    extension_requested_at: Millis,
    /// When this incarnation began: a former one may have promised not to claim.
    started_at: Option<Millis>,
    /// When the first renewal after an expiry was answered.
    renewed_again_at: Option<Millis>,
}

/// What leader election wants sent.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseRequest {
    Grant,
    Renew(u64),
}

impl LeaderElection {
    pub fn new(node: &str, incarnation: u64, max_watch_cache_age_ms: Millis) -> LeaderElection {
        LeaderElection {
            node: node.into(),
            incarnation,
            phase: Phase::Follower,
            term: 0,
            claim_version: 0,
            lease: None,
            valid_until: 0,
            max_watch_cache_age_ms,
            watch_cache_until: 0,
            asked_at: None,
            next_renewal: 0,
            claim_not_before: 0,
            vacant_since: None,
            suspended: false,
            extended_until: 0,
            extension_requested_at: 0,
            started_at: None,
            renewed_again_at: None,
        }
    }

    /// True while the lease is surely ours and the watch cache young enough.
    pub fn is_lease_proven(&self, now: Millis) -> bool {
        matches!(self.phase, Phase::Loading | Phase::Active) && !self.suspended && self.is_within_validity(now)
    }

    fn is_within_validity(&self, now: Millis) -> bool {
        now < self.valid_until.min(self.watch_cache_until).max(self.extended_until)
    }

    pub fn is_acting_leader(&self, now: Millis) -> bool {
        self.phase == Phase::Active && self.is_lease_proven(now)
    }

    /// True while the lease itself is surely ours, whatever others promised.
    pub fn lease_valid(&self, now: Millis) -> bool {
        now < self.valid_until
    }

    /// Whether to ask the others now to promise that they don't claim.
    pub fn wants_lease_extension(&mut self, now: Millis) -> bool {
        let due = self.is_acting_leader(now)
            && now + LEASE_MS >= self.valid_until + MARGIN_MS + EXTENSION_AFTER_MS
            && now >= self.extension_requested_at + EXTENSION_REQUEST_EVERY_MS;
        if due {
            self.extension_requested_at = now;
        }
        due
    }

    /// Every other controller promised after it was asked at `asked`. Counts only
    /// without a break: who has expired may have missed another's whole term.
    pub fn lease_extended(&mut self, now: Millis, asked: Millis) {
        if self.is_acting_leader(now) {
            self.extended_until = self.extended_until.max(asked + EXTENSION_MS);
        }
    }

    /// Promises not to claim for a while, unless something is under way already.
    pub fn grant_extension(&mut self, now: Millis) -> bool {
        let free = self.phase == Phase::Follower;
        if free {
            self.claim_not_before = self.claim_not_before.max(now + EXTENSION_MS + MARGIN_MS);
        }
        free
    }

    pub fn holds_claim(&self) -> bool {
        matches!(self.phase, Phase::Loading | Phase::Active)
    }

    pub fn condition(&self, keys: &Keys) -> Condition {
        Condition {
            key: keys.leader(),
            version: self.claim_version,
        }
    }

    /// What to send now. `others_heard`: whether another controller is in reach.
    pub fn poll(&mut self, now: Millis, watch_cache: &WatchCache, others_heard: bool) -> Option<LeaseRequest> {
        if self.holds_claim() && !self.is_within_validity(now) && !self.suspended {
            let lease = now < self.valid_until;
            tracing::warn!(
                term = self.term,
                lease,
                "suspending: the lease or the watch cache may have expired"
            );
            self.suspended = true;
            self.renewed_again_at = None;
        }
        match self.phase {
            Phase::Follower => {
                let started_at = *self.started_at.get_or_insert(now);
                if !watch_cache.complete {
                    return None;
                }
                // A claim by an earlier incarnation of this process is as good as none.
                let vacant = match &watch_cache.leader {
                    // Where there never was a leader, nobody was promised anything.
                    None => watch_cache.term.0 == 0 || now >= started_at + EXTENSION_MS + MARGIN_MS,
                    Some((leader, _)) => self.is_claim_of_earlier_incarnation(leader),
                };
                if !vacant {
                    self.vacant_since = None;
                    return None;
                }
                let since = *self.vacant_since.get_or_insert(now);
                let delay = if others_heard { 0 } else { ALONE_DELAY_MS };
                if now < since + delay || now < self.claim_not_before {
                    return None;
                }
                self.phase = Phase::RequestingLease;
                self.asked_at = Some(now);
                Some(LeaseRequest::Grant)
            }
            Phase::RequestingLease | Phase::Claiming => None,
            Phase::Loading | Phase::Active => {
                // One that can't read stands in the way of one that can.
                if now < self.next_renewal || now >= self.watch_cache_until.max(self.extended_until) {
                    return None;
                }
                self.next_renewal = now + RENEW_EVERY_MS;
                self.lease.map(LeaseRequest::Renew)
            }
        }
    }

    /// The claim, unless somebody else claimed while the lease was asked for: that
    /// leader acts until its own lease expires.
    pub fn granted(&mut self, lease: u64, sent: Millis, keys: &Keys, watch_cache: &WatchCache) -> Option<Transaction> {
        if watch_cache
            .leader
            .as_ref()
            .is_some_and(|(leader, _)| !self.is_claim_of_earlier_incarnation(leader))
        {
            return None;
        }
        self.lease = Some(lease);
        self.valid_until = sent + LEASE_MS - MARGIN_MS;
        let version = watch_cache.leader.as_ref().map_or(0, |(_, version)| *version);
        Some(self.claim(keys, version, watch_cache.term))
    }

    /// Claims once more over one's own claim: the term rises, and with it every
    /// command still on its way is withdrawn.
    pub fn raise_term(&mut self, keys: &Keys, watch_cache: &WatchCache) -> Transaction {
        self.claim(keys, self.claim_version, watch_cache.term)
    }

    fn claim(&mut self, keys: &Keys, leader_version: u64, (term, term_version): (u64, u64)) -> Transaction {
        self.phase = Phase::Claiming;
        self.term = term.max(self.term) + 1;
        let value = LeaderValue {
            node: self.node.clone(),
            incarnation: self.incarnation,
            term: self.term,
        };
        let condition = |key: String, version| Condition { key, version };
        Transaction {
            conditions: vec![
                condition(keys.leader(), leader_version),
                condition(keys.term(), term_version),
            ],
            changes: vec![
                Change::Put {
                    put: keys.leader(),
                    value: json!(value),
                    lease: self.lease,
                },
                Change::put(keys.term(), json!({ "term": self.term })),
            ],
        }
    }

    pub fn claimed(&mut self, version: u64) {
        tracing::info!(term = self.term, "claimed the shard");
        self.claim_version = version;
        self.phase = Phase::Loading;
        self.next_renewal = 0;
        self.suspended = false;
    }

    /// A claim by an earlier incarnation of this process.
    fn is_claim_of_earlier_incarnation(&self, leader: &LeaderValue) -> bool {
        leader.node == self.node && leader.incarnation != self.incarnation
    }

    /// True if a claim key read from the store is the one last asked for.
    pub fn is_current_claim(&self, leader: &LeaderValue) -> bool {
        leader.node == self.node && leader.incarnation == self.incarnation && leader.term == self.term
    }

    pub fn renewed(&mut self, now: Millis, sent: Millis) {
        self.valid_until = self.valid_until.max(sent + LEASE_MS - MARGIN_MS);
        if self.suspended && now < self.valid_until {
            self.renewed_again_at.get_or_insert(now);
        }
    }

    /// A read sent then brought the watch cache up to date.
    pub fn watch_cache_read(&mut self, sent: Millis) {
        self.watch_cache_until = self.watch_cache_until.max(sent + self.max_watch_cache_age_ms);
    }

    /// Suspended, and the watch cache read that was sent then is newer than the
    /// renewal: what it shows of the claim decides.
    pub fn may_resume(&self, now: Millis, read_sent: Millis) -> bool {
        let newer = self.renewed_again_at.is_some_and(|at| read_sent >= at);
        self.holds_claim() && self.suspended && newer && self.is_within_validity(now)
    }

    pub fn renewal_failed(&mut self, now: Millis) {
        self.next_renewal = self.next_renewal.min(now + RETRY_MS);
    }

    /// The claim was looked at after an expiry and is still ours.
    pub fn resume(&mut self) {
        tracing::info!(term = self.term, "resuming: the claim still holds");
        self.suspended = false;
    }

    pub fn step_down(&mut self, now: Millis, claim_delay: Millis) {
        if self.phase != Phase::Follower {
            tracing::info!(term = self.term, "stepped down");
        }
        self.phase = Phase::Follower;
        self.lease = None;
        self.asked_at = None;
        self.valid_until = 0;
        self.extended_until = 0;
        self.suspended = false;
        self.vacant_since = None;
        self.claim_not_before = self.claim_not_before.max(now + claim_delay);
    }

    /// When the grant in flight was sent.
    pub fn asked_at(&self) -> Millis {
        self.asked_at.unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
