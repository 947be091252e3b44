//! Admission of users' requests: submissions, polls and cancellations.
//!
//! Every answer that could be out of date is confirmed first: the watch cache is
//! brought up to date by a read sent after the request came (one read serves
//! all requests then waiting). Acceptances and cancellations are answered only
//! once their create-once write is known to have succeeded.
//!
//! What was read may be overtaken before it is told: a reply can take longer than a
//! cancellation that was asked for later. So every answer to a pending request is checked
//! against what is known by then of the job's end ([`Admission::finish`]), and an end that
//! this controller has told is remembered.
//!
//! Admission does no I/O. Each of its methods returns the [`AdmissionEffect`]s that the
//! controller is to carry out, whose replies come back under the request's id.

mod answers;
mod cancellations;
mod confirmations;
mod effects;
mod end_cache;
mod job_request;
mod peer_confirmations;
mod pending;
mod refusal;
mod submissions;
mod validation;
mod writes;

pub use answers::{error_answer, service_unavailable};
pub use effects::{AdmissionEffect, Requester};
pub use refusal::{Feasibility, Refusal};

use crate::Millis;
use crate::peers::{Answer, PeerLinks, UserRequest};
use crate::pipeline::TaskCounts;
use crate::settings::Limits;
use crate::store::{EndValue, Keys, WatchCache};
use crate::wire::{Condition, JobSpec};
use answers::Unavailable;
use confirmations::ConfirmingReads;
use end_cache::RememberedEnds;
use job_request::{Question, QuestionKind};
use pending::{Awaited, PendingRequest};
use std::collections::BTreeMap;
use submissions::Decision;

/// Requests pending at once; further ones are turned away.
const MAX_PENDING: usize = 400;
/// How long to wait for another controller's answer. Writing it ourselves is as safe
/// as waiting: the write is create-once, and the leader hears of it by its watch.
const FORWARD_PATIENCE_MS: Millis = 100;

/// What an answer depends on beyond admission's own state.
pub struct AdmissionContext<'a> {
    /// Time on the monotonic clock.
    pub now: Millis,
    /// Time of day, with which an accepted job is stored.
    pub wall_clock: Millis,
    /// Names of the keys in the state service.
    pub keys: &'a Keys,
    /// The watched keys, as far as they are known here.
    pub watch_cache: &'a WatchCache,
    /// Limits of this controller, one of which bounds the unfinished work.
    pub limits: &'a Limits,
    /// The leader's claim, while this controller is the acting leader.
    pub claim: Option<Condition>,
    /// Whether a well-formed job can ever run.
    pub feasibility: &'a dyn Fn(&JobSpec) -> Feasibility,
    /// The other controllers, and which of them are in reach.
    pub peers: &'a PeerLinks,
    /// Task counts of an unfinished job, if they are known here.
    pub counts: &'a dyn Fn(&str) -> Option<TaskCounts>,
}

/// The requests that users wait for at this controller.
#[derive(Debug, Default)]
pub struct Admission {
    pending: BTreeMap<u64, PendingRequest>,
    next_request_id: u64,
    confirming_reads: ConfirmingReads,
    remembered_ends: RememberedEnds,
}

impl Admission {
    /// Takes a request. `forward_to` is the controller that should answer it, if it is
    /// not this one.
    pub fn handle(
        &mut self,
        context: &AdmissionContext<'_>,
        requester: Requester,
        user_request: UserRequest,
        forward_to: Option<String>,
    ) -> Vec<AdmissionEffect> {
        let question = match Question::read(&user_request) {
            Ok(question) => question,
            Err(answer) => return vec![AdmissionEffect::Answer(requester, answer)],
        };
        if let Some(answer) = self.immediate_answer(context.watch_cache, &question) {
            return vec![AdmissionEffect::Answer(requester, answer)];
        }
        let mut request = PendingRequest::new(requester, question, context.now);
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        let Some(node) = forward_to else {
            self.pending.insert(request_id, request);
            return self.begin(context, request_id);
        };
        request.awaited = Awaited::PeerAnswer {
            node: node.clone(),
            give_up_at: context.now + FORWARD_PATIENCE_MS,
        };
        self.pending.insert(request_id, request);
        vec![AdmissionEffect::Forward {
            request_id,
            node,
            user_request,
        }]
    }

