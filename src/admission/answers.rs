//! The answers to users: statuses and bodies.

use super::TaskCounts;
use crate::peers::Answer;
use crate::store::EndValue;
use crate::wire::{JobState, JobStatus};
use serde_json::json;
use thiserror::Error;

const STATUS_OK: u16 = 200;
const STATUS_CREATED: u16 = 201;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_UNAVAILABLE: u16 = 503;
/// When a user who can't be answered now should ask again.
const RETRY_AFTER_S: u32 = 1;

/// Why a request can't be answered for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum Unavailable {
    #[error("too many requests at once")]
    TooManyRequests,
    #[error("too much unfinished work")]
    TooMuchUnfinishedWork,
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    #[error("the state service can't be reached")]
    StateServiceUnreachable,
    #[error("the job's end can't be read")]
    EndUnreadable,
    #[error("no answer in time")]
    NoAnswerInTime,
    /// What was found contradicts itself, since it changed between two reads.
    #[error("try again")]
    ChangedMeanwhile,
}

impl Unavailable {
    pub(super) fn answer(self) -> Answer {
        service_unavailable(&self.to_string())
    }
}

/// A submission was accepted.
pub(super) fn accepted(job_id: &str) -> Answer {
    status_answer(STATUS_CREATED, &status(job_id, JobState::Queued))
}

/// The job has ended.
pub(super) fn ended(job_id: &str, end: EndValue) -> Answer {
    let is_done = end.state == JobState::Done;
    let job = JobStatus {
        done: is_done.then_some(end.done),
        running: is_done.then_some(0),
        ..status(job_id, end.state)
    };
    status_answer(STATUS_OK, &job)
}

/// How a job ended, if that is what this answer of another controller says.
pub(super) fn end_told(answer: &Answer) -> Option<EndValue> {
    if answer.status != STATUS_OK {
        return None;
    }
    let job: JobStatus = serde_json::from_str(&answer.body).ok()?;
    match job.state {
        JobState::Done | JobState::Cancelled => Some(EndValue {
            state: job.state,
            done: job.done.unwrap_or(0),
        }),
        JobState::Queued | JobState::Running => None,
    }
}

/// The job is accepted and has not ended. Counts that aren't known are given as 0.
pub(super) fn unfinished(job_id: &str, counts: Option<TaskCounts>) -> Answer {
    let TaskCounts { done, running } = counts.unwrap_or_default();
    let state = if running > 0 {
        JobState::Running
    } else {
        JobState::Queued
    };
    let job = JobStatus {
        done: Some(done),
        running: Some(running),
        ..status(job_id, state)
    };
    status_answer(STATUS_OK, &job)
}

/// No such job was ever accepted.
pub(super) fn not_found() -> Answer {
    error_answer(STATUS_NOT_FOUND, "no such job")
}

/// An answer whose body says what is wrong.
pub fn error_answer(status: u16, error: &str) -> Answer {
    Answer {
        status,
        body: json!({ "error": error }).to_string(),
        retry_after_s: None,
    }
}

/// The service can't take it now; the user is told when to come back.
pub fn service_unavailable(error: &str) -> Answer {
    Answer {
        retry_after_s: Some(RETRY_AFTER_S),
        ..error_answer(STATUS_UNAVAILABLE, error)
    }
}

fn status(job_id: &str, state: JobState) -> JobStatus {
    JobStatus {
        id: job_id.into(),
        state,
        done: None,
        running: None,
    }
}

fn status_answer(status: u16, job: &JobStatus) -> Answer {
    Answer {
        status,
        body: serde_json::to_string(job).unwrap_or_default(),
        retry_after_s: None,
    }
}

#[cfg(test)]
mod tests;
