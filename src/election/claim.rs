//! The claim: the transaction that takes the shard or raises its term.

use super::{LeaderElection, Phase};
use crate::Millis;
use crate::store::{Keys, LeaderValue, TermValue, WatchCache};
use crate::wire::{Change, Condition, Transaction};
use serde_json::json;

impl LeaderElection {
    /// The condition that the own claim holds, for the leader's transactions.
    pub fn condition(&self, keys: &Keys) -> Condition {
        Condition {
            key: keys.leader(),
            version: self.claim_version,
        }
    }

    /// The claim under the lease requested then, unless somebody else claimed in the
    /// meantime: that leader acts until its own lease expires.
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

    /// Claims once more over one's own claim: the term rises, and with it every
    /// command still on its way is withdrawn.
    pub fn raise_term(&mut self, keys: &Keys, watch_cache: &WatchCache) -> Transaction {
        self.claim(keys, self.claim_version, watch_cache)
    }

    /// A claim over the leader key of that version.
    fn claim(&mut self, keys: &Keys, leader_version: u64, watch_cache: &WatchCache) -> Transaction {
        let (known_term, term_version) = watch_cache.term();
        self.phase = Phase::Claiming;
        self.term = known_term.max(self.term) + 1;
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
                Change::put(keys.term(), json!(TermValue { term: self.term })),
            ],
        }
    }

    /// The claim was carried out, and its key has this version.
    pub fn on_claim_committed(&mut self, version: u64) {
        tracing::info!(term = self.term, "claimed the shard");
        self.claim_version = version;
        self.phase = Phase::Loading;
        self.renew_not_before = 0;
        self.suspension = None;
    }

    /// Whether an earlier incarnation of this process made this claim.
    pub(super) fn is_claim_of_earlier_incarnation(&self, leader: &LeaderValue) -> bool {
        leader.node == self.node && leader.incarnation != self.incarnation
    }

    /// Whether a claim read from the state service is the one last sent.
    pub fn is_current_claim(&self, leader: &LeaderValue) -> bool {
        leader.node == self.node && leader.incarnation == self.incarnation && leader.term == self.term
    }
}
