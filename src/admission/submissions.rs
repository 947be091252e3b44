//! Submissions: whether a job that isn't known yet is accepted.

use super::answers::Unavailable;
use super::writes::JobWrite;
use super::{AdmissionContext, Refusal, Verdict};
use crate::memory;
use crate::store::JobKey;
use crate::wire::JobSpec;

/// The version of a key that does not exist.
const ABSENT: u64 = 0;

/// What becomes of a submission.
pub(super) enum Decision {
    /// It is accepted once this write has succeeded.
    Accept(Box<JobWrite>),
    /// It is refused for good.
    Refuse(Refusal),
    /// It can't be decided on, or taken, for now.
    Postpone(Unavailable),
}

/// Decides on a well-formed submission.
pub(super) fn decide(context: &AdmissionContext<'_>, spec: &JobSpec) -> Decision {
    match (context.verdict)(spec) {
        Verdict::Refused(refusal) => Decision::Refuse(refusal),
        Verdict::NotKnownYet => Decision::Postpone(Unavailable::MachineTypesUnknown),
        Verdict::Acceptable if !memory::has_memory_for_job(context.limits, context.watch_cache, spec.tasks) => {
            Decision::Postpone(Unavailable::TooMuchUnfinishedWork)
        }
        Verdict::Acceptable => Decision::Accept(Box::new(acceptance(context, spec))),
    }
}

fn acceptance(context: &AdmissionContext<'_>, spec: &JobSpec) -> JobWrite {
    let job = JobKey {
        spec: spec.clone(),
        accepted_ms: context.wall_clock,
        ended: None,
    };
    JobWrite::new(context, job, ABSENT, Vec::new())
}
