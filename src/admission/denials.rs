//! Answers that no such job was accepted: "not found" and refusals.
//!
//! They contradict the acceptance of the job, which another controller may have told since the state
//! was read here. They are rare, and acceptances are frequent, so the denial waits and not the
//! acceptance: every other member is asked whether the job is unknown. One that confirms it does not
//! call the job accepted until the denial can no longer reach its user. Without all confirmations the
//! user is asked to retry.

use super::answers::Unavailable;
use super::evidence::{DENIAL_LIFETIME_MS, DENIAL_PROMISE_MS, Evidence, RELAY_LIFETIME_MS};
use super::pending::Awaited;
use super::{Admission, AdmissionContext, AdmissionEffect, JobRequestKind};
use crate::Millis;
use crate::peers::Answer;
use std::collections::BTreeSet;

impl Admission {
    /// Answers a request with a denial that is based on a read sent at `read_sent_at`, once the other
    /// members have confirmed it.
    pub(super) fn finish_denial(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        read_sent_at: Millis,
        answer: Answer,
    ) -> Vec<AdmissionEffect> {
        match Evidence::of(context, read_sent_at) {
            Evidence::Usable => {}
            Evidence::Outdated => {
                self.await_confirming_read(request_id);
                return Vec::new();
            }
            Evidence::NotMember => return self.finish(context, request_id, Unavailable::NotMember.answer()),
        }
        if !context.watch_cache.is_complete() {
            self.await_confirming_read(request_id);
            return Vec::new();
        }
        let Some(request) = self.pending.get_mut(&request_id) else {
            return Vec::new();
        };
        let members = context.peers.names().into_iter();
        let members: BTreeSet<String> = members
            .filter(|node| context.watch_cache.member_version(node).is_some())
            .collect();
        if members.is_empty() {
            return self.deny(context, request_id, answer);
        }
        let job_id = &request.job_request.job_id;
        let ask = |node: &String| AdmissionEffect::ConfirmUnknown {
            request_id,
            node: node.clone(),
            job_id: job_id.clone(),
        };
        let effects = members.iter().map(ask).collect();
        request.awaited = Awaited::DenialConfirmation {
            answer,
            unconfirmed: members,
            deadline: context.now + DENIAL_LIFETIME_MS,
        };
        effects
    }

    /// Handles another member's reply to the question whether a job is unknown.
    pub fn on_unknown_confirmed(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        node: &str,
        is_unknown: bool,
    ) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get_mut(&request_id) else {
            return Vec::new();
        };
        let Awaited::DenialConfirmation {
            answer,
            unconfirmed,
            deadline,
        } = &mut request.awaited
        else {
            return Vec::new();
        };
        unconfirmed.remove(node);
        let is_in_time = context.now < *deadline;
        if !is_unknown || !is_in_time || context.watch_cache.jobs().contains_key(&request.job_request.job_id) {
            return self.finish(context, request_id, Unavailable::ChangedMeanwhile.answer());
        }
        if !unconfirmed.is_empty() {
            return Vec::new();
        }
        let answer = answer.clone();
        self.deny(context, request_id, answer)
    }

    /// Gives a denial that the other members have confirmed. While another controller may still pass it
    /// on, this one doesn't call the job accepted either.
    fn deny(&mut self, context: &AdmissionContext<'_>, request_id: u64, answer: Answer) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get(&request_id) else {
            return Vec::new();
        };
        let is_for_peer = request.is_for_peer();
        let job_id = request.job_request.job_id.clone();
        if self.learn_end(context, &job_id) {
            return self.report_end(context, request_id);
        }
        if is_for_peer && !self.denial_promises.extend(&job_id, context.now + RELAY_LIFETIME_MS) {
            return self.finish(context, request_id, Unavailable::TooManyRequests.answer());
        }
        self.finish(context, request_id, answer)
    }

    /// Returns whether this controller confirms to another member that a job is unknown. If so, it
    /// calls the job neither accepted nor ended for a while.
    pub fn confirm_unknown(&mut self, context: &AdmissionContext<'_>, job_id: &str) -> bool {
        let is_being_submitted = self.pending.values().any(|request| {
            request.job_request.job_id == job_id && matches!(request.job_request.kind, JobRequestKind::Submission(_))
        });
        let is_known = is_being_submitted
            || context.watch_cache.jobs().contains_key(job_id)
            || self.end_cache.get(job_id).is_some();
        let is_up_to_date = context.member_since.is_some() && context.watch_cache.is_complete();
        !is_known && is_up_to_date && self.denial_promises.extend(job_id, context.now + DENIAL_PROMISE_MS)
    }
}
