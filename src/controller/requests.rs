//! User requests and health checks: handled here or forwarded to another controller.

use super::{Controller, Output, Purpose, SHARD};
use crate::admission::{Admission, AdmissionContext, AdmissionEffect, Feasibility, Requester};
use crate::peers::{Answer, Message, UserRequest};
use crate::store::{JobKey, StoreRequest};
use crate::wire::JobSpec;

impl Controller {
    /// Calls `act` with the admission module and the context that its decisions depend on.
    pub(super) fn with_admission<T>(&mut self, act: impl FnOnce(&mut Admission, &AdmissionContext<'_>) -> T) -> T {
        let claim = self
            .election
            .is_acting_leader(self.now)
            .then(|| self.election.claim_condition(&self.keys));
        let (catalogue, teams) = (&self.catalogue, &self.settings.params.teams);
        let feasibility = |spec: &JobSpec| Feasibility::of(spec, teams, catalogue.as_ref());
        let (shard, peers) = (&self.shard, &self.peers);
        let counts = |id: &str| match shard {
            Some(shard) => shard.task_counts(id),
            None => peers.task_counts(id),
        };
        let context = AdmissionContext {
            now: self.now,
            wall_clock: self.wall_clock,
            keys: &self.keys,
            limits: &self.settings.params.limits,
            store_limits: &self.settings.params.state,
            watch_cache: &self.watch_cache,
            member_since: self.member_since(),
            claim,
            feasibility: &feasibility,
            peers: &self.peers,
            counts: &counts,
        };
        act(&mut self.admission, &context)
    }

    /// Carries out what admission decided.
    pub(super) fn apply_effects(&mut self, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            match effect {
                AdmissionEffect::Answer(requester, answer) => self.answer_requester(requester, answer),
                AdmissionEffect::ReadEnd { request_id, key } => {
                    self.enqueue(Purpose::ReadJobEnd(request_id), StoreRequest::Get(key))
                }
                AdmissionEffect::Write {
                    request_id,
                    transaction,
                } => {
                    self.enqueue(Purpose::UserWrite(request_id), StoreRequest::Transact(transaction));
                }
                AdmissionEffect::Forward {
                    request_id,
                    node,
                    user_request,
                } => self.forward(request_id, node, user_request),
                AdmissionEffect::ConfirmEnd {
                    node,
                    job_id,
                    end,
                    revision,
                } => self.announce_end(node, job_id, end, revision),
                AdmissionEffect::EndConfirmed { node, job_id } => self.confirm_end(node, job_id),
                AdmissionEffect::ConfirmUnknown {
                    request_id,
                    node,
                    job_id,
                } => self.ask_whether_unknown(request_id, node, job_id),
                AdmissionEffect::RecordJob { id, job, revision } => self.record_written(&id, job, revision),
            }
        }
    }

    fn answer_requester(&mut self, requester: Requester, answer: Answer) {
        if matches!(requester, Requester::User(_)) {
            self.activity.user_answered(answer.status);
        }
        self.outputs.push(match requester {
            Requester::User(request) => Output::Answer { request, answer },
            Requester::Peer { node, id } => Output::Peer {
                node,
                message: Message::ForwardReply { id, answer },
            },
        });
    }

    /// Forwards a user's request to the controller `node`.
    fn forward(&mut self, admission_request_id: u64, node: String, user_request: UserRequest) {
        let id = self.peer_request_ids.next();
        self.forwarded_requests.add(id, admission_request_id);
        let message = Message::ForwardRequest {
            shard: SHARD.into(),
            id,
            user_request,
        };
        self.outputs.push(Output::Peer { node, message });
    }

    /// Records a job key that this controller wrote, unless the watch cache is already newer: the
    /// watch may have shown this or even a later change of the job first.
    fn record_written(&mut self, id: &str, key: JobKey, revision: u64) {
        if revision > self.watch_cache.revision() {
            self.watch_cache.record_job(id, key, revision);
            self.job_changed(id);
        }
    }

    /// Handles a request that a user sent to this controller.
    pub(super) fn on_user_request(&mut self, request: u64, user_request: UserRequest) {
        let forward = self.forward_target(&user_request);
        let requester = Requester::User(request);
        let effects =
            self.with_admission(|admission, context| admission.handle(context, requester, user_request, forward));
        self.apply_effects(effects);
    }

    /// Lets admission handle the timeouts of its pending requests.
    pub(super) fn tick_admission(&mut self) {
        let effects = self.with_admission(|admission, context| admission.tick(context));
        self.apply_effects(effects);
    }

    /// Selects the controller to forward a request to; `None` if it is handled here.
    ///
    /// Submissions and cancellations go to the leader. Other requests are forwarded only while
    /// this controller cannot reach the state service.
    fn forward_target(&self, user_request: &UserRequest) -> Option<String> {
        if self.leads() {
            return None;
        }
        let leader = self.peers.leader(self.now);
        let to = match user_request {
            UserRequest::Submit(_) | UserRequest::Cancel(_) if leader.is_some() => leader,
            _ if self.store_client.is_reachable(self.now) => None,
            _ => leader.or(self.peers.first_with_store_access(self.now)),
        };
        to.map(str::to_owned)
    }

    /// Answers a health check.
    ///
    /// A controller that cannot reach the state service is unhealthy if another controller can
    /// reach the service, or if too few controllers are reachable to know: users of a partitioned
    /// controller would get no answers. During an outage that affects all controllers it stays
    /// healthy as long as its watch cache is complete, since answers from the watch cache are
    /// better for users than refusals.
    pub(super) fn on_health_check(&mut self, request: u64) {
        let shared_outage =
            self.peers.has_reachable_majority(self.now) && self.peers.first_with_store_access(self.now).is_none();
        let is_healthy = self.store_client.is_reachable(self.now) || (self.watch_cache.is_complete() && shared_outage);
        let answer = if is_healthy {
            crate::admission::error_answer(200, "")
        } else {
            crate::admission::service_unavailable("the state service can't be reached")
        };
        self.outputs.push(Output::Answer { request, answer });
    }
}
