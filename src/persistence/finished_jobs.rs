//! Jobs whose last task is done: their ends are written, which users wait for.

use super::next_transaction::Draft;
use super::transaction_builder::TransactionBuilder;
use super::{PendingWrites, WriteContext};
use crate::ids::JobIx;
use crate::pipeline::Job;
use crate::store::{EndValue, JobKey, Keys};
use crate::wire::{Change, JobState};
use serde_json::json;

/// An end and a job key.
const CHANGES: usize = 2;
const BYTES: usize = 1_500;
const END_BYTES: usize = 100;
const JOB_BYTES: usize = 700;

impl PendingWrites {
    pub(super) fn add_finished_jobs(&mut self, context: &WriteContext<'_>, draft: &mut Draft<'_>) {
        for ix in self.finished.clone() {
            if !draft.builder.has_space(CHANGES, BYTES) {
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

fn add_end(job: &Job, keys: &Keys, builder: &mut TransactionBuilder) {
    builder.require(keys.job(&job.id), job.key_version);
    builder.require(keys.end(&job.id), 0);
    let end = json!(EndValue {
        state: JobState::Done,
        done: job.spec.tasks,
    });
    builder.change(Change::put(keys.end(&job.id), end), END_BYTES);
    // The job key goes last, when the rest has been cleaned up: until
    // then it says how the job ended.
    let value = JobKey {
        spec: job.spec.clone(),
        accepted_ms: job.accepted_ms,
        ended: Some(JobState::Done),
    };
    builder.change(Change::put(keys.job(&job.id), json!(value)), JOB_BYTES);
}
