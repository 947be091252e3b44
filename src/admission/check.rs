use super::text;
use crate::peers::Answer;
use crate::settings::Team;
use crate::wire::{Catalogue, JobSpec};

const MAX_TASKS: u32 = 100_000;

/// Why a submission is turned away for good.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    status: u16,
    reason: String,
}

impl Refusal {
    fn malformed(reason: impl Into<String>) -> Refusal {
        Refusal {
            status: 400,
            reason: reason.into(),
        }
    }

    fn impossible(reason: impl Into<String>) -> Refusal {
        Refusal {
            status: 422,
            reason: reason.into(),
        }
    }

    pub fn answer(&self) -> Answer {
        text(self.status, &self.reason)
    }
}

/// `j-` and digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|digits| (1..=20).contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit()))
}

/// Reads a submission. A refusal comes with the id, if there is a valid one: a
/// job known under it is answered whatever this body says.
pub fn parse(body: &str) -> Result<JobSpec, (Option<String>, Refusal)> {
    let id = || {
        let value: serde_json::Value = serde_json::from_str(body).ok()?;
        let id = value.get("id")?.as_str()?;
        valid_id(id).then(|| id.to_owned())
    };
    let spec: JobSpec = serde_json::from_str(body).map_err(|error| (id(), Refusal::malformed(error.to_string())))?;
    match malformed(&spec) {
        Some(reason) => Err((valid_id(&spec.id).then(|| spec.id.clone()), Refusal::malformed(reason))),
        None => Ok(spec),
    }
}

fn malformed(spec: &JobSpec) -> Option<&'static str> {
    if !valid_id(&spec.id) {
        return Some("bad job id");
    }
    if spec.tasks == 0 || spec.tasks > MAX_TASKS {
        return Some("the number of tasks must be 1 to 100000");
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
        return Some("amounts and durations must not be negative");
    }
    if spec.image.is_empty() {
        return Some("an image must be named");
    }
    None
}

/// Whether a well-formed job can ever run.
pub fn check(spec: &JobSpec, teams: &[Team], catalogue: &Catalogue) -> Result<(), Refusal> {
    let Some(team) = teams.iter().find(|team| team.name == spec.team) else {
        return Err(Refusal::impossible("unknown team"));
    };
    let over = |limit: f64, need: f64| limit > 0.0 && need > limit + 1e-9;
    if over(team.cpus_max, spec.cpus) || over(team.gpus_max, spec.gpus) {
        return Err(Refusal::impossible("one task needs more than the team's limit"));
    }
    let fits = catalogue.types.iter().any(|info| {
        spec.types.as_ref().is_none_or(|types| types.contains(&info.name))
            && spec.zone.as_ref().is_none_or(|zone| info.zones.contains(zone))
            && spec.cpus <= info.cpus
            && spec.gpus <= info.gpus
            && spec.memory_gb <= info.memory_gb
    });
    if !fits {
        return Err(Refusal::impossible("a task fits no allowed machine type"));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
