//! The leader's transactions: one in flight at a time, and what became of it.
//!
//! A transaction without an answer is sent again as it is. If the second copy
//! conflicts, the first may have been carried out: a look at one key that it writes
//! tells, so that not everything has to be read again.

use super::store_calls::RETRY_MS;
use super::{Controller, Purpose};
use crate::Millis;
use crate::store::{StoreReply, StoreRequest};
use crate::wire::{Change, Transaction};
use serde_json::Value;

/// How often what nobody waits for is written.
const COMMIT_ANYWAY_MS: Millis = 150;

/// A key by which a transaction that was carried out can be told.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    key: String,
    /// The version that the transaction requires of it.
    before: u64,
    /// What the transaction writes there; `None` if it removes the key.
    value: Option<Value>,
}

/// What the evidence says of a transaction that conflicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Applied { revision: u64 },
    NotApplied,
    Unknown,
}

impl Evidence {
    /// A key that nobody but the leader changes: users cancel jobs, so job keys
    /// prove nothing. One that is written rather than removed, where there is any,
    /// since only that tells the revision.
    fn of(transaction: &Transaction, jobs: &str) -> Option<Evidence> {
        let evidence = transaction.changes.iter().filter_map(|change| {
            let (key, value) = match change {
                Change::Put { put, value, .. } => (put, Some(value.clone())),
                Change::Delete { delete } => (delete, None),
            };
            let required = transaction.conditions.iter().find(|condition| condition.key == *key)?;
            let evidence = Evidence {
                key: key.clone(),
                before: required.version,
                value,
            };
            (!key.starts_with(jobs)).then_some(evidence)
        });
        evidence.max_by_key(|evidence| evidence.value.is_some())
    }

    fn verdict(&self, reply: &StoreReply) -> Verdict {
        match (reply, &self.value) {
            (StoreReply::Found { version, .. }, _) if *version == self.before => Verdict::NotApplied,
            (StoreReply::Missing, Some(_)) if self.before == 0 => Verdict::NotApplied,
            // Nobody else removes it, and without anything written the revision
            // is of no use.
            (StoreReply::Missing, None) => Verdict::Applied { revision: 0 },
            (StoreReply::Found { value, version }, Some(written)) if value == written => {
                Verdict::Applied { revision: *version }
            }
            _ => Verdict::Unknown,
        }
    }
}

impl Controller {
    /// Writes what is due in one transaction, if none is in flight.
    pub(super) fn commit(&mut self) {
        let pressing = self.shard.as_ref().is_some_and(|shard| shard.starts_wait());
        let due = pressing || self.now >= self.committed_at + COMMIT_ANYWAY_MS;
        let in_flight = self
            .shard
            .as_ref()
            .is_some_and(|shard| shard.pending_writes.in_flight.is_some());
        if !due || in_flight || self.raising_term || !self.writes.ready(self.now) || !self.requests.ready(self.now) {
            return;
        }
        self.committed_at = self.now;
        let claim = self.election.condition(&self.keys);
        let max_ops = self.settings.params.state.txn_ops as usize;
        let spare = (self.writes.level(self.now) as usize).max(1);
        let Some(shard) = &mut self.shard else {
            return;
        };
        if let Some(transaction) = shard.next_transaction(self.now, &self.keys, claim, max_ops, spare) {
            self.enqueue(Purpose::Commit, StoreRequest::Transact(transaction));
        }
    }

    pub(super) fn commit_answered(&mut self, request: &StoreRequest, reply: StoreReply) {
        match reply {
            StoreReply::Committed { revision } => self.committed(revision),
            StoreReply::Conflict { failed } => self.commit_conflicted(request, &failed),
            StoreReply::Unanswered | StoreReply::Unavailable => self.commit_again(reply == StoreReply::Unanswered),
            other => {
                tracing::error!(?other, "a transaction was refused");
                self.reload_wanted = true;
            }
        }
    }

    fn committed(&mut self, revision: u64) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        let committed = shard.committed(self.now, &self.keys, revision);
        shard.workers.delivery_due.extend(committed.delivery_due);
        for (value, version) in committed.machine_requests {
            shard.fleet.add_machine_request(value, version);
        }
        // A cancel may have come while this was written.
        shard.drop_unwritten(self.now);
        self.place_wanted = true;
    }

    /// The same transaction once more. `lost`: the last copy may be carried out yet.
    fn commit_again(&mut self, lost: bool) {
        let Some(flight) = self
            .shard
            .as_mut()
            .and_then(|shard| shard.pending_writes.in_flight.as_mut())
        else {
            return;
        };
        flight.uncertain |= lost;
        let request = StoreRequest::Transact(flight.transaction.clone());
        self.enqueue_after(RETRY_MS, Purpose::Commit, request);
    }

    fn commit_conflicted(&mut self, request: &StoreRequest, failed: &[String]) {
        if self.check_claim_in(request, failed) {
            return;
        }
        let Some(flight) = self
            .shard
            .as_ref()
            .and_then(|shard| shard.pending_writes.in_flight.as_ref())
        else {
            return;
        };
        if !flight.uncertain {
            self.commit_refused(failed);
            return;
        }
        match Evidence::of(&flight.transaction, &self.keys.jobs()) {
            Some(evidence) => {
                let request = StoreRequest::Get(evidence.key.clone());
                self.enqueue(Purpose::CheckCommit(evidence), request);
            }
            None => self.read_everything_again(),
        }
    }

    /// The look at a key after an earlier copy went unanswered and the last one
    /// conflicted. That conflict is for good, since versions only rise: a copy
    /// not carried out by now never will be.
    pub(super) fn commit_checked(&mut self, evidence: Evidence, reply: &StoreReply) {
        if matches!(reply, StoreReply::Unanswered | StoreReply::Unavailable) {
            let request = StoreRequest::Get(evidence.key.clone());
            self.enqueue_after(RETRY_MS, Purpose::CheckCommit(evidence), request);
            return;
        }
        match evidence.verdict(reply) {
            Verdict::Applied { revision } => self.committed(revision),
            Verdict::NotApplied => self.not_applied(),
            Verdict::Unknown => self.read_everything_again(),
        }
    }

    /// Surely not carried out, as a key is not what it was thought to be.
    fn commit_refused(&mut self, failed: &[String]) {
        let (jobs, ends) = (self.keys.jobs(), self.keys.ends());
        let by_user = |key: &String| key.starts_with(&jobs) || key.starts_with(&ends);
        if failed.iter().all(by_user) {
            tracing::debug!(?failed, "dropping a transaction of an ended job");
            self.not_applied();
        } else {
            tracing::warn!(?failed, "a transaction conflicted");
            self.read_everything_again();
        }
    }

    /// A cancel was faster. The watch cache will say so.
    fn not_applied(&mut self) {
        if let Some(shard) = &mut self.shard {
            shard.not_applied();
        }
        self.sync(0);
    }

    /// What is written is not what was thought.
    fn read_everything_again(&mut self) {
        tracing::warn!("reloading the shard");
        if let Some(shard) = &mut self.shard {
            shard.not_applied();
        }
        self.reload_wanted = true;
        self.term_raised_at = 0;
    }
}

#[cfg(test)]
mod tests;
