//! Answers of other controllers to requests that were forwarded to them.

use super::answers::{self, Unavailable};
use super::pending::Awaited;
use super::{Admission, AdmissionContext, AdmissionEffect, JobRequestKind};
use crate::peers::Answer;

impl Admission {
    /// Handles another controller's answer. An answer with status 503 is final too, since that
    /// controller has better information than this one. Answers that a newer one can contradict are
    /// not passed on late.
    pub fn on_peer_answer(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        node: &str,
        answer: Answer,
    ) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get(&request_id) else {
            return Vec::new();
        };
        let job_id = request.job_request.job_id.clone();
        let end = answers::end_in_answer(&answer);
        match (&request.awaited, end) {
            (Awaited::PeerAnswer { .. }, Some(end)) => {
                // A member, and a controller of an older version in the case of a cancellation, answers
                // only after the end was confirmed.
                let is_cancellation = matches!(request.job_request.kind, JobRequestKind::Cancellation);
                let is_confirmed = is_cancellation || context.watch_cache.was_member(node);
                self.note_end(context.now, &job_id, end, context.watch_cache.revision());
                if is_confirmed {
                    self.end_cache.confirm_completely(&job_id);
                }
                self.report_end(context, request_id)
            }
            (Awaited::PeerAnswer { .. }, None) => self.pass_on(context, request_id, &job_id, answer),
            // The reply of an older version to the question for a confirmation.
            (Awaited::EndConfirmation, Some(_)) => self.on_end_confirmed(context, node, &job_id),
            _ => Vec::new(),
        }
    }

    /// Passes on another controller's answer that does not contain an end.
    fn pass_on(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        job_id: &str,
        answer: Answer,
    ) -> Vec<AdmissionEffect> {
        if answers::is_neutral(&answer) {
            return self.finish(context, request_id, answer);
        }
        if self.learn_end(context, job_id) {
            return self.report_end(context, request_id);
        }
        let request = self.pending.get(&request_id);
        if request.is_some_and(|request| request.is_relay_outdated(context.now)) {
            return self.process(context, request_id);
        }
        if answers::is_denial(&answer) && context.watch_cache.jobs().contains_key(job_id) {
            return self.finish(context, request_id, Unavailable::ChangedMeanwhile.answer());
        }
        self.finish(context, request_id, answer)
    }
}
