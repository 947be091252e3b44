//! Cancellations of unfinished jobs.

use super::AdmissionContext;
use super::writes::JobWrite;
use crate::store::{EndValue, JobKey};
use crate::wire::{Change, JobState};
use serde_json::json;

/// The end of a cancelled job.
pub(super) const CANCELLED: EndValue = EndValue {
    state: JobState::Cancelled,
    done: 0,
};

/// The write that cancels a job, whose key now has this value and version. From then on the
/// job's end is kept for good, and its own key says that it ended until it is cleaned up.
pub(super) fn cancellation(context: &AdmissionContext<'_>, job: &JobKey, job_version: u64) -> JobWrite {
    let put_end = Change::put(context.keys.end(&job.spec.id), json!(CANCELLED));
    let cancelled = JobKey {
        ended: Some(JobState::Cancelled),
        ..job.clone()
    };
    JobWrite::new(context, cancelled, job_version, vec![put_end])
}
