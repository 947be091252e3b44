//! The leader's claim on the shard: acquiring, renewing and checking it, raising its term and
//! giving it up.

use super::store_calls::RETRY_MS;
use super::{Controller, LoadStage, Purpose, Shard};
use crate::Millis;
use crate::controller::SHARD;
use crate::election::Phase;
use crate::store::{StoreReply, StoreRequest};
use crate::wire::{Change, Transaction};
use std::sync::Arc;

/// Delay before the next claim after a lease request or a claim that failed or has an unknown
/// outcome.
const CLAIM_RETRY_MS: Millis = 500;

impl Controller {
    /// Handles a change of the claim in the watch cache: steps down if it has a higher term than
    /// this controller's claim.
    pub(super) fn on_claim_changed(&mut self) {
        let Some((leader, version)) = self.watch_cache.leader() else {
            tracing::info!(
                revision = self.watch_cache.revision(),
                "the claim on the shard has ended"
            );
            return;
        };
        tracing::info!(
            leader = leader.node,
            term = leader.term,
            version,
            "a leader has claimed the shard"
        );
        if self.election.holds_claim() && leader.term > self.election.term() {
            tracing::warn!(leader = leader.node, version, "lost the shard to another controller");
            self.step_down(0);
        }
    }

    /// Gives up the shard. It is not claimed again before `claim_delay` milliseconds have passed.
    pub(super) fn step_down(&mut self, claim_delay: Millis) {
        self.election.step_down(self.now, claim_delay);
        self.shard = None;
        self.term_raise.cancel();
        self.discard_term_state();
    }

    /// Discards what is in flight under the ending term. The next leader reads the effects from
    /// the state service.
    fn discard_term_state(&mut self) {
        self.cloud.clear();
        self.command_delivery.clear();
        self.store_client.discard_term_requests();
    }

    /// Handles the reply to a lease request. A granted lease is followed by the claim.
    pub(super) fn on_lease_granted(&mut self, reply: StoreReply) {
        if self.election.phase() != Phase::RequestingLease {
            return;
        }
        match reply {
            StoreReply::Granted { lease } => {
                let sent_at = self.election.lease_requested_at();
                match self
                    .election
                    .claim_with_lease(lease, sent_at, &self.keys, &self.watch_cache)
                {
                    Some(transaction) => self.send_claim(transaction),
                    None => self.step_down(0),
                }
            }
            _ => self.election.step_down(self.now, CLAIM_RETRY_MS),
        }
    }

    /// Handles the reply to a claim transaction.
    pub(super) fn on_claim_reply(&mut self, transaction: Arc<Transaction>, sent_at: Millis, reply: StoreReply) {
        if self.election.phase() != Phase::Claiming {
            return;
        }
        match reply {
            StoreReply::Committed { revision } => self.on_claim_committed(revision),
            // The claim may have been applied. Sending it again either applies it or conflicts;
            // after a conflict, reading the claim shows whose it is.
            StoreReply::Unanswered | StoreReply::Unavailable if self.now < sent_at + crate::election::LEASE_MS => {
                let purpose = Purpose::Claim {
                    transaction: transaction.clone(),
                    sent_at,
                };
                self.enqueue_after(RETRY_MS, purpose, StoreRequest::Transact(transaction));
            }
            StoreReply::Conflict { .. } => self.enqueue(Purpose::CheckClaim, StoreRequest::Get(self.keys.leader())),
            _ => self.step_down(CLAIM_RETRY_MS),
        }
    }

    /// Starts the new term after the claim was committed.
    fn on_claim_committed(&mut self, version: u64) {
        self.election.on_claim_committed(version);
        self.leader_timers.claimed(self.now);
        let is_state_valid = self.term_raise.claimed(self.now);
        if is_state_valid {
            self.on_term_raised();
        } else {
            self.start_loading();
        }
    }

    /// Replaces the shard by an empty one and starts to load it from the state service.
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

    /// Continues under a higher term that this leader claimed itself. No transaction of the old
    /// term was in flight, so the shard's state is still valid and only the workers have to
    /// receive the new fencing token.
    fn on_term_raised(&mut self) {
        self.election.activate();
        let Some(shard) = &mut self.shard else {
            return;
        };
        shard.term = self.election.term();
        self.placement_rounds.request();
    }

