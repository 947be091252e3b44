//! Decides whether a submitted job that is not known yet is accepted.

use super::answers::Unavailable;
use super::writes::JobWrite;
use super::{AdmissionContext, Feasibility, Refusal};
use crate::memory;
use crate::store::JobKey;
use crate::wire::JobSpec;

/// The version of a key that does not exist.
const ABSENT_KEY_VERSION: u64 = 0;

/// The outcome of a submission.
pub(super) enum Decision {
    /// The job is accepted once this write has succeeded.
    Accept(Box<JobWrite>),
    /// The job is permanently refused.
    Refuse(Refusal),
    /// The job can't be accepted or refused at present; the user may retry.
    Postpone(Unavailable),
}

/// Decides on a well-formed submission.
pub(super) fn decide(context: &AdmissionContext<'_>, spec: &JobSpec) -> Decision {
    match (context.feasibility)(spec) {
        Feasibility::Infeasible(refusal) => Decision::Refuse(refusal),
        Feasibility::Unknown => Decision::Postpone(Unavailable::MachineTypesUnknown),
        Feasibility::Feasible if !memory::has_memory_for_job(context.limits, context.watch_cache, spec.tasks) => {
            Decision::Postpone(Unavailable::TooMuchUnfinishedWork)
        }
        Feasibility::Feasible => Decision::Accept(Box::new(acceptance_write(context, spec))),
    }
}

/// Returns the write that creates the job's key.
fn acceptance_write(context: &AdmissionContext<'_>, spec: &JobSpec) -> JobWrite {
    let job = JobKey {
        spec: spec.clone(),
        accepted_ms: context.wall_clock,
        ended: None,
    };
    JobWrite::new(context, job, ABSENT_KEY_VERSION, Vec::new())
}
