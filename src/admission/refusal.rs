//! Reasons for the permanent refusal of a submission.

use super::answers::error_answer;
use super::validation::{self, MAX_TASKS};
use crate::peers::Answer;
use crate::settings::Team;
use crate::wire::{Catalogue, JobSpec};
use thiserror::Error;

const STATUS_MALFORMED: u16 = 400;
const STATUS_IMPOSSIBLE: u16 = 422;

/// Why a submission is permanently refused. The message is the `error` text of the answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The body is not JSON, or a field is missing or of another type. Holds the parser's message.
    #[error("{0}")]
    Unreadable(String),
    /// The job id does not have the form that the protocol requires.
    #[error("bad job id")]
    InvalidId,
    /// The job has no tasks, or more than `MAX_TASKS`.
    #[error("the number of tasks must be 1 to {}", MAX_TASKS)]
    TaskCountOutOfRange,
    /// An amount or a duration is negative or not a number.
    #[error("amounts and durations must not be negative")]
    NegativeAmount,
    /// The image name is empty.
    #[error("an image must be named")]
    MissingImage,
    /// The description is longer than a value that the state service stores.
    #[error("the description takes {bytes} bytes, but at most {max_bytes} can be stored")]
    TooLarge {
        /// The bytes that the description takes when it is stored.
        bytes: usize,
        /// The most bytes that can be stored.
        max_bytes: usize,
    },
    /// The state service does not accept the description.
    #[error("the description can't be stored")]
    NotStorable,
    /// The settings have no team of this name.
    #[error("unknown team")]
    UnknownTeam,
    /// A single task needs more CPUs or GPUs than its team may use.
    #[error("one task needs more than the team's limit")]
    OverTeamLimit,
    /// No allowed machine type that is offered in the required zone is large enough for a task.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
}

impl Refusal {
    /// Returns the HTTP status of the answer: 400 for a malformed submission, 422 for one that
    /// can never run.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Unreadable(_)
            | Refusal::InvalidId
            | Refusal::TaskCountOutOfRange
            | Refusal::NegativeAmount
            | Refusal::MissingImage => STATUS_MALFORMED,
            Refusal::TooLarge { .. }
            | Refusal::NotStorable
            | Refusal::UnknownTeam
            | Refusal::OverTeamLimit
            | Refusal::FitsNoMachineType => STATUS_IMPOSSIBLE,
        }
    }

    /// Returns the answer with this refusal's status and message.
    pub(super) fn answer(&self) -> Answer {
        error_answer(self.status(), &self.to_string())
    }
}

/// Whether a well-formed job can ever run on the configured teams and machine types.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Feasibility {
    /// The job can run.
    Feasible,
    /// The job can never run, for this reason.
    Infeasible(Refusal),
    /// The machine types have not been loaded yet.
    Unknown,
}

impl Feasibility {
    /// Checks a well-formed job against the teams and the machine types. `catalogue` is `None`
    /// until the machine types are known.
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
