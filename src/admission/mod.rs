//! Admission of users' requests: submissions, polls and cancellations.
//!
//! An answer that could be stale is confirmed first: a *confirming read*, sent after the
//! request was received, brings the watch cache up to date. One read serves all requests
//! that are waiting when it is sent. Acceptances and cancellations are answered only
//! once their create-once write is known to have succeeded.
//!
//! A read can become stale before the answer is sent: its reply can take longer than the end
//! of the job, which another controller then tells. An answer that a newer one can contradict is
//! therefore given only if it is recent (the module `evidence`) and no end is known, and an end
//! is told only when no other controller can still answer with an older state (the module
//! `end_confirmations`). The acceptance of a job is protected from the other side: the module
//! `denials` asks the other controllers before a job is called unknown.
//!
//! Admission does no I/O. Each of its methods returns the [`AdmissionEffect`]s for the
//! controller to execute. Their replies are passed back with the id of the request.

mod answers;
mod cancellations;
mod confirmations;
mod denials;
mod effects;
mod end_cache;
mod end_confirmations;
mod evidence;
mod job_deadlines;
mod job_request;
mod job_write;
mod pending;
mod refusal;
mod relays;
mod submissions;
mod validation;
mod writes;

pub use answers::{error_answer, service_unavailable};
pub use effects::{AdmissionEffect, Requester};
pub use refusal::{Feasibility, Refusal};

use crate::Millis;
use crate::peers::{Answer, PeerLinks, UserRequest};
use crate::pipeline::TaskCounts;
use crate::settings::{Limits, StoreLimits};
use crate::store::{EndValue, Keys, WatchCache};
use crate::wire::{Condition, JobSpec};
use answers::Unavailable;
use confirmations::ConfirmingReads;
use end_cache::EndCache;
use end_confirmations::DelayedConfirmation;
use evidence::FORWARD_TIMEOUT_MS;
use job_deadlines::JobDeadlines;
use job_request::{JobRequest, JobRequestKind};
use pending::{Awaited, PendingRequest};
use std::collections::BTreeMap;
use submissions::Decision;

/// The maximum number of pending requests. Further requests are rejected with a retry hint.
const MAX_PENDING: usize = 400;

/// The state outside of admission that answers depend on.
pub struct AdmissionContext<'a> {
    /// Milliseconds on the monotonic clock.
    pub now: Millis,
    /// Milliseconds on the wall clock; stored as the time of acceptance of a job.
    pub wall_clock: Millis,
    /// Names of the shard's keys in the state service.
    pub keys: &'a Keys,
    /// This controller's copy of the watched keys.
    pub watch_cache: &'a WatchCache,
    /// Limits of this controller, including the memory limit that bounds unfinished work.
    pub limits: &'a Limits,
    /// Limits of the state service, which bound the size of a job's description.
    pub store_limits: &'a StoreLimits,
    /// Since when this controller has been a member without interruption, or `None` if it may not be
    /// one.
    pub member_since: Option<Millis>,
    /// The condition that the leader's claim still holds, while this controller is the acting leader.
    pub claim: Option<Condition>,
    /// Determines whether a well-formed job can ever run.
    pub feasibility: &'a dyn Fn(&JobSpec) -> Feasibility,
    /// The other controllers and their reachability.
    pub peers: &'a PeerLinks,
    /// Returns the task counts of an unfinished job, if this controller knows them.
    pub counts: &'a dyn Fn(&str) -> Option<TaskCounts>,
}

/// The pending user requests of this controller.
#[derive(Debug, Default)]
pub struct Admission {
    pending: BTreeMap<u64, PendingRequest>,
    next_request_id: u64,
    confirming_reads: ConfirmingReads,
    end_cache: EndCache,
    /// Until when unfinished states of jobs that were given to other controllers may be passed on.
    relayed_answers: JobDeadlines,
    /// Until when this controller calls these jobs neither accepted nor ended.
    denial_promises: JobDeadlines,
    delayed_confirmations: Vec<DelayedConfirmation>,
}

impl Admission {
    /// Handles a new request. `forward_to` names the controller that should answer it, or is
    /// `None` if this controller should.
    pub fn handle(
        &mut self,
        context: &AdmissionContext<'_>,
        requester: Requester,
        user_request: UserRequest,
        forward_to: Option<String>,
    ) -> Vec<AdmissionEffect> {
        let job_request = match JobRequest::parse(&user_request) {
            Ok(job_request) => job_request,
            Err(answer) => return vec![AdmissionEffect::Answer(requester, answer)],
        };
        let is_end_known = self.learn_end(context, &job_request.job_id);
        if let Some(answer) = self.immediate_answer(context, &job_request.job_id) {
            return vec![AdmissionEffect::Answer(requester, answer)];
        }
        // A cancellation is processed like any other one, so that its user is asked to repeat it if the
        // state service can't be read.
        let is_cancellation = matches!(job_request.kind, JobRequestKind::Cancellation);
        let mut request = PendingRequest::new(requester, job_request, context.now);
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        if is_end_known && !is_cancellation {
            self.pending.insert(request_id, request);
            return self.report_end(context, request_id);
        }
        let Some(node) = forward_to else {
            self.pending.insert(request_id, request);
            return self.process(context, request_id);
        };
        request.awaited = Awaited::PeerAnswer {
            node: node.clone(),
            deadline: context.now + FORWARD_TIMEOUT_MS,
        };
        self.pending.insert(request_id, request);
        vec![AdmissionEffect::Forward {
            request_id,
            node,
            user_request,
        }]
    }

