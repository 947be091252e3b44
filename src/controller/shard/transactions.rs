//! The shard's transactions: builds the next one, and applies the result of the one in flight.

use super::Shard;
use crate::Millis;
use crate::persistence::{ChangeLimits, PendingWrites, WriteContext};
use crate::store::Keys;
use crate::wire::{Condition, Transaction};
use crate::workers::Outcome;
use std::sync::Arc;

impl Shard {
    /// Whether there are changes to write that tasks or users wait for.
    pub fn has_urgent_writes(&self) -> bool {
        self.pending_writes.is_urgent() || self.fleet.inventory.has_urgent()
    }

    /// Builds the next transaction and marks it as in flight. Returns `None` if a transaction is
    /// already in flight or there is nothing to write.
    ///
    /// The transaction has at most `max_changes` changes. Changes that nothing waits for are added
    /// only while it has fewer than `max_deferrable_changes` changes in total, so that they never
    /// delay the next starts of tasks.
    pub fn next_transaction(
        &mut self,
        now: Millis,
        keys: &Keys,
        claim: Condition,
        max_changes: usize,
        max_deferrable_changes: usize,
    ) -> Option<Arc<Transaction>> {
        if self.pending_writes.is_in_flight() {
            return None;
        }
        self.forget_deleted_jobs();
        let limits = ChangeLimits {
            total: max_changes,
            deferrable_cutoff: max_deferrable_changes,
        };
        let (pending_writes, context) = self.write_context();
        pending_writes.next_transaction(now, keys, context, claim, limits)
    }

    /// Updates the state after the transaction in flight was applied at this revision of the state
    /// service.
    pub fn committed(&mut self, now: Millis, revision: u64) {
        let (pending_writes, context) = self.write_context();
        let effects = pending_writes.committed(context, revision);
        for attempt in effects.withdrawn_attempts {
            self.close_attempt(now, attempt, Outcome::Lost);
        }
        for id in effects.removed_jobs {
            self.remove_job(&id);
        }
        self.workers.delivery_due.extend(effects.delivery_due);
        for request in effects.machine_requests {
            self.fleet.add_machine_request(request.record, request.version);
        }
        // Jobs may have been cancelled while the transaction was in flight.
        self.stop_cancelled_jobs(now);
    }

    /// Queues the changes of the transaction in flight again, when it is certain that it was not
    /// applied.
    pub fn not_applied(&mut self) {
        let (pending_writes, context) = self.write_context();
        pending_writes.not_applied(context);
    }

    /// Returns the pending writes, and the parts of the shard that writing reads and changes.
    fn write_context(&mut self) -> (&mut PendingWrites, WriteContext<'_>) {
        let context = WriteContext {
            jobs: &mut self.jobs,
            workers: &mut self.workers,
            inventory: &mut self.fleet.inventory,
            topology: &self.topology,
        };
        (&mut self.pending_writes, context)
    }
}
