//! Confirmation of cancellations by the other controllers before the user is answered.
//!
//! A controller whose read of a job was executed before the cancellation may still answer
//! with the old state afterwards, because the reply to the read is slow. Therefore each
//! reachable controller is asked for the job's state after the commit. A controller's
//! confirming reads are answered in the order in which they are sent, so by the time it
//! replies, it has answered every request that depended on an earlier read, and it knows of
//! the job's end from then on.

use super::pending::{Awaited, POLL_TIMEOUT_MS};
use super::{Admission, AdmissionContext, AdmissionEffect, answers};
use crate::Millis;
use crate::peers::UserRequest;
use crate::store::EndValue;
use std::collections::BTreeSet;

/// How long to wait for confirmations. Polls received before the commit have timed out by
/// then, even at a controller that does not reply: polls are pending for at most
/// `POLL_TIMEOUT_MS` and are timed out by the next tick.
const MAX_CONFIRMATION_WAIT_MS: Millis = POLL_TIMEOUT_MS + 100;

impl Admission {
    /// Caches the end and asks the reachable controllers to confirm that the job has ended. The
    /// user is answered once all other controllers, reachable or not, have confirmed it, or
    /// after `MAX_CONFIRMATION_WAIT_MS`.
    pub(super) fn request_peer_confirmations(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        end: EndValue,
    ) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get_mut(&request_id) else {
            return Vec::new();
        };
        let job_id = request.job_request.job_id.clone();
        self.end_cache.insert(&job_id, end);
        let unconfirmed: BTreeSet<String> = context.peers.names().into_iter().collect();
        let asked: Vec<String> = unconfirmed
            .iter()
            .filter(|node| context.peers.is_peer_reachable(context.now, node))
            .cloned()
            .collect();
        request.awaited = Awaited::PeerConfirmations {
            end,
            unconfirmed,
            answer_at: context.now + MAX_CONFIRMATION_WAIT_MS,
        };
        let ask = |node| AdmissionEffect::Forward {
            request_id,
            node,
            user_request: UserRequest::Show(job_id.clone()),
        };
        let mut effects: Vec<AdmissionEffect> = asked.into_iter().map(ask).collect();
        effects.extend(self.answer_if_confirmed(context, request_id));
        effects
    }

    /// Handles another controller's confirmation: it no longer answers with an older state of
    /// the job.
    pub(super) fn on_peer_confirmation(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        node: &str,
    ) -> Vec<AdmissionEffect> {
        if let Some(request) = self.pending.get_mut(&request_id)
            && let Awaited::PeerConfirmations { unconfirmed, .. } = &mut request.awaited
        {
            unconfirmed.remove(node);
        }
        self.answer_if_confirmed(context, request_id)
    }

    /// Answers the user if all other controllers have confirmed the end or the wait is over.
    pub(super) fn answer_if_confirmed(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
    ) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get(&request_id) else {
            return Vec::new();
        };
        match &request.awaited {
            Awaited::PeerConfirmations {
                end,
                unconfirmed,
                answer_at,
            } if unconfirmed.is_empty() || context.now >= *answer_at => {
                let (job_id, end) = (request.job_request.job_id.clone(), *end);
                self.end_cache.insert_confirmed(&job_id, end);
                self.finish(context, request_id, answers::ended(&job_id, end))
            }
            _ => Vec::new(),
        }
    }
}
