//! The leader's transactions and their outcomes. One transaction is in flight at a time.
//!
//! An unanswered transaction is sent again unchanged. If a later copy conflicts, an earlier copy
//! may have been applied. Reading one of the keys that the transaction writes resolves this
//! without reloading the whole shard.

mod evidence;

pub use evidence::Evidence;

use super::store_calls::RETRY_MS;
use super::{Controller, Purpose};
use crate::store::{StoreReply, StoreRequest};
use evidence::CommitOutcome;

impl Controller {
    /// Sends the pending changes in one transaction if none is in flight.
    pub(super) fn commit(&mut self) {
        if !self.may_commit() {
            return;
        }
        self.leader_timers.commit_attempted(self.now);
        let claim = self.election.claim_condition(&self.keys);
        let max_changes = self.settings.params.state.txn_ops as usize;
        let max_deferrable_changes = self.store_client.write_allowance(self.now).max(1);
        let Some(shard) = &mut self.shard else {
            return;
        };
        let transaction = shard.next_transaction(self.now, &self.keys, claim, max_changes, max_deferrable_changes);
        if let Some(transaction) = transaction {
            self.enqueue(Purpose::Commit, StoreRequest::Transact(transaction));
        }
    }

    /// Whether the next transaction is due and may be sent: none is in flight, no raise of the term
    /// is pending, and the rate limits of the state service allow it.
    fn may_commit(&mut self) -> bool {
        let shard = self.shard.as_ref();
        let is_urgent = shard.is_some_and(|shard| shard.has_urgent_writes());
        let is_due = is_urgent || self.leader_timers.is_commit_due(self.now);
        let is_in_flight = shard.is_some_and(|shard| shard.pending_writes.is_in_flight());
        is_due && !is_in_flight && !self.term_raise.is_pending() && self.store_client.may_commit(self.now)
    }

    /// Handles the reply to the transaction in flight, or its timeout. Unexpected replies cause a
    /// reload of the shard.
    pub(super) fn on_commit_reply(&mut self, request: &StoreRequest, reply: StoreReply) {
        match reply {
            StoreReply::Committed { revision } => self.commit_applied(revision),
            StoreReply::Conflict { failed } => self.commit_conflicted(request, &failed),
            StoreReply::Unanswered => {
                self.note_unanswered_commit();
                self.retry_commit();
            }
            StoreReply::Unavailable => self.retry_commit(),
            StoreReply::Rejected { reason } => self.commit_rejected(&reason),
            other => {
                tracing::error!(?other, "a transaction was refused");
                self.term_raise.request_reload();
            }
        }
    }

    fn commit_applied(&mut self, revision: u64) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        shard.committed(self.now, revision);
        self.placement_rounds.request();
    }

    /// Handles a transaction that the state service does not accept. Its changes are written one
    /// at a time from now on, so that the rejected one does not stop the others.
    ///
    /// If an earlier copy was applied after all, before the limits of the service changed, the
    /// next transaction conflicts and the shard is reloaded.
    fn commit_rejected(&mut self, reason: &str) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        match shard.rejected(self.now) {
            Some(write) => tracing::error!(reason, ?write, "the state service rejects a change"),
            None => tracing::info!("writing the changes of a rejected transaction one at a time"),
        }
        self.placement_rounds.request();
    }

    /// Records that the last copy sent may have been applied or may still be applied.
    fn note_unanswered_commit(&mut self) {
        let shard = self.shard.as_mut();
        if let Some(in_flight) = shard.and_then(|shard| shard.pending_writes.in_flight_mut()) {
            in_flight.note_unanswered();
        }
    }

    /// Sends the transaction in flight again, unchanged, after a delay.
    fn retry_commit(&mut self) {
        let shard = self.shard.as_ref();
        let Some(in_flight) = shard.and_then(|shard| shard.pending_writes.in_flight()) else {
            return;
        };
        let request = StoreRequest::Transact(in_flight.transaction.clone());
        self.enqueue_after(RETRY_MS, Purpose::Commit, request);
    }

    /// Handles a conflict: the keys in `failed` did not have the versions that the transaction
    /// requires.
    fn commit_conflicted(&mut self, request: &StoreRequest, failed: &[String]) {
        if self.detect_lost_claim(request, failed) {
            return;
        }
        let shard = self.shard.as_ref();
        let Some(in_flight) = shard.and_then(|shard| shard.pending_writes.in_flight()) else {
            return;
        };
        if !in_flight.may_be_applied() {
            self.commit_refused(failed);
            return;
        }
        match Evidence::of(&in_flight.transaction, &self.keys.jobs()) {
            Some(evidence) => {
                let request = StoreRequest::Get(evidence.key.clone());
                self.enqueue(Purpose::CheckCommit(evidence), request);
            }
            None => self.reload_after_conflict(),
        }
    }

    /// Handles the read of the evidence key after the last copy conflicted.
    ///
    /// Versions only increase, so that conflict is permanent: a copy that has not been applied by
    /// now never will be.
    pub(super) fn on_commit_checked(&mut self, evidence: Evidence, reply: &StoreReply) {
        if matches!(reply, StoreReply::Unanswered | StoreReply::Unavailable) {
            let request = StoreRequest::Get(evidence.key.clone());
            self.enqueue_after(RETRY_MS, Purpose::CheckCommit(evidence), request);
            return;
        }
        match evidence.outcome(reply) {
            CommitOutcome::Applied { revision } => self.commit_applied(revision),
            CommitOutcome::NotApplied => self.commit_not_applied(),
            CommitOutcome::Unknown => self.reload_after_conflict(),
        }
    }

    /// Handles a transaction that was certainly not applied, because of the keys in `failed`.
    /// Users' requests change only the keys of jobs and of their ends; a conflict on any other key
    /// means that the stored state is not the expected one.
    fn commit_refused(&mut self, failed: &[String]) {
        let (jobs, ends) = (self.keys.jobs(), self.keys.ends());
        let is_user_key = |key: &String| key.starts_with(&jobs) || key.starts_with(&ends);
        if failed.iter().all(is_user_key) {
            tracing::debug!(?failed, "a transaction conflicted with a user's write");
            self.commit_not_applied();
        } else {
            tracing::warn!(?failed, "a transaction conflicted");
            self.reload_after_conflict();
        }
    }

    /// Puts the changes of the transaction back into the pending writes, after a concurrent write
    /// for a user, such as a cancellation, prevented it. Refreshes the watch cache to learn of that
    /// write.
    fn commit_not_applied(&mut self) {
        if let Some(shard) = &mut self.shard {
            shard.not_applied(self.now);
        }
        self.refresh_watch_cache();
    }

    /// Requests a reload of the shard under a new term, since the stored state differs from the
    /// expected one.
    fn reload_after_conflict(&mut self) {
        tracing::warn!("reloading the shard");
        if let Some(shard) = &mut self.shard {
            shard.not_applied(self.now);
        }
        self.term_raise.request_reload_now();
    }
}

#[cfg(test)]
mod tests;
