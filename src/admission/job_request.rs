//! Parsed user requests: the job concerned and the requested operation.

use super::validation::{self, is_valid_id};
use super::{Refusal, answers};
use crate::peers::{Answer, UserRequest};
use crate::wire::JobSpec;

/// The requested operation.
#[derive(Debug)]
pub(super) enum JobRequestKind {
    /// Accept this job.
    Submission(Box<JobSpec>),
    /// Accept a job whose submission is refused for this reason, unless it is already known.
    RefusedSubmission(Refusal),
    /// Show the state of the job.
    Poll,
    /// Cancel the job.
    Cancellation,
}

/// A request about one job.
#[derive(Debug)]
pub(super) struct JobRequest {
    pub(super) job_id: String,
    pub(super) kind: JobRequestKind,
}

impl JobRequest {
    /// Parses a user's request. Returns the answer if the request has no valid job id.
    pub(super) fn parse(user_request: &UserRequest) -> Result<JobRequest, Answer> {
        match user_request {
            UserRequest::Submit(body) => JobRequest::parse_submission(body),
            UserRequest::Show(job_id) => JobRequest::for_job(job_id, JobRequestKind::Poll),
            UserRequest::Cancel(job_id) => JobRequest::for_job(job_id, JobRequestKind::Cancellation),
        }
    }

    /// Parses a submission. A malformed one with a valid job id becomes a
    /// [`JobRequestKind::RefusedSubmission`], because the job may already be known.
    fn parse_submission(body: &str) -> Result<JobRequest, Answer> {
        match validation::parse(body) {
            Ok(spec) => Ok(JobRequest {
                job_id: spec.id.clone(),
                kind: JobRequestKind::Submission(Box::new(spec)),
            }),
            Err(malformed) => match malformed.job_id {
                Some(job_id) => Ok(JobRequest {
                    job_id,
                    kind: JobRequestKind::RefusedSubmission(malformed.refusal),
                }),
                None => Err(malformed.refusal.answer()),
            },
        }
    }

    /// Returns a request about the job with this id, or the answer if the id is not valid.
    fn for_job(job_id: &str, kind: JobRequestKind) -> Result<JobRequest, Answer> {
        if !is_valid_id(job_id) {
            return Err(answers::not_found());
        }
        let job_id = job_id.to_owned();
        Ok(JobRequest { job_id, kind })
    }
}
