//! Parses submissions and checks whether they are well-formed and can ever run.

use super::Refusal;
use crate::settings::{StoreLimits, Team};
use crate::store::{JobKey, MAX_TRANSACTION_BYTES, encoded_size};
use crate::wire::{Catalogue, JobSpec, JobState, MachineType};

/// The maximum number of tasks in a job.
pub(super) const MAX_TASKS: u32 = 100_000;
const JOB_ID_PREFIX: &str = "j-";
/// The maximum number of digits in a job id.
const MAX_ID_DIGITS: usize = 20;
/// Size of the field that an ended job's key has in addition, without the field's value.
const ENDED_FIELD_BYTES: usize = r#","ended":"#.len();
/// Upper bound of the size of a transaction that writes the end of one job, without the value of
/// the job's key. All names in it are bounded.
const OTHER_TRANSACTION_BYTES: usize = 1_024;
/// Tolerance for floating-point rounding when an amount is compared with a team's limit.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A malformed submission.
#[derive(Debug, PartialEq)]
pub(super) struct MalformedSubmission {
    /// The job id, if it is valid. If a job with this id is known, the answer reports that job
    /// regardless of the rest of the body.
    pub(super) job_id: Option<String>,
    pub(super) refusal: Refusal,
}

/// Returns whether the id has the form that the protocol requires: `j-` followed by at least
/// one and at most `MAX_ID_DIGITS` digits.
pub(super) fn is_valid_id(id: &str) -> bool {
    id.strip_prefix(JOB_ID_PREFIX).is_some_and(|digits| {
        (1..=MAX_ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}

/// Parses the body of a submission and checks that it is well-formed.
pub(super) fn parse(body: &str) -> Result<JobSpec, MalformedSubmission> {
    let spec: JobSpec = serde_json::from_str(body).map_err(|error| MalformedSubmission {
        job_id: find_id(body),
        refusal: Refusal::Unreadable(error.to_string()),
    })?;
    match check_well_formed(&spec) {
        Ok(()) => Ok(spec),
        Err(refusal) => Err(MalformedSubmission {
            job_id: is_valid_id(&spec.id).then_some(spec.id),
            refusal,
        }),
    }
}

/// Returns the job id of a body that can't be parsed as a job, if it has a valid one.
fn find_id(body: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(body).ok()?;
    let id = value.get("id")?.as_str()?;
    is_valid_id(id).then(|| id.to_owned())
}

/// Checks the fields of a submission that the types of [`JobSpec`] do not restrict enough.
fn check_well_formed(spec: &JobSpec) -> Result<(), Refusal> {
    if !is_valid_id(&spec.id) {
        return Err(Refusal::InvalidId);
    }
    if spec.tasks == 0 || spec.tasks > MAX_TASKS {
        return Err(Refusal::TaskCountOutOfRange);
    }
    let amounts = [
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.image_gb,
        spec.estimate_s,
        spec.checkpoint_s,
        spec.save_s,
        spec.deadline_s.unwrap_or(0.0),
    ];
    if amounts.iter().any(|amount| !amount.is_finite() || *amount < 0.0) {
        return Err(Refusal::NegativeAmount);
    }
    if spec.image.is_empty() {
        return Err(Refusal::MissingImage);
    }
    Ok(())
}

/// Checks whether the job's key can be written in each of its forms: as accepted, cancelled and
/// done.
pub(super) fn check_storable(job: &JobKey, limits: &StoreLimits) -> Result<(), Refusal> {
    let bytes = encoded_size(job) + ENDED_FIELD_BYTES + encoded_size(&JobState::Cancelled);
    let max_bytes = limits
        .value_bytes()
        .min(MAX_TRANSACTION_BYTES - OTHER_TRANSACTION_BYTES);
    if bytes > max_bytes {
        return Err(Refusal::TooLarge { bytes, max_bytes });
    }
    Ok(())
}

/// Checks whether a well-formed job can ever run: its team exists and may use enough
/// resources for one task, and a task fits some allowed machine type.
pub(super) fn check_feasible(spec: &JobSpec, teams: &[Team], catalogue: &Catalogue) -> Result<(), Refusal> {
    let Some(team) = teams.iter().find(|team| team.name == spec.team) else {
        return Err(Refusal::UnknownTeam);
    };
    if exceeds(team.cpus_max, spec.cpus) || exceeds(team.gpus_max, spec.gpus) {
        return Err(Refusal::OverTeamLimit);
    }
    if !catalogue.types.iter().any(|machine_type| fits(spec, machine_type)) {
        return Err(Refusal::FitsNoMachineType);
    }
    Ok(())
}

/// Returns whether the need exceeds the limit. A limit of 0 means that there is no limit.
fn exceeds(limit: f64, need: f64) -> bool {
    limit > 0.0 && need > limit + ROUNDING_TOLERANCE
}

/// Returns whether the job allows this machine type, the type is offered in the zone that the
/// job requires, if any, and a task fits an empty machine of this type.
fn fits(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.types
        .as_ref()
        .is_none_or(|types| types.contains(&machine_type.name))
        && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
        && spec.cpus <= machine_type.cpus
        && spec.gpus <= machine_type.gpus
        && spec.memory_gb <= machine_type.memory_gb
}

#[cfg(test)]
mod tests;
