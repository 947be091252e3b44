//! The claim: the transaction that takes over the shard or raises its term.

use super::{LeaderElection, Phase};
use crate::Millis;
use crate::fencing::last_token;
use crate::store::{Keys, LeaderValue, TermValue, WatchCache};
use crate::wire::{Change, Condition, Transaction};
use serde_json::json;

impl LeaderElection {
    /// Returns the condition that this controller's claim still holds, which every transaction
    /// of the leader includes.
    pub fn claim_condition(&self, keys: &Keys) -> Condition {
        Condition {
            key: keys.leader(),
            version: self.claim_version,
        }
    }

    /// Returns the claim under the lease that was requested at `requested_at`. Returns `None` if
    /// another controller has claimed the shard in the meantime, since it is the leader until
    /// its own lease expires.
    pub fn claim_with_lease(
        &mut self,
        lease: u64,
        requested_at: Millis,
        keys: &Keys,
        watch_cache: &WatchCache,
    ) -> Option<Transaction> {
        let leader = watch_cache.leader();
        if leader.is_some_and(|(leader, _)| !self.is_claim_of_earlier_incarnation(leader)) {
            return None;
        }
        self.lease = Some(lease);
        self.validity.lease_granted(requested_at);
        let version = leader.map_or(0, |(_, version)| *version);
        Some(self.claim(keys, version, watch_cache))
    }

    /// Returns a new claim that replaces this controller's current claim. The higher term
    /// invalidates all commands that are still in flight.
    pub fn raise_term(&mut self, keys: &Keys, watch_cache: &WatchCache) -> Transaction {
        self.claim(keys, self.claim_version, watch_cache)
    }

    /// Returns the transaction that writes the claim if the leader key still has this version,
    /// and begins the next term, which reserves the fencing tokens that follow all earlier ones.
    fn claim(&mut self, keys: &Keys, leader_version: u64, watch_cache: &WatchCache) -> Transaction {
        let (reserved, term_version) = watch_cache.term();
        self.phase = Phase::Claiming;
        self.term = reserved.max(last_token(self.term)).saturating_add(1);
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
                Change::put(
                    keys.term(),
                    json!(TermValue {
                        term: last_token(self.term)
                    }),
                ),
            ],
        }
    }

    /// Handles the commit of the claim, which gave its key this version.
    pub fn on_claim_committed(&mut self, version: u64) {
        let last_token = last_token(self.term);
        tracing::info!(term = self.term, last_token, version, "claimed the shard");
        self.claim_version = version;
        self.phase = Phase::Loading;
        self.renew_not_before = 0;
        self.suspension = None;
    }

    /// Returns whether the claim was made by an earlier incarnation of this controller.
    pub(super) fn is_claim_of_earlier_incarnation(&self, leader: &LeaderValue) -> bool {
        leader.node == self.node && leader.incarnation != self.incarnation
    }

    /// Returns whether a claim read from the state service is the one that this controller sent
    /// last.
    pub fn is_current_claim(&self, leader: &LeaderValue) -> bool {
        leader.node == self.node && leader.incarnation == self.incarnation && leader.term == self.term
    }
}
