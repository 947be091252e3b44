//! Users' requests and health checks: admitted here, or forwarded to the leader.

use super::{Controller, Output, Purpose, SHARD};
use crate::admission::{Admission, AdmissionContext, AdmissionEffect, Requester, TaskCounts, Verdict};
use crate::peers::{Message, PeerLinks, UserRequest};
use crate::store::StoreRequest;
use crate::wire::JobSpec;

impl Controller {
    pub(super) fn with_admission<T>(
        &mut self,
        act: impl FnOnce(&mut Admission, &AdmissionContext, &PeerLinks) -> T,
    ) -> T {
        let claim = self
            .election
            .is_acting_leader(self.now)
            .then(|| self.election.condition(&self.keys));
        let (catalogue, teams) = (&self.catalogue, &self.settings.params.teams);
        let verdict = |spec: &JobSpec| Verdict::of(spec, teams, catalogue.as_ref());
        let (shard, peers) = (&self.shard, &self.peers);
        let counts = |id: &str| {
            let counts = match shard {
                Some(shard) => shard.counts(id),
                None => peers.task_counts(id),
            };
            counts.map(|(done, running)| TaskCounts { done, running })
        };
        let context = AdmissionContext {
            now: self.now,
            wall_clock: self.wall_clock,
            keys: &self.keys,
            limits: &self.settings.params.limits,
            watch_cache: &self.watch_cache,
            claim,
            verdict: &verdict,
            counts: &counts,
        };
        act(&mut self.admission, &context, &self.peers)
    }

    pub(super) fn apply_effects(&mut self, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            match effect {
                AdmissionEffect::Answer(Requester::User(request), answer) => {
                    self.outputs.push(Output::Answer { request, answer })
                }
                AdmissionEffect::Answer(Requester::Peer { node, id }, answer) => self.outputs.push(Output::Peer {
                    node,
                    message: Message::ForwardReply { id, answer },
                }),
                AdmissionEffect::ReadEnd { request_id, key } => {
                    self.enqueue(Purpose::ReadEnd(request_id), StoreRequest::Get(key))
                }
                AdmissionEffect::Write {
                    request_id,
                    transaction,
                } => {
                    self.enqueue(Purpose::Write(request_id), StoreRequest::Transact(transaction));
                }
                AdmissionEffect::Forward {
                    request_id,
                    node,
                    user_request,
                } => {
                    self.next_forward += 1;
                    let id = self.next_forward;
                    self.forwards.insert(id, request_id);
                    self.outputs.push(Output::Peer {
                        node,
                        message: Message::ForwardRequest {
                            shard: SHARD.into(),
                            id,
                            user_request,
                        },
                    });
                }
                AdmissionEffect::RecordJob { id, job, revision } => {
                    // The watch may have been faster, even to the job's end.
                    if revision > self.watch_cache.revision {
                        self.watch_cache.record_job(&id, job, revision);
                        self.job_changed(&id);
                    }
                }
            }
        }
    }

    pub(super) fn user(&mut self, request: u64, user_request: UserRequest) {
        let forward = self.forward_to(&user_request);
        let requester = Requester::User(request);
        let wants =
            self.with_admission(|admission, context, _| admission.handle(context, requester, user_request, forward));
        self.apply_effects(wants);
    }

    /// Who should answer: the leader takes submissions and cancels; any other
    /// controller only when this one can't use the state service.
    pub(super) fn forward_to(&self, user_request: &UserRequest) -> Option<String> {
        if self.leads() {
            return None;
        }
        let leader = self.peers.leader(self.now);
        let to = match user_request {
            UserRequest::Submit(_) | UserRequest::Cancel(_) if leader.is_some() => leader,
            _ if self.store_ok() => None,
            _ => leader.or(self.peers.with_store(self.now)),
        };
        to.map(str::to_owned)
    }

    /// Not healthy if another controller could do what this one can't, or if
    /// it hears too few of them to tell: users of a controller that is cut off
    /// would ask in vain. In an outage that all share, users are better
    /// answered than refused.
    pub(super) fn health(&mut self, request: u64) {
        let shared_outage = self.peers.most_in_reach(self.now) && self.peers.with_store(self.now).is_none();
        let well = self.store_ok() || (self.watch_cache.complete && shared_outage);
        let answer = if well {
            crate::admission::text(200, "")
        } else {
            crate::admission::busy("the state service can't be reached")
        };
        self.outputs.push(Output::Answer { request, answer });
    }
}
