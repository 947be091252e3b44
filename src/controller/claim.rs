//! The leader's claim: taken, renewed, raised to a new term, checked and given up.

use super::store_calls::RETRY_MS;
use super::{Controller, LoadStage, Purpose, Shard};
use crate::Millis;
use crate::controller::SHARD;
use crate::election::Phase;
use crate::ids::MachineIx;
use crate::store::{StoreReply, StoreRequest};
use crate::wire::{Change, Transaction};
use std::sync::Arc;

/// Pause before the next claim after one that may yet have succeeded.
const CLAIM_RETRY_MS: Millis = 500;

impl Controller {
    /// The claim in the watch cache changed. One of a higher term ends ours.
    pub(super) fn leader_changed(&mut self) {
        let Some((leader, version)) = self.watch_cache.leader() else {
            return;
        };
        if self.election.holds_claim() && leader.term > self.election.term() {
            tracing::warn!(leader = leader.node, version, "lost the shard to another controller");
            self.step_down(0);
        }
    }

    /// Gives up the shard, and claims no sooner than after this delay.
    pub(super) fn step_down(&mut self, claim_delay: Millis) {
        self.election.step_down(self.now, claim_delay);
        self.shard = None;
        self.term_raise.cancel();
        self.discard_term_state();
    }

    /// Nothing of the term that ends counts: what was in flight under it is void, and
    /// what it did is read back.
    fn discard_term_state(&mut self) {
        self.cloud.clear();
        self.command_delivery.clear();
        self.store_client.discard_term_requests();
    }

    /// The lease was granted: the claim follows.
    pub(super) fn on_lease_granted(&mut self, reply: StoreReply) {
        if self.election.phase() != Phase::RequestingLease {
            return;
        }
        match reply {
            StoreReply::Granted { lease } => {
                let sent = self.election.lease_requested_at();
                match self.election.granted(lease, sent, &self.keys, &self.watch_cache) {
                    Some(transaction) => self.send_claim(transaction),
                    None => self.step_down(0),
                }
            }
            _ => self.election.step_down(self.now, CLAIM_RETRY_MS),
        }
    }

    pub(super) fn on_claim_reply(&mut self, transaction: Arc<Transaction>, sent: Millis, reply: StoreReply) {
        if self.election.phase() != Phase::Claiming {
            return;
        }
        match reply {
            StoreReply::Committed { revision } => self.claimed(revision),
            // Perhaps applied: the same again is applied or conflicts, and a
            // conflict is told apart by reading the claim.
            StoreReply::Unanswered | StoreReply::Unavailable if self.now < sent + crate::election::LEASE_MS => {
                let purpose = Purpose::Claim {
                    transaction: transaction.clone(),
                    sent,
                };
                self.enqueue_after(RETRY_MS, purpose, StoreRequest::Transact(transaction));
            }
            StoreReply::Conflict { .. } => self.enqueue(Purpose::CheckClaim, StoreRequest::Get(self.keys.leader())),
            _ => self.step_down(CLAIM_RETRY_MS),
        }
    }

    /// The claim was carried out.
    fn claimed(&mut self, version: u64) {
        self.election.claimed(version);
        self.leader_timers.claimed(self.now);
        let is_state_valid = self.term_raise.claimed(self.now);
        if is_state_valid {
            self.term_raised();
        } else {
            self.start_loading();
        }
    }

    /// Begins anew with an empty shard, and reads everything.
    fn start_loading(&mut self) {
        self.load_progress.start(self.now);
        self.leader_timers.note_worker_contact(self.now);
        self.discard_term_state();
        let mut shard = Shard::new(SHARD, self.election.term(), &self.settings, &self.policy);
        if let Some(catalogue) = &self.catalogue {
            shard.set_catalogue(catalogue);
        }
        self.shard = Some(shard);
        self.load_page(LoadStage::Machines, String::new());
    }

    /// The term rose over the own claim, with nothing of the old one in flight to
    /// the state service: what is known still holds, and only the workers have
    /// to see the new fencing token.
    fn term_raised(&mut self) {
        self.election.activate();
        let Some(shard) = &mut self.shard else {
            return;
        };
        shard.term = self.election.term();
        let unconfirmed = shard
            .workers
            .machines
            .iter()
            .filter(|(_, machine)| machine.unconfirmed_start_term > 0);
        let unconfirmed: Vec<MachineIx> = unconfirmed.map(|(ix, _)| ix).collect();
        shard.workers.delivery_due.extend(unconfirmed);
        self.placement_rounds.request();
    }