    /// Handles the reply to the lease renewal that was sent at `sent_at`.
    pub(super) fn on_renew_reply(&mut self, sent_at: Millis, reply: StoreReply) {
        match reply {
            StoreReply::Renewed => {
                self.election.on_lease_renewed(self.now, sent_at);
                if self.election.is_suspended() {
                    self.refresh_watch_cache();
                }
            }
            StoreReply::LeaseExpired if self.election.holds_claim() => {
                tracing::warn!(term = self.election.term(), "lost the lease: it expired");
                self.step_down(0);
            }
            _ => self.election.renewal_failed(self.now),
        }
    }

    /// Notes that the watch cache includes everything written before `sent_at`.
    ///
    /// After its leadership expired, a leader needs such a read before it acts again: a job may
    /// have been cancelled and another controller may have claimed the shard in the meantime.
    pub(super) fn on_watch_cache_read(&mut self, sent_at: Millis) {
        self.election.on_watch_cache_read(sent_at);
        if !self.election.may_resume(self.now, sent_at) {
            return;
        }
        let claim = self.watch_cache.leader();
        let is_current = claim.is_some_and(|(leader, version)| {
            self.election.is_current_claim(leader) && *version == self.election.claim_version()
        });
        if is_current {
            self.election.resume();
        } else {
            self.step_down(0);
        }
    }

    /// Handles the read of the claim that follows a conflicting claim transaction.
    pub(super) fn on_claim_checked(&mut self, reply: StoreReply) {
        if self.election.phase() != Phase::Claiming {
            return;
        }
        match reply {
            StoreReply::Found { value, version } => {
                let leader = serde_json::from_value(value);
                if leader.is_ok_and(|leader| self.election.is_current_claim(&leader)) {
                    self.on_claim_committed(version);
                } else {
                    self.step_down(0);
                }
            }
            StoreReply::Missing => self.step_down(0),
            _ => self.step_down(CLAIM_RETRY_MS),
        }
    }

    /// Steps down if a transaction conflicted on the claim. Returns whether it did.
    ///
    /// A transaction that was built under an earlier version of the claim is ignored.
    pub(super) fn detect_lost_claim(&mut self, request: &StoreRequest, failed: &[String]) -> bool {
        let condition = self.election.claim_condition(&self.keys);
        let is_current =
            matches!(request, StoreRequest::Transact(transaction) if transaction.conditions.contains(&condition));
        let is_lost = is_current && self.election.holds_claim() && failed.contains(&condition.key);
        if is_lost {
            tracing::warn!(term = self.election.term(), "lost the claim");
            self.step_down(0);
        }
        is_lost
    }

    /// Whether neither another controller nor a worker has been heard from within the isolation
    /// timeout. Always false for the only controller.
    pub(super) fn is_isolated(&self) -> bool {
        !self.peers.has_no_peers() && self.leader_timers.is_isolated(self.now, self.peers.last_heartbeat_at())
    }

    /// Steps down and deletes the claim, so that another controller can claim the shard. This
    /// controller does not claim it again before `claim_delay` milliseconds have passed.
    pub(super) fn resign(&mut self, claim_delay: Millis) {
        let transaction = Transaction {
            conditions: vec![self.election.claim_condition(&self.keys)],
            changes: vec![Change::delete(self.keys.leader())],
        };
        self.step_down(claim_delay);
        self.enqueue(Purpose::Resign, StoreRequest::Transact(transaction.into()));
    }

    /// Sends the transaction that claims the shard or raises the term.
    fn send_claim(&mut self, transaction: Transaction) {
        let transaction = Arc::new(transaction);
        let purpose = Purpose::Claim {
            transaction: transaction.clone(),
            sent_at: self.now,
        };
        self.enqueue(purpose, StoreRequest::Transact(transaction));
    }

    /// Claims the shard again under a higher term, if that is needed and possible now. Returns
    /// whether the claim was sent.
    pub(super) fn raise_term(&mut self) -> bool {
        let Some(shard) = &mut self.shard else {
            return false;
        };
        let is_reload_requested = self.term_raise.is_reload_requested();
        let is_needed = is_reload_requested || shard.workers.needs_higher_term;
        // A claim cannot succeed during an outage in which only a lease extension is valid, and
        // this controller would not act as the leader while the claim is in flight.
        if !is_needed || !self.election.is_lease_valid(self.now) || !self.term_raise.is_allowed(self.now) {
            return false;
        }
        // From here on no new transaction is sent. One in flight depends on the current version of
        // the claim, so unless everything is reloaded, the new claim waits for its outcome.
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
