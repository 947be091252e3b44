//! Reads after the request: what is known here is brought up to date before it is told.

use super::answers::{self, Unavailable};
use super::cancellations::cancellation;
use super::pending::Awaited;
use super::{Admission, AdmissionContext, AdmissionEffect, Question, QuestionKind};
use crate::peers::Answer;
use crate::store::{EndValue, StoreReply};

/// The reads that bring the watch cache up to date, numbered in the order they are
/// sent. Only one is in flight at a time; it serves all requests that came before it.
#[derive(Debug, Default)]
pub(super) struct ConfirmingReads {
    /// Number of the last read sent.
    last_sent: u64,
    /// Whether that read is still in flight.
    in_flight: bool,
    /// Whether a request waits for the next one.
    wanted: bool,
}

impl ConfirmingReads {
    /// Asks for a read to be sent from now on, and gives its number.
    fn request_next(&mut self) -> u64 {
        self.wanted = true;
        self.last_sent + 1
    }

    fn take_next(&mut self) -> Option<u64> {
        if !self.wanted || self.in_flight {
            return None;
        }
        self.wanted = false;
        self.in_flight = true;
        self.last_sent += 1;
        Some(self.last_sent)
    }
}

impl Admission {
    /// Number of the confirming read to send now, if any; it then counts as sent.
    pub fn take_confirming_read(&mut self) -> Option<u64> {
        self.confirming_reads.take_next()
    }

    /// Lets a request wait for a confirming read that is sent from now on.
    pub(super) fn await_confirming_read(&mut self, request_id: u64) {
        if let Some(request) = self.pending.get_mut(&request_id) {
            request.awaited = Awaited::ConfirmingRead(self.confirming_reads.request_next());
        }
    }

    /// The confirming read with this number came back, and the watch cache took it in.
    pub fn confirming_read_done(&mut self, context: &AdmissionContext<'_>, number: u64) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        for request_id in self.served_by(number) {
            effects.extend(self.confirmed(context, request_id));
        }
        effects
    }

    /// The confirming read with this number failed.
    pub fn confirming_read_failed(&mut self, context: &AdmissionContext<'_>, number: u64) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        for request_id in self.served_by(number) {
            effects.extend(self.finish(context, request_id, Unavailable::StateServiceUnreachable.answer()));
        }
        effects
    }

    /// The requests that the read with this number serves, now that it came back.
    fn served_by(&mut self, number: u64) -> Vec<u64> {
        self.confirming_reads.in_flight = false;
        let served = self
            .pending
            .iter()
            .filter(|(_, request)| matches!(request.awaited, Awaited::ConfirmingRead(read) if read <= number));
        served.map(|(&request_id, _)| request_id).collect()
    }

    /// The watch cache is newer than the request: what it shows may be told.
    fn confirmed(&mut self, context: &AdmissionContext<'_>, request_id: u64) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get(&request_id) else {
            return Vec::new();
        };
        if let Some(end) = self.known_end(context.watch_cache, &request.question.job_id) {
            return self.tell_end(context, request_id, end);
        }
        let Some(request) = self.pending.get_mut(&request_id) else {
            return Vec::new();
        };
        let job_id = &request.question.job_id;
        let Some((job, version)) = context.watch_cache.jobs().get(job_id) else {
            let key = context.keys.end(job_id);
            request.awaited = Awaited::EndRead;
            return vec![AdmissionEffect::ReadEnd { request_id, key }];
        };
        if matches!(request.question.kind, QuestionKind::Cancellation) {
            let write = cancellation(context, job, *version);
            return request.start_write(request_id, Box::new(write));
        }
        let answer = answers::unfinished(job_id, (context.counts)(job_id));
        self.finish(context, request_id, answer)
    }

    /// The job is known to have ended: its user is told, or soon will be.
    fn tell_end(&mut self, context: &AdmissionContext<'_>, request_id: u64, end: EndValue) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get(&request_id) else {
            return Vec::new();
        };
        if matches!(request.question.kind, QuestionKind::Cancellation) {
            return self.confirm_at_peers(context, request_id, end);
        }
        let answer = answers::ended(&request.question.job_id, end);
        self.finish(context, request_id, answer)
    }

    /// The read of a job's end came back. The job key was seen missing before,
    /// so a missing end now means that no such job was ever accepted.
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
                    self.remembered_ends.remember(&request.question.job_id, end);
                    return self.tell_end(context, request_id, end);
                }
                Err(error) => {
                    tracing::error!(job = request.question.job_id, %error, "an end key can't be read");
                    Unavailable::EndUnreadable.answer()
                }
            },
            StoreReply::Missing => answer_without_end(context, &request.question),
            _ => Unavailable::StateServiceUnreachable.answer(),
        };
        self.finish(context, request_id, answer)
    }
}

/// Neither the job nor its end was found.
fn answer_without_end(context: &AdmissionContext<'_>, question: &Question) -> Answer {
    if context.watch_cache.jobs().contains_key(&question.job_id) {
        // Accepted since it was looked for: its users may have been told so.
        return Unavailable::ChangedMeanwhile.answer();
    }
    match &question.kind {
        QuestionKind::RefusedSubmission(refusal) => refusal.answer(),
        // It was there when the write was refused and is not now:
        // the user's next try will tell.
        QuestionKind::Submission(_) => Unavailable::ChangedMeanwhile.answer(),
        QuestionKind::Poll | QuestionKind::Cancellation => answers::not_found(),
    }
}
