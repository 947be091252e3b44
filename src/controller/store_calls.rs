//! Requests to the state service: queued, sent within the rates, and their answers
//! handed to what asked.

use super::{Controller, Output, Purpose, Queued};
use crate::Millis;
use crate::election::Phase;
use crate::store::{StoreReply, StoreRequest};
use std::collections::VecDeque;

/// Requests to the state service that wait are those of this long at its rate: users
/// give up before any more would be sent.
const STORE_QUEUE_S: f64 = 3.0;
/// Pause before a request without an answer is sent again.
pub(super) const RETRY_MS: Millis = 200;
/// Pause before a request beyond the service's rate is sent again.
const THROTTLED_MS: Millis = 250;

impl Controller {
    pub(super) fn enqueue(&mut self, purpose: Purpose, request: StoreRequest) {
        self.enqueue_after(0, purpose, request);
    }

    /// Sends a request no sooner than after a pause.
    pub(super) fn enqueue_after(&mut self, pause: Millis, purpose: Purpose, request: StoreRequest) {
        self.queue.push_back(Queued {
            purpose,
            request,
            not_before: self.now + pause,
        });
    }

    /// Sends what the rate budget allows. Lease and claim go first and are
    /// never held back: a share of the rate is kept for them.
    pub(super) fn send_queued(&mut self) {
        let (part, writes, user_writes) = self.budget();
        self.requests.set_rate(self.settings.params.state.rps * part);
        self.writes.set_rate(self.settings.params.state.write_rps * writes);
        self.user_writes
            .set_rate(self.settings.params.state.write_rps * user_writes);
        let mut held = VecDeque::new();
        let queue = std::mem::take(&mut self.queue);
        let (first, rest): (Vec<_>, Vec<_>) = queue.into_iter().partition(|queued| {
            matches!(
                queued.purpose,
                Purpose::Grant
                    | Purpose::Claim { .. }
                    | Purpose::Renew { .. }
                    | Purpose::CheckClaim
                    | Purpose::Resign
                    // One a second, on which acting depends.
                    | Purpose::Sync { number: 0, .. }
            )
        });
        let urgent = first.len();
        for (position, queued) in first.into_iter().chain(rest).enumerate() {
            let (now, writes) = (self.now, queued.request.writes());
            let for_user = queued.is_users_write() && self.user_writes.ready(now);
            let may_write = writes == 0 || for_user || self.writes.ready(now);
            let ready = now >= queued.not_before && (position < urgent || self.requests.ready(now) && may_write);
            if !ready {
                held.push_back(queued);
                continue;
            }
            self.requests.spend(1.0);
            let from = if for_user {
                &mut self.user_writes
            } else {
                &mut self.writes
            };
            from.spend(f64::from(writes));
            let call = self.call();
            self.outputs.push(Output::Store {
                call,
                request: queued.request.clone(),
            });
            self.calls.insert(call, (queued.purpose, queued.request));
        }
        self.queue = held;
        let most = (self.settings.params.state.rps * STORE_QUEUE_S) as usize;
        while self.queue.len() > most {
            // Only users' requests come in such numbers.
            let Some(position) = self
                .queue
                .iter()
                .rposition(|queued| matches!(queued.purpose, Purpose::ReadEnd(_) | Purpose::Write(_)))
            else {
                break;
            };
            if let Some(queued) = self.queue.remove(position) {
                self.answered(queued.purpose, &queued.request, StoreReply::Unavailable);
            }
        }
    }

    /// This controller's part of the request rate, the write rate, and of that
    /// for users. What is left over is the reserve for leases and claims.
    pub(super) fn budget(&self) -> (f64, f64, f64) {
        let nodes = self.settings.peers.len() as f64 + 1.0;
        if self.election.phase() == Phase::Follower {
            (0.4 / nodes, 0.05 / nodes, 0.15 / nodes)
        } else if self.queue.iter().any(Queued::is_users_write) {
            // A wave of submissions: what is being started, ended and cleaned up
            // can follow, while users count the milliseconds.
            (0.45, 0.3, 0.45)
        } else {
            (0.45, 0.6, 0.15)
        }
    }

    pub(super) fn store_reply(&mut self, call: u64, reply: StoreReply) {
        let Some((purpose, request)) = self.calls.remove(&call) else {
            return;
        };
        match reply {
            StoreReply::Unavailable | StoreReply::Unanswered => self.store_failed_at = Some(self.now),
            StoreReply::Throttled => {
                if !matches!(purpose, Purpose::Renew { .. }) {
                    self.enqueue_after(THROTTLED_MS, purpose, request);
                    return;
                }
            }
            _ => self.store_ok_at = Some(self.now),
        }
        self.answered(purpose, &request, reply);
    }

    pub(super) fn answered(&mut self, purpose: Purpose, request: &StoreRequest, reply: StoreReply) {
        match purpose {
            Purpose::Grant => self.granted(reply),
            Purpose::Claim { transaction, sent } => self.claim_answered(transaction, sent, reply),
            Purpose::Renew { sent } => self.renew_answered(sent, reply),
            Purpose::CheckClaim => self.claim_checked(reply),
            Purpose::ReadWatchCache => self.watch_cache_page(request, reply),
            Purpose::Watch => self.watch_answered(reply),
            Purpose::Sync { number, sent } => self.synced(number, sent, reply),
            Purpose::Load(part) => self.load_answered(part, request, reply),
            Purpose::Commit => self.commit_answered(request, reply),
            Purpose::CheckCommit(evidence) => self.commit_checked(evidence, &reply),
            Purpose::ReadEnd(op) => {
                let wants = self.admission.end_read(op, &reply);
                self.apply_effects(wants);
            }
            Purpose::Write(op) => {
                if let StoreReply::Conflict { failed } = &reply {
                    self.check_claim_in(request, failed);
                }
                let wants = self.with_admission(|admission, context, _| admission.written(context, op, &reply));
                self.apply_effects(wants);
            }
            Purpose::Catalogue | Purpose::Resign => {}
        }
    }
}
