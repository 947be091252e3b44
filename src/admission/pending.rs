//! A request that waits for something, and what it waits for.

use super::writes::JobWrite;
use super::{AdmissionEffect, Question, QuestionKind, Requester};
use crate::Millis;
use crate::peers::PeerLinks;
use crate::store::EndValue;
use std::collections::BTreeSet;

/// How long a submission or a cancellation may wait: users give up after 5 s.
const WRITE_PATIENCE_MS: Millis = 3_500;
/// How long a poll may wait: users give up after 2 s.
pub(super) const POLL_PATIENCE_MS: Millis = 1_700;

/// What a pending request waits for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Awaited {
    /// The confirming read with this number, or a later one.
    ConfirmingRead(u64),
    /// The read of the key that says how the job ended.
    EndRead,
    /// The reply to a create-once write.
    WriteReply(Box<JobWrite>),
    /// The answer of another controller.
    PeerAnswer {
        /// Name of that controller.
        node: String,
        /// When the request is answered here instead.
        give_up_at: Millis,
    },
    /// That other controllers know how the job ended.
    PeerConfirmations {
        /// How it ended.
        end: EndValue,
        /// Names of those that have not confirmed it yet.
        missing: BTreeSet<String>,
        /// When the user is told whether or not they have.
        answer_at: Millis,
    },
}

/// A request that was not answered yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) requester: Requester,
    pub(super) question: Question,
    pub(super) awaited: Awaited,
    started_at: Millis,
}

impl PendingRequest {
    pub(super) fn new(requester: Requester, question: Question, now: Millis) -> PendingRequest {
        PendingRequest {
            requester,
            question,
            awaited: Awaited::ConfirmingRead(0),
            started_at: now,
        }
    }

    /// Sends a create-once write and waits for its reply.
    pub(super) fn start_write(&mut self, request_id: u64, write: Box<JobWrite>) -> Vec<AdmissionEffect> {
        let transaction = write.transaction.clone();
        self.awaited = Awaited::WriteReply(write);
        vec![AdmissionEffect::Write {
            request_id,
            transaction,
        }]
    }

    /// Whether its user has waited as long as makes sense.
    pub(super) fn is_out_of_time(&self, now: Millis) -> bool {
        let patience = match self.question.kind {
            QuestionKind::Poll => POLL_PATIENCE_MS,
            _ => WRITE_PATIENCE_MS,
        };
        now >= self.started_at + patience
    }

    /// Whether a write without an answer is worth repeating.
    pub(super) fn may_write_again(&self, now: Millis) -> bool {
        now < self.started_at + WRITE_PATIENCE_MS
    }

    /// Whether the other controller that it was forwarded to is silent or out of reach.
    pub(super) fn is_forwarded_in_vain(&self, now: Millis, peers: &PeerLinks) -> bool {
        match &self.awaited {
            Awaited::PeerAnswer { node, give_up_at } => now >= *give_up_at || !peers.is_peer_reachable(now, node),
            _ => false,
        }
    }
}
