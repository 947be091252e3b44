//! Why a submission is refused for good.

use super::answers::error_answer;
use super::validation::{self, MAX_TASKS};
use crate::peers::Answer;
use crate::settings::Team;
use crate::wire::{Catalogue, JobSpec};
use thiserror::Error;

const STATUS_MALFORMED: u16 = 400;
const STATUS_IMPOSSIBLE: u16 = 422;

/// Why a submission is refused for good. The message is what its user reads.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The body is not JSON, or a field is missing or of another type. Holds the parser's message.
    #[error("{0}")]
    Unreadable(String),
    /// The id is not of the form that the protocol gives.
    #[error("bad job id")]
    InvalidId,
    /// The job has no tasks or too many.
    #[error("the number of tasks must be 1 to {}", MAX_TASKS)]
    TaskCountOutOfRange,
    /// An amount or a duration is negative or not a number.
    #[error("amounts and durations must not be negative")]
    NegativeAmount,
    /// No image is named.
    #[error("an image must be named")]
    MissingImage,
    /// The settings name no such team.
    #[error("unknown team")]
    UnknownTeam,
    /// A single task takes more than its team may use.
    #[error("one task needs more than the team's limit")]
    OverTeamLimit,
    /// No machine type and zone that the job allows has room for one of its tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
}

impl Refusal {
    /// The HTTP status that goes with it.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Unreadable(_)
            | Refusal::InvalidId
            | Refusal::TaskCountOutOfRange
            | Refusal::NegativeAmount
            | Refusal::MissingImage => STATUS_MALFORMED,
            Refusal::UnknownTeam | Refusal::OverTeamLimit | Refusal::FitsNoMachineType => STATUS_IMPOSSIBLE,
        }
    }

    pub(super) fn answer(&self) -> Answer {
        error_answer(self.status(), &self.to_string())
    }
}

/// Whether a well-formed job can ever run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Feasibility {
    /// It can.
    Feasible,
    /// It can't.
    Infeasible(Refusal),
    /// Unknown until the machine types are.
    Unknown,
}

impl Feasibility {
    /// Judges a well-formed job by the teams and, once they are known, the machine types.
    pub fn of(spec: &JobSpec, teams: &[Team], catalogue: Option<&Catalogue>) -> Feasibility {
        let Some(catalogue) = catalogue else {
            return Feasibility::Unknown;
        };
        match validation::check_feasible(spec, teams, catalogue) {
            Ok(()) => Feasibility::Feasible,
            Err(refusal) => Feasibility::Infeasible(refusal),
        }
    }
}

#[cfg(test)]
mod tests;
