//! Writing the ends of jobs whose last task is done. Users wait for these writes.

use super::next_transaction::Draft;
use super::transaction_builder::TransactionBuilder;
use super::{PendingWrites, WriteContext};
use crate::ids::JobIx;
use crate::pipeline::Job;
use crate::store::{EndValue, JobKey, Keys};
use crate::wire::{Change, JobState};
use serde_json::json;

/// Number of changes for one job: its end and its own key.
const CHANGES_PER_JOB: usize = 2;
/// Free bytes that a transaction must have for the changes for one job.
const REQUIRED_BYTES_PER_JOB: usize = 1_500;
/// Estimated size of the change that writes an end.
const END_BYTES: usize = 100;
/// Estimated size of the change that writes a job's own key.
const JOB_BYTES: usize = 700;

impl PendingWrites {
    /// Adds the ends of finished jobs while the transaction has space.
    pub(super) fn add_finished_jobs(&mut self, context: &WriteContext<'_>, draft: &mut Draft<'_>) {
        for ix in self.finished.clone() {
            if !draft.builder.has_space(CHANGES_PER_JOB, REQUIRED_BYTES_PER_JOB) {
                return;
            }
            self.finished.remove(&ix);
            let job = context.jobs.table.get(ix);
            if let Some(job) = job.filter(|job| job.ended.is_none()) {
                add_end(job, draft.keys, &mut draft.builder);
                draft.content.finished_jobs.push(ix);
            }
        }
    }

    /// Records that the ends of these jobs are written, and queues the removal of their keys.
    pub(super) fn finished_jobs_committed(&mut self, jobs: &[JobIx], context: &mut WriteContext<'_>, revision: u64) {
        for &ix in jobs {
            if let Some(job) = context.jobs.table.get_mut(ix) {
                job.ended = Some(JobState::Done);
                job.key_version = revision;
                self.queue_clean_up(ix);
            }
        }
    }
}

/// Adds the changes that write the end of a job.
fn add_end(job: &Job, keys: &Keys, builder: &mut TransactionBuilder) {
    builder.require(keys.job(&job.id), job.key_version);
    builder.require(keys.end(&job.id), 0);
    let end = json!(EndValue {
        state: JobState::Done,
        done: job.spec.tasks,
    });
    builder.change(Change::put(keys.end(&job.id), end), END_BYTES);
    // The job's own key is removed only after its other keys. Until then it stores how the
    // job ended.
    let value = JobKey {
        spec: job.spec.clone(),
        accepted_ms: job.accepted_ms,
        ended: Some(JobState::Done),
    };
    builder.change(Change::put(keys.job(&job.id), json!(value)), JOB_BYTES);
}
