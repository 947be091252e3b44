//! Cancellations of unfinished jobs.

use super::AdmissionContext;
use super::job_write::{CANCELLED, JobWrite};
use crate::store::JobKey;
use crate::wire::{Change, JobState};
use serde_json::json;

/// Returns the write that cancels a job whose key currently has this value and version. It
/// stores the job's end permanently and marks the job key as ended until the job is cleaned up.
pub(super) fn cancellation_write(context: &AdmissionContext<'_>, job: &JobKey, job_version: u64) -> JobWrite {
    let put_end = Change::put(context.keys.end(&job.spec.id), json!(CANCELLED));
    let cancelled = JobKey {
        ended: Some(JobState::Cancelled),
        ..job.clone()
    };
    JobWrite::new(context, cancelled, job_version, vec![put_end])
}
