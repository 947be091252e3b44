//! The transactions of the shard: how the next one is put together from the state of all
//! slices, and what follows from its outcome.

use super::Shard;
use crate::Millis;
use crate::persistence::{ChangeLimits, PendingWrites, WriteContext};
use crate::store::Keys;
use crate::wire::{Condition, Transaction};
use crate::workers::Outcome;
use std::sync::Arc;

impl Shard {
    /// Whether something is to be written that work or users wait for.
    pub fn has_urgent_writes(&self) -> bool {
        self.pending_writes.is_urgent() || self.fleet.inventory.has_urgent()
    }

    /// Builds the next transaction, if there is anything to write and none is
    /// in flight. What nobody waits for gets no more than `spare` changes, so
    /// that it never delays the next starts.
    pub fn next_transaction(
        &mut self,
        now: Millis,
        keys: &Keys,
        claim: Condition,
        max_ops: usize,
        spare: usize,
    ) -> Option<Arc<Transaction>> {
        if self.pending_writes.is_in_flight() {
            return None;
        }
        self.forget_deleted_jobs();
        let limits = ChangeLimits {
            total: max_ops,
            deferrable_cutoff: spare,
        };
        let (pending_writes, context) = self.write_context();
        pending_writes.next_transaction(now, keys, context, claim, limits)
    }

    /// The transaction in flight was applied at `revision`.
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
        // A cancel may have come while this was written.
        self.stop_cancelled_jobs(now);
    }

    /// The transaction in flight was surely not applied: everything in it has
    /// to be considered again.
    pub fn not_applied(&mut self) {
        let (pending_writes, context) = self.write_context();
        pending_writes.not_applied(context);
    }

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
