//! Users' requests and health checks: admitted here, or forwarded to the leader.

use super::{Controller, Output, Purpose, SHARD};
use crate::admission::{Admission, AdmissionContext, AdmissionEffect, Requester, Verdict};
use crate::peers::{Answer, Message, UserRequest};
use crate::store::{JobKey, StoreRequest};
use crate::wire::JobSpec;

impl Controller {
    /// Lets admission act, with what its answers depend on.
    pub(super) fn with_admission<T>(&mut self, act: impl FnOnce(&mut Admission, &AdmissionContext<'_>) -> T) -> T {
        let claim = self
            .election
            .is_acting_leader(self.now)
            .then(|| self.election.condition(&self.keys));
        let (catalogue, teams) = (&self.catalogue, &self.settings.params.teams);
        let verdict = |spec: &JobSpec| Verdict::of(spec, teams, catalogue.as_ref());
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
            watch_cache: &self.watch_cache,
            claim,
            verdict: &verdict,
            peers: &self.peers,
            counts: &counts,
        };
        act(&mut self.admission, &context)
    }

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
                AdmissionEffect::RecordJob { id, job, revision } => self.record_written(&id, job, revision),
            }
        }
    }

    fn answer_requester(&mut self, requester: Requester, answer: Answer) {
        self.outputs.push(match requester {
            Requester::User(request) => Output::Answer { request, answer },
            Requester::Peer { node, id } => Output::Peer {
                node,
                message: Message::ForwardReply { id, answer },
            },
        });
    }

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

    /// A job key was written by us. The watch may have been faster, even to the job's
    /// end.
    fn record_written(&mut self, id: &str, key: JobKey, revision: u64) {
        if revision > self.watch_cache.revision() {
            self.watch_cache.record_job(id, key, revision);
            self.job_changed(id);
        }
    }

    pub(super) fn on_user_request(&mut self, request: u64, user_request: UserRequest) {
        let forward = self.forward_target(&user_request);
        let requester = Requester::User(request);
        let effects =
            self.with_admission(|admission, context| admission.handle(context, requester, user_request, forward));
        self.apply_effects(effects);
    }

    /// Gives up what admission has waited for long enough.
    pub(super) fn tick_admission(&mut self) {
        let effects = self.with_admission(|admission, context| admission.tick(context));
        self.apply_effects(effects);
    }

    /// Who should answer: the leader takes submissions and cancels; any other
    /// controller only when this one can't use the state service.
    fn forward_target(&self, user_request: &UserRequest) -> Option<String> {
        if self.leads() {
            return None;
        }
        let leader = self.peers.leader(self.now);
        let to = match user_request {
            UserRequest::Submit(_) | UserRequest::Cancel(_) if leader.is_some() => leader,
            _ if self.store_client.is_reachable(self.now) => None,
            _ => leader.or(self.peers.with_store(self.now)),
        };
        to.map(str::to_owned)
    }

    /// Not healthy if another controller could do what this one can't, or if
    /// it hears too few of them to tell: users of a controller that is cut off
    /// would ask in vain. In an outage that all share, users are better
    /// answered than refused.
    pub(super) fn on_health_check(&mut self, request: u64) {
        let shared_outage = self.peers.most_in_reach(self.now) && self.peers.with_store(self.now).is_none();
        let is_healthy = self.store_client.is_reachable(self.now) || (self.watch_cache.is_complete() && shared_outage);
        let answer = if is_healthy {
            crate::admission::text(200, "")
        } else {
            crate::admission::busy("the state service can't be reached")
        };
        self.outputs.push(Output::Answer { request, answer });
    }
}
