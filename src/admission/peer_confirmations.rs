//! Cancellations that the other controllers have to know of before their user is told.
//!
//! A controller that read a job's state before the cancellation may answer with it later:
//! only the reply is slow. So it is asked about the job after the commit. Its confirming
//! reads are answered in the order in which they are sent, so that by the time it replies it
//! has answered whatever it had read before, and from then on knows of the end.

use super::pending::{Awaited, POLL_PATIENCE_MS};
use super::{Admission, AdmissionContext, AdmissionEffect, answers};
use crate::Millis;
use crate::peers::UserRequest;
use crate::store::EndValue;
use std::collections::BTreeSet;

/// A poll that came before the commit is given up by then, also by a controller that does
/// not reply: polls wait no longer than this, and are given up at a tick.
const LONGEST_WAIT_MS: Millis = POLL_PATIENCE_MS + 100;

impl Admission {
    /// The job is known to be cancelled: tells the user once the other controllers know.
    pub(super) fn confirm_at_peers(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        end: EndValue,
    ) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get_mut(&request_id) else {
            return Vec::new();
        };
        let job_id = request.question.job_id.clone();
        self.remembered_ends.remember(&job_id, end);
        let missing: BTreeSet<String> = context.peers.names().into_iter().collect();
        let asked: Vec<String> = missing
            .iter()
            .filter(|node| context.peers.is_peer_reachable(context.now, node))
            .cloned()
            .collect();
        request.awaited = Awaited::PeerConfirmations {
            end,
            missing,
            answer_at: context.now + LONGEST_WAIT_MS,
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

    /// A controller replied: it answers nothing older about the job any more.
    pub(super) fn confirmed_by_peer(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        node: &str,
    ) -> Vec<AdmissionEffect> {
        if let Some(request) = self.pending.get_mut(&request_id)
            && let Awaited::PeerConfirmations { missing, .. } = &mut request.awaited
        {
            missing.remove(node);
        }
        self.answer_if_confirmed(context, request_id)
    }

    /// Answers the user if all others know of the end, or have had the time.
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
                missing,
                answer_at,
            } if missing.is_empty() || context.now >= *answer_at => {
                let answer = answers::ended(&request.question.job_id, *end);
                self.finish(context, request_id, answer)
            }
            _ => Vec::new(),
        }
    }
}
