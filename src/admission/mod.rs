//! Admission of users' requests: submissions, polls and cancellations.
//!
//! An answer that could be stale is confirmed first: a *confirming read*, sent after the
//! request was received, brings the watch cache up to date. One read serves all requests
//! that are waiting when it is sent. Acceptances and cancellations are answered only
//! once their create-once write is known to have succeeded.
//!
//! A read can become stale before the answer is sent: its reply can take longer than a
//! cancellation that was requested later. Therefore every answer to a pending request is
//! checked against the end of the job that is known by then (`Admission::finish`). For this
//! check, ends that this controller did not learn from the watch cache are cached.
//!
//! Admission does no I/O. Each of its methods returns the [`AdmissionEffect`]s for the
//! controller to execute. Their replies are passed back with the id of the request.

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
use crate::settings::{Limits, StoreLimits};
use crate::store::{EndValue, Keys, WatchCache};
use crate::wire::{Condition, JobSpec};
use answers::Unavailable;
use confirmations::ConfirmingReads;
use end_cache::EndCache;
use job_request::{JobRequest, JobRequestKind};
use pending::{Awaited, PendingRequest};
use std::collections::BTreeMap;
use submissions::Decision;

/// The maximum number of pending requests. Further requests are rejected with a retry hint.
const MAX_PENDING: usize = 400;
/// How long to wait for another controller's answer before processing the request here.
/// Processing it here is equally safe: the write is create-once, and the leader learns of
/// it through its watch.
const FORWARD_TIMEOUT_MS: Millis = 100;

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
        if let Some(answer) = self.immediate_answer(context.watch_cache, &job_request) {
            return vec![AdmissionEffect::Answer(requester, answer)];
        }
        let mut request = PendingRequest::new(requester, job_request, context.now);
        let request_id = self.next_request_id;
        self.next_request_id += 1;
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
    fn immediate_answer(&self, watch_cache: &WatchCache, job_request: &JobRequest) -> Option<Answer> {
        if let Some(end) = self.reportable_end(watch_cache, job_request) {
            return Some(answers::ended(&job_request.job_id, end));
        }
        (self.pending.len() >= MAX_PENDING).then(|| Unavailable::TooManyRequests.answer())
    }

    /// Returns how the job ended, if this controller knows it and may report it in answer to this
    /// request at once. A cancellation is answered only with an end that the other controllers have
    /// confirmed.
    fn reportable_end(&self, watch_cache: &WatchCache, job_request: &JobRequest) -> Option<EndValue> {
        match job_request.kind {
            JobRequestKind::Cancellation => self.end_cache.get_confirmed(&job_request.job_id),
            _ => self.known_end(watch_cache, &job_request.job_id),
        }
    }

    /// Returns how a job ended, if this controller knows it.
    fn known_end(&self, watch_cache: &WatchCache, job_id: &str) -> Option<EndValue> {
        self.end_cache
            .get(job_id)
            .or_else(|| end_in_watch_cache(watch_cache, job_id))
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
                Decision::Accept(write) => return request.start_write(request_id, write),
                Decision::Postpone(reason) => return self.finish(context, request_id, reason.answer()),
                // The refusal is answered only after a read has confirmed that the job is unknown.
                Decision::Refuse(refusal) => job_request.kind = JobRequestKind::RefusedSubmission(refusal),
            }
        }
        self.await_confirming_read(request_id);
        Vec::new()
    }

    /// Handles another controller's answer. An answer with status 503 is final too, since that
    /// controller has better information than this one.
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
            Awaited::PeerConfirmations { .. } => return self.on_peer_confirmation(context, request_id, node),
            _ => return Vec::new(),
        }
        if let Some(end) = answers::end_in_answer(&answer) {
            let job_request = &request.job_request;
            match job_request.kind {
                // The other controller has answered only after it was confirmed.
                JobRequestKind::Cancellation => self.end_cache.insert_confirmed(&job_request.job_id, end),
                _ => self.end_cache.insert(&job_request.job_id, end),
            }
        }
        self.finish(context, request_id, answer)
    }

    /// Answers requests that have timed out, processes requests here whose forwarding has
    /// failed, and answers cancellations whose confirmation is complete.
    pub fn tick(&mut self, context: &AdmissionContext<'_>) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        let request_ids: Vec<u64> = self.pending.keys().copied().collect();
        for request_id in request_ids {
            let Some(request) = self.pending.get(&request_id) else {
                continue;
            };
            if request.is_timed_out(context.now) {
                effects.extend(self.finish(context, request_id, Unavailable::NoAnswerInTime.answer()));
            } else if request.has_forward_failed(context.now, context.peers) {
                effects.extend(self.process(context, request_id));
            } else {
                effects.extend(self.answer_if_confirmed(context, request_id));
            }
        }
        effects
    }

    /// Answers a pending request. If the job's end has become known in the meantime, it
    /// replaces the given answer: users of this controller may already have seen the end,
    /// and no older state may be reported after it. A cancellation that can't be answered with a
    /// confirmed end keeps its answer, after which its user repeats it.
    fn finish(&mut self, context: &AdmissionContext<'_>, request_id: u64, answer: Answer) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.remove(&request_id) else {
            return Vec::new();
        };
        let job_id = &request.job_request.job_id;
        let answer = match self.reportable_end(context.watch_cache, &request.job_request) {
            Some(end) => {
                let final_answer = answers::ended(job_id, end);
                if final_answer.body != answer.body {
                    tracing::debug!(job = job_id, "replaced a stale answer with the job's end");
                }
                final_answer
            }
            None => answer,
        };
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

/// Returns how a job ended, if its key still exists and is marked as ended.
fn end_in_watch_cache(watch_cache: &WatchCache, job_id: &str) -> Option<EndValue> {
    let (job, _) = watch_cache.jobs().get(job_id)?;
    Some(EndValue {
        state: job.ended?,
        done: job.spec.tasks,
    })
}