    /// Returns the answer if it can be given without waiting: the job's end, which is final,
    /// or the rejection because of too many pending requests.
    fn immediate_answer(&mut self, context: &AdmissionContext<'_>, job_id: &str) -> Option<Answer> {
        if let Some(answer) = self.confirmed_end_answer(context, job_id) {
            return Some(answer);
        }
        (self.pending.len() >= MAX_PENDING).then(|| Unavailable::TooManyRequests.answer())
    }

    /// Returns the answer with the job's end, if it is known and may be told.
    fn confirmed_end_answer(&mut self, context: &AdmissionContext<'_>, job_id: &str) -> Option<Answer> {
        let known = self.end_cache.get(job_id)?;
        self.may_tell_end(context, job_id)
            .then(|| answers::ended(job_id, known.end))
    }

    /// Returns whether this controller knows how a job ended, from the watch cache or otherwise.
    pub fn learn_end(&mut self, context: &AdmissionContext<'_>, job_id: &str) -> bool {
        if self.end_cache.get(job_id).is_some() {
            return true;
        }
        let Some((end, version)) = end_in_watch_cache(context.watch_cache, job_id) else {
            return false;
        };
        self.note_end(context.now, job_id, end, version);
        true
    }

    /// Starts or restarts the processing of a request that this controller answers.
    fn process(&mut self, context: &AdmissionContext<'_>, request_id: u64) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get_mut(&request_id) else {
            return Vec::new();
        };
        let job_request = &mut request.job_request;
        let known = context.watch_cache.jobs().contains_key(&job_request.job_id);
        if let JobRequestKind::Submission(spec) = &job_request.kind
            && !known
        {
            match submissions::decide(context, spec) {
                Decision::Accept(write) => return request.start_write(context.now, request_id, write),
                Decision::Postpone(reason) => return self.finish(context, request_id, reason.answer()),
                // The refusal is answered only after a read has confirmed that the job is unknown.
                Decision::Refuse(refusal) => job_request.kind = JobRequestKind::RefusedSubmission(refusal),
            }
        }
        self.await_confirming_read(request_id);
        Vec::new()
    }

    /// Answers requests that have timed out, processes requests here whose forwarding has
    /// failed, and continues requests whose wait for other controllers is over.
    pub fn tick(&mut self, context: &AdmissionContext<'_>) -> Vec<AdmissionEffect> {
        self.relayed_answers.prune(context.now);
        self.denial_promises.prune(context.now);
        let mut effects = self.send_delayed_confirmations(context.now);
        let request_ids: Vec<u64> = self.pending.keys().copied().collect();
        for request_id in request_ids {
            effects.extend(self.tick_request(context, request_id));
        }
        effects
    }

    fn tick_request(&mut self, context: &AdmissionContext<'_>, request_id: u64) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get(&request_id) else {
            return Vec::new();
        };
        if request.is_timed_out(context.now) {
            return self.finish(context, request_id, Unavailable::NoAnswerInTime.answer());
        }
        if request.has_forward_failed(context.now, context.peers) {
            return self.process(context, request_id);
        }
        let job_id = request.job_request.job_id.clone();
        match &request.awaited {
            Awaited::EndConfirmation => self.answer_end_if_confirmed(context, request_id, &job_id),
            Awaited::DenialConfirmation { deadline, .. } if context.now >= *deadline => {
                self.finish(context, request_id, Unavailable::ChangedMeanwhile.answer())
            }
            Awaited::DenialPromise if !self.denial_promises.holds(context.now, &job_id) => {
                self.await_confirming_read(request_id);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn answer_end_if_confirmed(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        job_id: &str,
    ) -> Vec<AdmissionEffect> {
        if self.may_tell_end(context, job_id) {
            self.answer_end(request_id, job_id)
        } else {
            Vec::new()
        }
    }

    /// Answers a pending request. If the job's end has become known in the meantime and may be told,
    /// it replaces the given answer.
    fn finish(&mut self, context: &AdmissionContext<'_>, request_id: u64, answer: Answer) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.remove(&request_id) else {
            return Vec::new();
        };
        let answer = self
            .confirmed_end_answer(context, &request.job_request.job_id)
            .unwrap_or(answer);
        vec![AdmissionEffect::Answer(request.requester, answer)]
    }

    /// Returns the number of pending requests.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Returns how a job ended and the version of its key, if the key still exists and is marked as
/// ended.
fn end_in_watch_cache(watch_cache: &WatchCache, job_id: &str) -> Option<(EndValue, u64)> {
    let (job, version) = watch_cache.jobs().get(job_id)?;
    let end = EndValue {
        state: job.ended?,
        done: job.spec.tasks,
    };
    Some((end, *version))
}
