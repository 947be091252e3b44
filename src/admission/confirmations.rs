//! Confirming reads: the watch cache is brought up to date before it is used for an answer.

use super::answers::{self, Unavailable};
use super::cancellations::cancellation_write;
use super::pending::Awaited;
use super::{Admission, AdmissionContext, AdmissionEffect, JobRequest, JobRequestKind};
use crate::peers::Answer;
use crate::store::{EndValue, StoreReply};

/// The reads that bring the watch cache up to date, numbered in the order in which they are
/// sent. Only one is in flight at a time; it serves all requests received before it was sent.
#[derive(Debug, Default)]
pub(super) struct ConfirmingReads {
    /// The number of the last read sent, 0 before the first one.
    last_sent: u64,
    /// Whether the last read sent has not been answered yet.
    in_flight: bool,
    /// Whether a request is waiting for the next read.
    requested: bool,
}

impl ConfirmingReads {
    /// Requests that a new read is sent, and returns its number.
    fn request_next(&mut self) -> u64 {
        self.requested = true;
        self.last_sent + 1
    }

    /// Returns the number of the read to send now, if one is requested and none is in flight,
    /// and marks it as sent.
    fn take_next(&mut self) -> Option<u64> {
        if !self.requested || self.in_flight {
            return None;
        }
        self.requested = false;
        self.in_flight = true;
        self.last_sent += 1;
        Some(self.last_sent)
    }
}

impl Admission {
    /// Returns the number of the confirming read to send now, if any, and marks it as sent.
    pub fn take_confirming_read(&mut self) -> Option<u64> {
        self.confirming_reads.take_next()
    }

    /// Makes a request wait for a confirming read that has not been sent yet.
    pub(super) fn await_confirming_read(&mut self, request_id: u64) {
        if let Some(request) = self.pending.get_mut(&request_id) {
            request.awaited = Awaited::ConfirmingRead(self.confirming_reads.request_next());
        }
    }

    /// Handles the success of the confirming read with this number, after it has been applied
    /// to the watch cache.
    pub fn confirming_read_done(&mut self, context: &AdmissionContext<'_>, number: u64) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        for request_id in self.finish_read(number) {
            effects.extend(self.process_confirmed(context, request_id));
        }
        effects
    }

    /// Handles the failure of the confirming read with this number.
    pub fn confirming_read_failed(&mut self, context: &AdmissionContext<'_>, number: u64) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        for request_id in self.finish_read(number) {
            effects.extend(self.finish(context, request_id, Unavailable::StateServiceUnreachable.answer()));
        }
        effects
    }

    /// Handles a confirming read whose reply no longer fits the watch cache, which is being read
    /// as a whole: the requests that it serves wait for the next confirming read.
    pub fn confirming_read_superseded(&mut self, number: u64) {
        for request_id in self.finish_read(number) {
            self.await_confirming_read(request_id);
        }
    }

    /// Handles the failure of a full read of the watch cache, for which the next confirming read
    /// waits: answers the requests that wait for that one.
    pub fn full_read_failed(&mut self, context: &AdmissionContext<'_>) -> Vec<AdmissionEffect> {
        match self.confirming_reads.take_next() {
            Some(number) => self.confirming_read_failed(context, number),
            None => Vec::new(),
        }
    }

    /// Marks the read with this number as finished and returns the ids of the requests that it
    /// serves.
    fn finish_read(&mut self, number: u64) -> Vec<u64> {
        self.confirming_reads.in_flight = false;
        let served = self
            .pending
            .iter()
            .filter(|(_, request)| matches!(request.awaited, Awaited::ConfirmingRead(read) if read <= number));
        served.map(|(&request_id, _)| request_id).collect()
    }

    /// Continues a request whose confirming read has been applied to the watch cache. The cache
    /// is at least as recent as the request, so it may be used for the answer.
    fn process_confirmed(&mut self, context: &AdmissionContext<'_>, request_id: u64) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get(&request_id) else {
            return Vec::new();
        };
        if let Some(end) = self.known_end(context.watch_cache, &request.job_request.job_id) {
            return self.report_end(context, request_id, end);
        }
        let Some(request) = self.pending.get_mut(&request_id) else {
            return Vec::new();
        };
        let job_id = &request.job_request.job_id;
        let Some((job, version)) = context.watch_cache.jobs().get(job_id) else {
            let key = context.keys.end(job_id);
            request.awaited = Awaited::EndRead;
            return vec![AdmissionEffect::ReadEnd { request_id, key }];
        };
        if matches!(request.job_request.kind, JobRequestKind::Cancellation) {
            let write = cancellation_write(context, job, *version);
            return request.start_write(request_id, Box::new(write));
        }
        let answer = answers::unfinished(job_id, (context.counts)(job_id));
        self.finish(context, request_id, answer)
    }

    /// Answers a request about a job that has ended. A cancellation is answered only after the
    /// other controllers have confirmed the end.
    fn report_end(&mut self, context: &AdmissionContext<'_>, request_id: u64, end: EndValue) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get(&request_id) else {
            return Vec::new();
        };
        if matches!(request.job_request.kind, JobRequestKind::Cancellation) {
            return self.request_peer_confirmations(context, request_id, end);
        }
        let answer = answers::ended(&request.job_request.job_id, end);
        self.finish(context, request_id, answer)
    }

    /// Handles the reply to the read of a job's end key. The job key was found missing before
    /// the read, so a missing end key means that no such job had been accepted by then.
    pub fn on_end_read(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        reply: &StoreReply,
    ) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get(&request_id) else {
            return Vec::new();
        };
        let answer = match reply {
            StoreReply::Found { value, .. } => match serde_json::from_value::<EndValue>(value.clone()) {
                Ok(end) => {
                    self.end_cache.insert(&request.job_request.job_id, end);
                    return self.report_end(context, request_id, end);
                }
                Err(error) => {
                    tracing::error!(job = request.job_request.job_id, %error, "cannot parse the value of an end key");
                    Unavailable::EndUnreadable.answer()
                }
            },
            StoreReply::Missing => answer_without_end(context, &request.job_request),
            _ => Unavailable::StateServiceUnreachable.answer(),
        };
        self.finish(context, request_id, answer)
    }
}

/// Returns the answer when neither the job key nor the end key was found.
fn answer_without_end(context: &AdmissionContext<'_>, job_request: &JobRequest) -> Answer {
    if context.watch_cache.jobs().contains_key(&job_request.job_id) {
        // The job was accepted after its key was found missing, and its user may already know.
        return Unavailable::ChangedMeanwhile.answer();
    }
    match &job_request.kind {
        JobRequestKind::RefusedSubmission(refusal) => refusal.answer(),
        // The job key existed when the write conflicted and is missing now. The user is asked
        // to retry, which will show what happened to the job.
        JobRequestKind::Submission(_) => Unavailable::ChangedMeanwhile.answer(),
        JobRequestKind::Poll | JobRequestKind::Cancellation => answers::not_found(),
    }
}