    pub(super) fn on_renew_reply(&mut self, sent: Millis, reply: StoreReply) {
        match reply {
            StoreReply::Renewed => {
                self.election.renewed(self.now, sent);
                if self.election.is_suspended() {
                    self.refresh_watch_cache();
                }
            }
            StoreReply::LeaseGone if self.election.holds_claim() => {
                tracing::warn!(term = self.election.term(), "lost the lease: it expired");
                self.step_down(0);
            }
            _ => self.election.renewal_failed(self.now),
        }
    }

    /// The watch cache holds all that was written before `sent`. After an expiry that is
    /// what acting again waits for: a cancellation may have come in the meantime,
    /// and the claim may be another's.
    pub(super) fn watch_cache_read(&mut self, sent: Millis) {
        self.election.watch_cache_read(sent);
        if !self.election.may_resume(self.now, sent) {
            return;
        }
        let claim = self.watch_cache.leader();
        let is_ours = claim.is_some_and(|(leader, version)| {
            self.election.is_current_claim(leader) && *version == self.election.claim_version()
        });
        if is_ours {
            self.election.resume();
        } else {
            self.step_down(0);
        }
    }

    pub(super) fn on_claim_checked(&mut self, reply: StoreReply) {
        if self.election.phase() != Phase::Claiming {
            return;
        }
        match reply {
            StoreReply::Found { value, version } => {
                let leader = serde_json::from_value(value);
                if leader.is_ok_and(|leader| self.election.is_current_claim(&leader)) {
                    self.claimed(version);
                } else {
                    self.step_down(0);
                }
            }
            StoreReply::Missing => self.step_down(0),
            _ => self.step_down(CLAIM_RETRY_MS),
        }
    }

    /// A transaction conflicted: if the claim was among the reasons, it is gone.
    /// Unless the transaction was older than our present claim.
    pub(super) fn detect_lost_claim(&mut self, request: &StoreRequest, failed: &[String]) -> bool {
        let condition = self.election.condition(&self.keys);
        let is_current =
            matches!(request, StoreRequest::Transact(transaction) if transaction.conditions.contains(&condition));
        let is_lost = is_current && self.election.holds_claim() && failed.contains(&condition.key);
        if is_lost {
            tracing::warn!(term = self.election.term(), "lost the claim");
            self.step_down(0);
        }
        is_lost
    }

    /// Whether no other controller and no worker was heard for long.
    pub(super) fn is_isolated(&self) -> bool {
        !self.peers.is_alone() && self.leader_timers.is_isolated(self.now, self.peers.last_heard_at())
    }

    /// Removes the own claim, for another controller to take the shard.
    pub(super) fn resign(&mut self, claim_delay: Millis) {
        let transaction = Transaction {
            conditions: vec![self.election.condition(&self.keys)],
            changes: vec![Change::delete(self.keys.leader())],
        };
        self.step_down(claim_delay);
        self.enqueue(Purpose::Resign, StoreRequest::Transact(transaction.into()));
    }

    fn send_claim(&mut self, transaction: Transaction) {
        let transaction = Arc::new(transaction);
        let purpose = Purpose::Claim {
            transaction: transaction.clone(),
            sent: self.now,
        };
        self.enqueue(purpose, StoreRequest::Transact(transaction));
    }

    /// Starts a new term over the own claim where one is called for.
    pub(super) fn raise_term(&mut self) -> bool {
        let Some(shard) = &mut self.shard else {
            return false;
        };
        let is_reload_requested = self.term_raise.is_reload_requested();
        let is_needed = is_reload_requested || shard.workers.needs_higher_term;
        // Claiming gives up the lease extension, and can't succeed in an outage.
        if !is_needed || !self.election.is_lease_valid(self.now) || !self.term_raise.is_allowed(self.now) {
            return false;
        }
        // What is in flight depends on the claim as it is.
        self.term_raise.begin();
        if !is_reload_requested && shard.pending_writes.is_in_flight() {
            return false;
        }
        shard.workers.needs_higher_term = false;
        tracing::info!(term = self.election.term(), "raising the term");
        let transaction = self.election.raise_term(&self.keys, &self.watch_cache);
        self.send_claim(transaction);
        true
    }
}
