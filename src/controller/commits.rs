//! The leader's transactions: one in flight at a time, and what became of it.
//!
//! A transaction without an answer is sent again as it is. If a later copy conflicts,
//! an earlier one may have been applied: a read of one key that it writes tells, so
//! that not everything has to be read again.

mod evidence;

pub use evidence::Evidence;

use super::store_calls::RETRY_MS;
use super::{Controller, Purpose};
use crate::store::{StoreReply, StoreRequest};
use evidence::CommitOutcome;

impl Controller {
    /// Writes what is due in one transaction, if none is in flight.
    pub(super) fn commit(&mut self) {
        if !self.may_commit() {
            return;
        }
        self.leader_timers.commit_attempted(self.now);
        let claim = self.election.condition(&self.keys);
        let max_changes = self.settings.params.state.txn_ops as usize;
        let spare_changes = self.store_client.write_allowance(self.now).max(1);
        let Some(shard) = &mut self.shard else {
            return;
        };
        let transaction = shard.next_transaction(self.now, &self.keys, claim, max_changes, spare_changes);
        if let Some(transaction) = transaction {
            self.enqueue(Purpose::Commit, StoreRequest::Transact(transaction));
        }
    }

    /// Whether it is time for the next transaction, none is in flight, and the rates of
    /// the service allow it.
    fn may_commit(&mut self) -> bool {
        let shard = self.shard.as_ref();
        let is_urgent = shard.is_some_and(|shard| shard.starts_wait());
        let is_due = is_urgent || self.leader_timers.is_commit_due(self.now);
        let is_in_flight = shard.is_some_and(|shard| shard.pending_writes.is_in_flight());
        is_due && !is_in_flight && !self.term_raise.is_pending() && self.store_client.may_commit(self.now)
    }

    /// The state service answered the transaction in flight, or did not in time.
    pub(super) fn on_commit_reply(&mut self, request: &StoreRequest, reply: StoreReply) {
        match reply {
            StoreReply::Committed { revision } => self.commit_applied(revision),
            StoreReply::Conflict { failed } => self.commit_conflicted(request, &failed),
            StoreReply::Unanswered => {
                self.note_unanswered_commit();
                self.retry_commit();
            }
            StoreReply::Unavailable => self.retry_commit(),
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

    /// The last copy may have been applied, or may yet be.
    fn note_unanswered_commit(&mut self) {
        let shard = self.shard.as_mut();
        if let Some(in_flight) = shard.and_then(|shard| shard.pending_writes.in_flight_mut()) {
            in_flight.note_unanswered();
        }
    }

    /// Sends the same transaction once more.
    fn retry_commit(&mut self) {
        let shard = self.shard.as_ref();
        let Some(in_flight) = shard.and_then(|shard| shard.pending_writes.in_flight()) else {
            return;
        };
        let request = StoreRequest::Transact(in_flight.transaction.clone());
        self.enqueue_after(RETRY_MS, Purpose::Commit, request);
    }

    /// Keys did not have the versions that the transaction requires.
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

    /// The key was read that tells whether an earlier copy was applied, after the last
    /// one conflicted. That conflict is for good, since versions only rise: a copy not
    /// applied by now never will be.
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

    /// Surely not applied, as these keys are not what they were thought to be.
    fn commit_refused(&mut self, failed: &[String]) {
        let (jobs, ends) = (self.keys.jobs(), self.keys.ends());
        let is_user_key = |key: &String| key.starts_with(&jobs) || key.starts_with(&ends);
        if failed.iter().all(is_user_key) {
            tracing::debug!(?failed, "dropping a transaction of an ended job");
            self.commit_not_applied();
        } else {
            tracing::warn!(?failed, "a transaction conflicted");
            self.reload_after_conflict();
        }
    }

    /// A cancel was faster. The watch cache will say so.
    fn commit_not_applied(&mut self) {
        if let Some(shard) = &mut self.shard {
            shard.not_applied();
        }
        self.refresh_watch_cache();
    }

    /// What is written is not what was thought: all of it is read again under a new term.
    fn reload_after_conflict(&mut self) {
        tracing::warn!("reloading the shard");
        if let Some(shard) = &mut self.shard {
            shard.not_applied();
        }
        self.term_raise.request_reload_now();
    }
}

#[cfg(test)]
mod tests;
