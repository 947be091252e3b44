//! The replies to the create-once writes that accept and cancel jobs.

use super::answers::{self, Unavailable};
use super::job_write::JobWrite;
use super::pending::Awaited;
use super::{Admission, AdmissionContext, AdmissionEffect, JobRequestKind, Refusal};
use crate::store::StoreReply;

impl Admission {
    /// Handles the reply to a create-once write.
    pub fn on_write_reply(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        reply: &StoreReply,
    ) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get(&request_id) else {
            return Vec::new();
        };
        let Awaited::WriteReply { write, sent_at } = &request.awaited else {
            return Vec::new();
        };
        match reply {
            StoreReply::Committed { revision } => {
                let job_id = request.job_request.job_id.clone();
                let (end, sent_at) = (write.end(), *sent_at);
                let mut effects = vec![AdmissionEffect::RecordJob {
                    id: job_id.clone(),
                    job: write.job.clone(),
                    revision: *revision,
                }];
                effects.extend(match end {
                    Some(end) => {
                        self.note_end(context.now, &job_id, end, *revision);
                        self.report_end(context, request_id)
                    }
                    None => self.finish_unfinished(context, request_id, sent_at, answers::accepted(&job_id)),
                });
                effects
            }
            StoreReply::Conflict { .. } => {
                // The job is already known, has ended in the meantime, or this controller
                // has lost its claim: read again.
                self.await_confirming_read(request_id);
                Vec::new()
            }
            StoreReply::Rejected { reason } => self.on_write_rejected(context, request_id, reason),
            // The write may have been applied. Sending it again shows which: it either commits
            // or conflicts with the earlier one.
            StoreReply::Unanswered if request.may_retry_write(context.now) => {
                let write = write.clone();
                self.send_write(context, request_id, write)
            }
            _ => self.finish(context, request_id, Unavailable::StateServiceUnreachable.answer()),
        }
    }

    /// Sends a write, or another copy of it, for a pending request.
    fn send_write(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        write: Box<JobWrite>,
    ) -> Vec<AdmissionEffect> {
        match self.pending.get_mut(&request_id) {
            Some(request) => request.start_write(context.now, request_id, write),
            None => Vec::new(),
        }
    }

    /// Handles a write that the state service does not accept. A submission is refused for good,
    /// unless the job turns out to be known. A cancellation may succeed later, when the job has
    /// ended by itself or the limits of the service have changed.
    fn on_write_rejected(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        reason: &str,
    ) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get_mut(&request_id) else {
            return Vec::new();
        };
        let job_request = &mut request.job_request;
        tracing::error!(job = job_request.job_id, reason, "the state service rejects a job");
        if matches!(job_request.kind, JobRequestKind::Cancellation) {
            return self.finish(context, request_id, Unavailable::WriteRejected.answer());
        }
        job_request.kind = JobRequestKind::RefusedSubmission(Refusal::NotStorable);
        self.await_confirming_read(request_id);
        Vec::new()
    }
}
