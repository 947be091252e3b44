//! What a user's request asks for, and about which job.

use super::validation::{self, is_valid_id};
use super::{Refusal, answers};
use crate::peers::{Answer, UserRequest};
use crate::wire::JobSpec;

/// What is asked of a job.
#[derive(Debug)]
pub(super) enum QuestionKind {
    /// To accept it.
    Submission(Box<JobSpec>),
    /// To accept it, which is refused unless it is known already.
    RefusedSubmission(Refusal),
    /// What state it is in.
    Poll,
    /// To cancel it.
    Cancellation,
}

/// A request about a job.
#[derive(Debug)]
pub(super) struct Question {
    pub(super) job_id: String,
    pub(super) kind: QuestionKind,
}

impl Question {
    /// Reads a user's request. One that names no valid job id is answered at once.
    pub(super) fn read(user_request: &UserRequest) -> Result<Question, Answer> {
        match user_request {
            UserRequest::Submit(body) => Question::read_submission(body),
            UserRequest::Show(job_id) => Question::about(job_id, QuestionKind::Poll),
            UserRequest::Cancel(job_id) => Question::about(job_id, QuestionKind::Cancellation),
        }
    }

    fn read_submission(body: &str) -> Result<Question, Answer> {
        match validation::parse(body) {
            Ok(spec) => Ok(Question {
                job_id: spec.id.clone(),
                kind: QuestionKind::Submission(Box::new(spec)),
            }),
            Err(malformed) => match malformed.job_id {
                Some(job_id) => Ok(Question {
                    job_id,
                    kind: QuestionKind::RefusedSubmission(malformed.refusal),
                }),
                None => Err(malformed.refusal.answer()),
            },
        }
    }

    fn about(job_id: &str, kind: QuestionKind) -> Result<Question, Answer> {
        if !is_valid_id(job_id) {
            return Err(answers::not_found());
        }
        let job_id = job_id.to_owned();
        Ok(Question { job_id, kind })
    }
}