    /// The answer that can be given without waiting: the job's end, which can't change
    /// any more, or that there are too many requests. A cancellation that was not told
    /// here has to be confirmed at the other controllers.
    fn immediate_answer(&self, watch_cache: &WatchCache, question: &Question) -> Option<Answer> {
        let job_id = &question.job_id;
        let end = match question.kind {
            QuestionKind::Cancellation => self.remembered_ends.get(job_id),
            _ => self.known_end(watch_cache, job_id),
        };
        if let Some(end) = end {
            return Some(answers::ended(job_id, end));
        }
        (self.pending.len() >= MAX_PENDING).then(|| Unavailable::TooManyRequests.answer())
    }

    /// How a job ended, if that is known here.
    fn known_end(&self, watch_cache: &WatchCache, job_id: &str) -> Option<EndValue> {
        self.remembered_ends
            .get(job_id)
            .or_else(|| watched_end(watch_cache, job_id))
    }

    /// Starts, or starts again, on a request that is ours to answer.
    fn begin(&mut self, context: &AdmissionContext<'_>, request_id: u64) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get_mut(&request_id) else {
            return Vec::new();
        };
        let question = &mut request.question;
        let known = context.watch_cache.jobs().contains_key(&question.job_id);
        if let QuestionKind::Submission(spec) = &question.kind
            && !known
        {
            match submissions::decide(context, spec) {
                Decision::Accept(write) => return request.start_write(request_id, write),
                Decision::Postpone(reason) => return self.finish(context, request_id, reason.answer()),
                // Told to the user only once it is confirmed that the job is not known.
                Decision::Refuse(refusal) => question.kind = QuestionKind::RefusedSubmission(refusal),
            }
        }
        self.await_confirming_read(request_id);
        Vec::new()
    }

    /// Another controller answered. Its "can't take it" is final too: it said
    /// so knowing more than we do.
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
        match request.awaited {
            Awaited::PeerAnswer { .. } => {}
            Awaited::PeerConfirmations { .. } => return self.confirmed_by_peer(context, request_id, node),
            _ => return Vec::new(),
        }
        if let Some(end) = answers::end_told(&answer) {
            self.remembered_ends.remember(&request.question.job_id, end);
        }
        self.finish(context, request_id, answer)
    }

    /// Gives up what waited too long; takes back what was forwarded in vain.
    pub fn tick(&mut self, context: &AdmissionContext<'_>) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        let request_ids: Vec<u64> = self.pending.keys().copied().collect();
        for request_id in request_ids {
            let Some(request) = self.pending.get(&request_id) else {
                continue;
            };
            if request.is_out_of_time(context.now) {
                effects.extend(self.finish(context, request_id, Unavailable::NoAnswerInTime.answer()));
            } else if request.is_forwarded_in_vain(context.now, context.peers) {
                effects.extend(self.begin(context, request_id));
            } else {
                effects.extend(self.answer_if_confirmed(context, request_id));
            }
        }
        effects
    }

    /// Answers a pending request. An end that became known while the answer was worked
    /// out is told in its place: users of this controller may have heard of it already,
    /// and nothing older may follow.
    fn finish(&mut self, context: &AdmissionContext<'_>, request_id: u64, answer: Answer) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.remove(&request_id) else {
            return Vec::new();
        };
        let job_id = &request.question.job_id;
        let answer = match self.known_end(context.watch_cache, job_id) {
            Some(end) => {
                let newest = answers::ended(job_id, end);
                if newest.body != answer.body {
                    tracing::debug!(job = job_id, "the job's end overtook an older answer");
                }
                newest
            }
            None => answer,
        };
        vec![AdmissionEffect::Answer(request.requester, answer)]
    }

    /// Number of pending requests.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// How a job ended, if its watched key still says so.
fn watched_end(watch_cache: &WatchCache, job_id: &str) -> Option<EndValue> {
    let (job, _) = watch_cache.jobs().get(job_id)?;
    Some(EndValue {
        state: job.ended?,
        done: job.spec.tasks,
    })
}
