//! Decides whether a submitted job that is not known yet is accepted.

use super::answers::Unavailable;
use super::job_write::JobWrite;
use super::{AdmissionContext, Feasibility, Refusal, validation};
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
    let job = JobKey {
        spec: spec.clone(),
        accepted_ms: context.wall_clock,
        ended: None,
    };
    if let Err(refusal) = validation::check_storable(&job, context.store_limits) {
        return Decision::Refuse(refusal);
    }
    match (context.feasibility)(spec) {
        Feasibility::Infeasible(refusal) => Decision::Refuse(refusal),
        Feasibility::Unknown => Decision::Postpone(Unavailable::MachineTypesUnknown),
        Feasibility::Feasible if !memory::has_memory_for_job(context.limits, context.watch_cache, spec) => {
            Decision::Postpone(Unavailable::TooMuchUnfinishedWork)
        }
        // The write creates the job's key.
        Feasibility::Feasible => {
            let write = JobWrite::new(context, job, ABSENT_KEY_VERSION, Vec::new());
            Decision::Accept(Box::new(write))
        }
    }
}
