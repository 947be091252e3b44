//! HTTP statuses and bodies of the answers to users.

use super::TaskCounts;
use crate::peers::Answer;
use crate::store::EndValue;
use crate::wire::{JobState, JobStatus};
use serde_json::json;
use thiserror::Error;

const STATUS_OK: u16 = 200;
const STATUS_CREATED: u16 = 201;
const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_UNPROCESSABLE: u16 = 422;
const STATUS_UNAVAILABLE: u16 = 503;
/// Maximum length of an error text.
const MAX_ERROR_BYTES: usize = 500;
/// The `Retry-After` value, in seconds, of answers with status 503.
const RETRY_AFTER_S: u32 = 1;

/// Why a request can't be answered at present. The message is the `error` text of the answer.
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
    #[error("the state service doesn't accept the change")]
    WriteRejected,
    #[error("the job's end can't be read")]
    EndUnreadable,
    #[error("no answer in time")]
    NoAnswerInTime,
    #[error("this controller is not a member")]
    NotMember,
    /// Two reads gave contradictory results because the job changed between them.
    #[error("try again")]
    ChangedMeanwhile,
}

impl Unavailable {
    /// Returns the answer with status 503 and this reason.
    pub(super) fn answer(self) -> Answer {
        service_unavailable(&self.to_string())
    }
}

/// Returns the answer to an accepted submission.
pub(super) fn accepted(job_id: &str) -> Answer {
    job_status_answer(STATUS_CREATED, &job_status(job_id, JobState::Queued))
}

/// Returns the answer for a job that has ended. It contains task counts only if the job is done.
pub(super) fn ended(job_id: &str, end: EndValue) -> Answer {
    let is_done = end.state == JobState::Done;
    let job = JobStatus {
        done: is_done.then_some(end.done),
        running: is_done.then_some(0),
        ..job_status(job_id, end.state)
    };
    job_status_answer(STATUS_OK, &job)
}

/// Returns whether an answer says nothing about the job, so that no newer answer contradicts it.
pub(super) fn is_neutral(answer: &Answer) -> bool {
    !matches!(
        answer.status,
        STATUS_OK | STATUS_CREATED | STATUS_BAD_REQUEST | STATUS_NOT_FOUND | STATUS_UNPROCESSABLE
    )
}

/// Returns whether an answer says that the job was never accepted.
pub(super) fn is_denial(answer: &Answer) -> bool {
    matches!(
        answer.status,
        STATUS_BAD_REQUEST | STATUS_NOT_FOUND | STATUS_UNPROCESSABLE
    )
}

/// Returns how the job ended, if another controller's answer reports its end.
pub(super) fn end_in_answer(answer: &Answer) -> Option<EndValue> {
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

/// Returns the answer for a job that is accepted and has not ended. Unknown counts are
/// reported as 0.
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
        ..job_status(job_id, state)
    };
    job_status_answer(STATUS_OK, &job)
}

/// Returns the answer for a job id under which no job was ever accepted.
pub(super) fn not_found() -> Answer {
    error_answer(STATUS_NOT_FOUND, "no such job")
}

/// Returns an answer whose body is a JSON object with this `error` text. A text that quotes a
/// long request is cut off.
pub fn error_answer(status: u16, error: &str) -> Answer {
    let error = &error[..error.floor_char_boundary(MAX_ERROR_BYTES)];
    Answer {
        status,
        body: json!({ "error": error }).to_string(),
        retry_after_s: None,
    }
}

/// Returns an answer with status 503 and a `Retry-After` value.
pub fn service_unavailable(error: &str) -> Answer {
    Answer {
        retry_after_s: Some(RETRY_AFTER_S),
        ..error_answer(STATUS_UNAVAILABLE, error)
    }
}

fn job_status(job_id: &str, state: JobState) -> JobStatus {
    JobStatus {
        id: job_id.into(),
        state,
        done: None,
        running: None,
    }
}

fn job_status_answer(status: u16, job: &JobStatus) -> Answer {
    Answer {
        status,
        body: serde_json::to_string(job).unwrap_or_default(),
        retry_after_s: None,
    }
}

#[cfg(test)]
mod tests;
