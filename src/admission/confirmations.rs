//! Confirming reads: the watch cache is brought up to date before it is used for an answer.

use super::answers::{self, Unavailable};
use super::cancellations::cancellation_write;
use super::evidence::{Evidence, RELAY_LIFETIME_MS};
use super::pending::Awaited;
use super::{Admission, AdmissionContext, AdmissionEffect, JobRequest, JobRequestKind};
use crate::Millis;
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

    /// Handles the success of the confirming read with this number, sent at `sent_at`, after it has
    /// been applied to the watch cache.
    pub fn confirming_read_done(
        &mut self,
        context: &AdmissionContext<'_>,
        number: u64,
        sent_at: Millis,
    ) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        for request_id in self.finish_read(number) {
            effects.extend(self.process_confirmed(context, request_id, sent_at));
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

    /// Continues a request whose confirming read, sent at `read_sent_at`, has been applied to the
    /// watch cache. The cache is at least as recent as the request, so it may be used for the answer.
    fn process_confirmed(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        read_sent_at: Millis,
    ) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get(&request_id) else {
            return Vec::new();
        };
        let job_id = request.job_request.job_id.clone();
        if self.learn_end(context, &job_id) {
            return self.report_end(context, request_id);
        }
        let Some(request) = self.pending.get_mut(&request_id) else {
            return Vec::new();
        };
        let Some((job, version)) = context.watch_cache.jobs().get(&job_id) else {
            let key = context.keys.end(&job_id);
            request.awaited = Awaited::EndRead { read_sent_at };
            return vec![AdmissionEffect::ReadEnd { request_id, key }];
        };
        if matches!(request.job_request.kind, JobRequestKind::Cancellation) {
            let write = cancellation_write(context, job, *version);
            return request.start_write(context.now, request_id, Box::new(write));
        }
        let answer = answers::unfinished(&job_id, (context.counts)(&job_id));
        self.finish_unfinished(context, request_id, read_sent_at, answer)
    }

    /// Answers a request with an unfinished state of its job that is based on a read or write sent at
    /// `sent_at`. If that may be older than what another controller tells, the state is read again.
    pub(super) fn finish_unfinished(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        sent_at: Millis,
        answer: Answer,
    ) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get_mut(&request_id) else {
            return Vec::new();
        };
        let job_id = request.job_request.job_id.clone();
        if self.denial_promises.holds(context.now, &job_id) {
            request.awaited = Awaited::DenialPromise;
            return Vec::new();
        }
        let is_for_peer = request.is_for_peer();
        if self.learn_end(context, &job_id) {
            tracing::debug!(job = job_id, "replaced a stale answer with the job's end");
            return self.report_end(context, request_id);
        }
        match Evidence::of(context, sent_at) {
            Evidence::Usable => {}
            Evidence::Outdated => {
                self.await_confirming_read(request_id);
                return Vec::new();
            }
            Evidence::NotMember => return self.finish(context, request_id, Unavailable::NotMember.answer()),
        }
        if is_for_peer && !self.relayed_answers.extend(&job_id, context.now + RELAY_LIFETIME_MS) {
            return self.finish(context, request_id, Unavailable::TooManyRequests.answer());
        }
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
        let Awaited::EndRead { read_sent_at } = request.awaited else {
            return Vec::new();
        };
        let answer = match reply {
            StoreReply::Found { value, version } => match serde_json::from_value::<EndValue>(value.clone()) {
                Ok(end) => {
                    let job_id = request.job_request.job_id.clone();
                    self.note_end(context.now, &job_id, end, *version);
                    return self.report_end(context, request_id);
                }
                Err(error) => {
                    tracing::error!(job = request.job_request.job_id, %error, "cannot parse the value of an end key");
                    Unavailable::EndUnreadable.answer()
                }
            },
            StoreReply::Missing => {
                let answer = answer_without_end(context, &request.job_request);
                if answers::is_denial(&answer) {
                    return self.finish_denial(context, request_id, read_sent_at, answer);
                }
                answer
            }
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
