//! Removal of the keys of ended jobs: first the keys of their chunks, then the job's own key.

use super::content::CleanUp;
use super::draft::Draft;
use super::transaction_builder::{ChangeSet, TransactionBuilder};
use super::{CommitEffects, PendingWrites, QueuedWrite, WriteContext};
use crate::ids::JobIx;
use crate::pipeline::{Chunk, Job};
use crate::store::Keys;

impl PendingWrites {
    /// Adds the removal of the keys of ended jobs that have no open attempts.
    pub(super) fn add_clean_ups(&mut self, context: &WriteContext<'_>, draft: &mut Draft<'_>) {
        for ix in self.clean_ups.clone() {
            if !draft.admits(&QueuedWrite::CleanUp(ix)) {
                continue;
            }
            let job = context.jobs.table.get(ix);
            let Some(job) = job.filter(|job| job.ended.is_some() && job.open.is_empty()) else {
                self.clean_ups.remove(&ix);
                continue;
            };
            let clean_up = add_clean_up(ix, job, draft.keys, &mut draft.builder);
            let is_complete = clean_up.removes_job;
            if is_complete || !clean_up.chunks.is_empty() {
                self.clean_ups.remove(&ix);
                draft.content.clean_ups.push(clean_up);
            }
            if !is_complete {
                return;
            }
        }
    }

    /// Records that these keys were removed. Queues the rest of a job whose keys did not all fit
    /// into the transaction.
    pub(super) fn clean_ups_committed(
        &mut self,
        clean_ups: &[CleanUp],
        context: &mut WriteContext<'_>,
        effects: &mut CommitEffects,
    ) {
        for clean_up in clean_ups {
            let Some(job) = context.jobs.table.get_mut(clean_up.job) else {
                continue;
            };
            for &number in &clean_up.chunks {
                job.chunks[number as usize].version = 0;
            }
            if clean_up.removes_job {
                effects.removed_jobs.push(job.id.clone());
            } else {
                self.queue_clean_up(clean_up.job);
            }
        }
    }
}

/// Adds the removal of as many keys of the job as fit into the transaction.
fn add_clean_up(ix: JobIx, job: &Job, keys: &Keys, builder: &mut TransactionBuilder) -> CleanUp {
    let mut chunks = Vec::new();
    for (number, chunk) in written_chunks(job) {
        if !builder.try_add(removal(keys.task_chunk(&job.id, number), chunk.version)) {
            break;
        }
        chunks.push(number);
    }
    let removes_all = chunks.len() == written_chunks(job).count();
    let removes_job = removes_all && builder.try_add(removal(keys.job(&job.id), job.key_version));
    CleanUp {
        job: ix,
        chunks,
        removes_job,
    }
}

/// Returns the removal of a key that has this version.
fn removal(key: String, version: u64) -> ChangeSet {
    let mut set = ChangeSet::default();
    set.delete(key, version);
    set
}

/// Iterates over the chunks that have a key, with their numbers.
fn written_chunks(job: &Job) -> impl Iterator<Item = (u32, &Chunk)> {
    let chunks = (0..).zip(&job.chunks);
    chunks.filter(|(_, chunk)| chunk.version > 0)
}
