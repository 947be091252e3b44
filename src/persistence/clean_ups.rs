//! Ended jobs: the keys of their chunks are removed, and at last the job's own key.

use super::next_transaction::Draft;
use super::transaction_builder::{DELETE_BYTES, TransactionBuilder};
use super::{Committed, PendingWrites, WriteContext};
use crate::ids::JobIx;
use crate::pipeline::{Chunk, Job};
use crate::store::Keys;

/// What one transaction removes of a job.
#[derive(Debug)]
pub(super) struct CleanUp {
    pub job: JobIx,
    /// The chunks whose keys go, by their numbers.
    chunks: Vec<u32>,
    /// The job's own key goes as well: nothing is left of it.
    removes_job: bool,
}

impl PendingWrites {
    pub(super) fn add_clean_ups(&mut self, context: &WriteContext<'_>, draft: &mut Draft<'_>) {
        for ix in self.clean_ups.clone() {
            self.clean_ups.remove(&ix);
            let job = context.jobs.table.get(ix);
            let Some(job) = job.filter(|job| job.ended.is_some() && job.open.is_empty()) else {
                continue;
            };
            let clean_up = add_clean_up(ix, job, draft.keys, &mut draft.builder);
            let is_last_part = clean_up.removes_job;
            draft.content.clean_ups.push(clean_up);
            if !is_last_part {
                return;
            }
        }
    }

    pub(super) fn clean_ups_committed(
        &mut self,
        clean_ups: &[CleanUp],
        context: &mut WriteContext<'_>,
        effects: &mut Committed,
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

/// Removes as many keys of the job as there is space for.
fn add_clean_up(ix: JobIx, job: &Job, keys: &Keys, builder: &mut TransactionBuilder) -> CleanUp {
    let mut chunks = Vec::new();
    for (number, chunk) in written_chunks(job) {
        if !builder.has_space(1, DELETE_BYTES) {
            break;
        }
        builder.delete(keys.task_chunk(&job.id, number), chunk.version);
        chunks.push(number);
    }
    let removes_all = chunks.len() == written_chunks(job).count();
    let removes_job = removes_all && builder.has_space(1, DELETE_BYTES);
    if removes_job {
        builder.delete(keys.job(&job.id), job.key_version);
    }
    CleanUp {
        job: ix,
        chunks,
        removes_job,
    }
}

/// The chunks that have a key, with their numbers.
fn written_chunks(job: &Job) -> impl Iterator<Item = (u32, &Chunk)> {
    let chunks = (0..).zip(&job.chunks);
    chunks.filter(|(_, chunk)| chunk.version > 0)
}
