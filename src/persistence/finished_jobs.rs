//! Writing the ends of jobs whose last task is done. Users wait for these writes.

use super::draft::Draft;
use super::transaction_builder::ChangeSet;
use super::{PendingWrites, QueuedWrite, WriteContext};
use crate::ids::JobIx;
use crate::pipeline::Job;
use crate::store::{EndValue, JobKey, Keys};
use crate::wire::JobState;
use serde_json::json;

/// Number of changes for one job: its end and its own key.
const CHANGES_PER_JOB: usize = 2;

impl PendingWrites {
    /// Adds the ends of finished jobs while the transaction has space.
    pub(super) fn add_finished_jobs(&mut self, context: &WriteContext<'_>, draft: &mut Draft<'_>) {
        for ix in self.finished.clone() {
            if !draft.admits(&QueuedWrite::FinishedJob(ix)) {
                continue;
            }
            if !draft.builder.has_space(CHANGES_PER_JOB) {
                return;
            }
            let job = context.jobs.table.get(ix);
            if let Some(job) = job.filter(|job| job.ended.is_none()) {
                if !draft.builder.try_add(end_of(job, draft.keys)) {
                    return;
                }
                draft.content.finished_jobs.push(ix);
            }
            self.finished.remove(&ix);
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

/// Returns the changes that write the end of a job.
fn end_of(job: &Job, keys: &Keys) -> ChangeSet {
    let mut set = ChangeSet::default();
    set.require(keys.job(&job.id), job.key_version);
    set.require(keys.end(&job.id), 0);
    let end = json!(EndValue {
        state: JobState::Done,
        done: job.spec.tasks,
    });
    set.put(keys.end(&job.id), end);
    // The job's own key is removed only after its other keys. Until then it stores how the
    // job ended.
    let value = JobKey {
        spec: job.spec.clone(),
        accepted_ms: job.accepted_ms,
        ended: Some(JobState::Done),
    };
    set.put(keys.job(&job.id), json!(value));
    set
}
