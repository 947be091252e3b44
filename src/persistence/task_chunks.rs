//! Chunks of tasks: which are done, and which attempts are open. An attempt starts only
//! once its chunk is written.

use super::next_transaction::Draft;
use super::{Committed, PendingWrites, WriteContext};
use crate::Millis;
use crate::ids::ChunkId;
use crate::pipeline::{ChunkValue, Job, OpenRecord};
use crate::wire::Change;
use crate::workers::{Attempts, CommittedRecord, Workers};
use serde_json::json;
use std::collections::BTreeSet;
use std::ops::Range;

/// How often a chunk is written again for what nobody waits for.
const REWRITE_MS: Millis = 1_500;
const CHUNK_BYTES: usize = 120;
const OPEN_ATTEMPT_BYTES: usize = 60;

impl PendingWrites {
    /// Chunks with attempts that start once they are written.
    pub(super) fn add_urgent_chunks(&mut self, now: Millis, context: &mut WriteContext<'_>, draft: &mut Draft<'_>) {
        let due = self.urgent_chunks.clone();
        self.add_chunks(now, due, context, draft);
    }

    /// Chunks that changed otherwise and were not written lately.
    pub(super) fn add_changed_chunks(&mut self, now: Millis, context: &mut WriteContext<'_>, draft: &mut Draft<'_>) {
        let is_due = |id: &ChunkId| {
            let job = context.jobs.table.get(id.job);
            let chunk = job.and_then(|job| job.chunks.get(id.number as usize));
            chunk.is_none_or(|chunk| now >= chunk.built_at() + REWRITE_MS)
        };
        let due = self.deferrable_chunks.iter().copied().filter(is_due).collect();
        self.add_chunks(now, due, context, draft);
    }

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
                // Its end says all that needs to be said; the chunk only has
                // to know that nothing is left unwritten.
                self.unqueue_chunk(id);
                job.chunks[id.number as usize].discard_changes();
                continue;
            }
            let tasks = job.tasks_of_chunk(id.number, context.jobs.chunk_tasks);
            let value = chunk_value(job, id.number, tasks.clone(), context.workers);
            let bytes = CHUNK_BYTES + value.done.len() + value.open.len() * OPEN_ATTEMPT_BYTES;
            // A single chunk always fits an otherwise empty transaction.
            if !draft.builder.has_space(1, bytes) && !draft.builder.is_empty() {
                return;
            }
            self.unqueue_chunk(id);
            mark_in_flight(job, tasks, &mut context.workers.attempts);
            job.chunks[id.number as usize].write_started(now);
            add_chunk(job, id, &value, bytes, draft);
        }
    }

    pub(super) fn chunks_committed(
        &mut self,
        chunks: &[ChunkId],
        context: &mut WriteContext<'_>,
        revision: u64,
        effects: &mut Committed,
    ) {
        for id in chunks {
            let Some(job) = context.jobs.table.get_mut(id.job) else {
                continue;
            };
            job.chunks[id.number as usize].write_committed(revision);
            let tasks = job.tasks_of_chunk(id.number, context.jobs.chunk_tasks);
            attempts_committed(job, tasks, &mut context.workers.attempts, effects);
        }
    }

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

fn chunk_value(job: &Job, number: u32, tasks: Range<u32>, workers: &Workers) -> ChunkValue {
    let mut open: Vec<OpenRecord> = Vec::new();
    for (&task, &attempt) in job.open.range(tasks.clone()) {
        let Some(attempt) = workers.attempts.get(attempt) else {
            continue;
        };
        let Some(machine) = workers.machines.get(attempt.machine) else {
            continue;
        };
        if !attempt.record.is_withdrawn() {
            open.push(OpenRecord {
                task,
                attempt: attempt.number,
                machine: machine.name.clone(),
                agent_epoch: attempt.agent_epoch,
            });
        }
    }
    ChunkValue {
        next: job.chunks[number as usize].next,
        done: job.done.text(tasks),
        open,
    }
}

/// The records of these tasks' attempts, or that they are gone, are being written.
fn mark_in_flight(job: &Job, tasks: Range<u32>, attempts: &mut Attempts) {
    for (_, &attempt) in job.open.range(tasks) {
        if let Some(attempt) = attempts.get_mut(attempt) {
            attempt.record.start_write();
        }
    }
}

fn add_chunk(job: &Job, id: ChunkId, value: &ChunkValue, bytes: usize, draft: &mut Draft<'_>) {
    let key = draft.keys.task_chunk(&job.id, id.number);
    let version = job.chunks[id.number as usize].version;
    draft.builder.require(key.clone(), version);
    // A cancel changes the job's key, so nothing starts after it.
    draft.builder.require(draft.keys.job(&job.id), job.key_version);
    draft.builder.change(Change::put(key, json!(value)), bytes);
    draft.content.chunks.push(id);
}

/// Written attempts may start; those that were withdrawn are over.
fn attempts_committed(job: &Job, tasks: Range<u32>, attempts: &mut Attempts, effects: &mut Committed) {
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
