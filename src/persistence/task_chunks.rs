//! Writing of chunks of tasks. A chunk's value stores which of its tasks are done and which
//! attempts are open. An attempt starts only after its chunk is written.

use super::draft::Draft;
use super::transaction_builder::ChangeSet;
use super::{CommitEffects, PendingWrites, QueuedWrite, WriteContext};
use crate::Millis;
use crate::ids::ChunkId;
use crate::pipeline::{ChunkValue, Job, OpenAttemptRecord};
use crate::store::Keys;
use crate::workers::{Attempts, CommittedRecord, Workers};
use serde_json::json;
use std::collections::BTreeSet;
use std::ops::Range;

/// Minimum interval between two writes of a chunk if only deferrable changes are queued.
const MIN_REWRITE_INTERVAL_MS: Millis = 1_500;

impl PendingWrites {
    /// Adds the chunks whose write is urgent.
    pub(super) fn add_urgent_chunks(&mut self, now: Millis, context: &mut WriteContext<'_>, draft: &mut Draft<'_>) {
        let due = self.urgent_chunks.clone();
        self.add_chunks(now, due, context, draft);
    }

    /// Adds the chunks with deferrable changes that were not written recently.
    pub(super) fn add_deferrable_chunks(&mut self, now: Millis, context: &mut WriteContext<'_>, draft: &mut Draft<'_>) {
        let is_due = |id: &ChunkId| {
            let job = context.jobs.table.get(id.job);
            let chunk = job.and_then(|job| job.chunks.get(id.number as usize));
            chunk.is_none_or(|chunk| now >= chunk.last_write_built_at() + MIN_REWRITE_INTERVAL_MS)
        };
        let due = self.deferrable_chunks.iter().copied().filter(is_due).collect();
        self.add_chunks(now, due, context, draft);
    }

    /// Adds these chunks while the transaction has space.
    fn add_chunks(
        &mut self,
        now: Millis,
        due: BTreeSet<ChunkId>,
        context: &mut WriteContext<'_>,
        draft: &mut Draft<'_>,
    ) {
        for id in due {
            let Some(job) = context.jobs.table.get_mut(id.job) else {
                self.unqueue_chunk(id);
                continue;
            };
            if job.ended.is_some() || job.is_complete() {
                // The job's end makes the chunk's value unnecessary, so the changes are discarded
                // and the chunk counts as written.
                self.unqueue_chunk(id);
                job.chunks[id.number as usize].discard_changes();
                continue;
            }
            if !draft.admits(&QueuedWrite::Chunk(id)) {
                continue;
            }
            if !draft.builder.has_space(1) {
                return;
            }
            let tasks = job.tasks_of_chunk(id.number, context.jobs.tasks_per_chunk);
            let value = chunk_value(job, id.number, tasks.clone(), context.workers);
            if !draft.builder.try_add(put_of(job, id, &value, draft.keys)) {
                return;
            }
            draft.content.chunks.push(id);
            self.unqueue_chunk(id);
            mark_in_flight(job, tasks, &mut context.workers.attempts);
            job.chunks[id.number as usize].write_started(now);
        }
    }

    /// Records that the values of these chunks were written at `revision`.
    pub(super) fn chunks_committed(
        &mut self,
        chunks: &[ChunkId],
        context: &mut WriteContext<'_>,
        revision: u64,
        effects: &mut CommitEffects,
    ) {
        for id in chunks {
            let Some(job) = context.jobs.table.get_mut(id.job) else {
                continue;
            };
            job.chunks[id.number as usize].write_committed(revision);
            let tasks = job.tasks_of_chunk(id.number, context.jobs.tasks_per_chunk);
            attempts_committed(job, tasks, &mut context.workers.attempts, effects);
        }
    }

    /// Queues these chunks again, all as urgent, since their values were not written.
    pub(super) fn chunks_not_applied(&mut self, chunks: &[ChunkId], context: &mut WriteContext<'_>) {
        for &id in chunks {
            let Some(job) = context.jobs.table.get_mut(id.job) else {
                continue;
            };
            job.chunks[id.number as usize].write_failed();
            for &attempt in job.open.values() {
                if let Some(attempt) = context.workers.attempts.get_mut(attempt) {
                    attempt.record.write_failed();
                }
            }
            self.queue_urgent_chunk(id);
        }
    }
}

/// Returns the value to store for a chunk. Withdrawn attempts are left out.
fn chunk_value(job: &Job, number: u32, tasks: Range<u32>, workers: &Workers) -> ChunkValue {
    let mut open: Vec<OpenAttemptRecord> = Vec::new();
    for (&task, &attempt) in job.open.range(tasks.clone()) {
        let Some(attempt) = workers.attempts.get(attempt) else {
            continue;
        };
        let Some(machine) = workers.machines.get(attempt.machine) else {
            continue;
        };
        if !attempt.record.is_withdrawn() {
            open.push(OpenAttemptRecord {
                task,
                attempt: attempt.number,
                machine: machine.name.clone(),
                agent_epoch: attempt.agent_epoch,
            });
        }
    }
    ChunkValue {
        next_attempt: job.chunks[number as usize].next_attempt,
        done: job.done.format_ranges(tasks),
        open,
    }
}

/// Records that the writes or removals of the records of these tasks' attempts are in flight.
fn mark_in_flight(job: &Job, tasks: Range<u32>, attempts: &mut Attempts) {
    for (_, &attempt) in job.open.range(tasks) {
        if let Some(attempt) = attempts.get_mut(attempt) {
            attempt.record.start_write();
        }
    }
}

/// Returns the change that writes a chunk's value.
fn put_of(job: &Job, id: ChunkId, value: &ChunkValue, keys: &Keys) -> ChangeSet {
    let key = keys.task_chunk(&job.id, id.number);
    let version = job.chunks[id.number as usize].version;
    let mut set = ChangeSet::default();
    set.require(key.clone(), version);
    // A cancellation changes the job's own key, so this condition keeps new attempts from
    // starting after it.
    set.require(keys.job(&job.id), job.key_version);
    set.put(key, json!(value));
    set
}

/// Updates the attempts of these tasks after a commit: attempts whose records were written may
/// start, and withdrawn attempts whose records were removed have ended.
fn attempts_committed(job: &Job, tasks: Range<u32>, attempts: &mut Attempts, effects: &mut CommitEffects) {
    for (_, &ix) in job.open.range(tasks) {
        let Some(attempt) = attempts.get_mut(ix) else {
            continue;
        };
        match attempt.record.write_committed() {
            Some(CommittedRecord::Written) => {
                effects.delivery_due.insert(attempt.machine);
            }
            Some(CommittedRecord::Removed) => effects.withdrawn_attempts.push(ix),
            None => {}
        }
    }
}
