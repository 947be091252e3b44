//! The shard's transactions: builds the next one, and applies the result of the one in flight.

use super::Shard;
use crate::Millis;
use crate::ids::{AttemptIx, ChunkId};
use crate::persistence::{ChangeLimits, PendingWrites, QueuedWrite, WriteContext};
use crate::store::Keys;
use crate::wire::{Condition, Transaction};
use crate::workers::{Attempt, Outcome};
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
    /// applied. Closes the attempts in it whose job was cancelled meanwhile.
    pub fn not_applied(&mut self, now: Millis) {
        let (pending_writes, context) = self.write_context();
        pending_writes.not_applied(context);
        self.stop_cancelled_jobs(now);
    }

    /// Handles the rejection of the transaction in flight by the state service. Its changes are
    /// queued again, each to be written alone.
    ///
    /// A chunk that is rejected alone gives up its planned attempts, which would otherwise keep
    /// resources that they can't use, and holds fewer open attempts from now on.
    pub fn rejected(&mut self, now: Millis) -> Option<QueuedWrite> {
        let (pending_writes, context) = self.write_context();
        let rejected = pending_writes.rejected(now, context);
        if let Some(QueuedWrite::Chunk(chunk)) = &rejected {
            self.shrink_chunk(now, *chunk);
        }
        self.stop_cancelled_jobs(now);
        rejected
    }

    /// Closes the planned attempts of a chunk that was rejected, and halves the number of attempts
    /// that it may hold.
    fn shrink_chunk(&mut self, now: Millis, id: ChunkId) {
        let tasks_per_chunk = self.jobs.tasks_per_chunk;
        let Some(job) = self.jobs.table.get_mut(id.job) else {
            return;
        };
        let tasks = job.tasks_of_chunk(id.number, tasks_per_chunk);
        let open: Vec<AttemptIx> = job.open.range(tasks).map(|(_, &attempt)| attempt).collect();
        if let Some(chunk) = job.chunks.get_mut(id.number as usize) {
            chunk.write_rejected(open.len() as u32);
        }
        for attempt in open {
            let is_planned = self.workers.attempts.get(attempt).is_some_and(Attempt::is_only_planned);
            if is_planned {
                self.close_attempt(now, attempt, Outcome::Lost);
            }
        }
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
