//! Pending requests and what they are waiting for.

use super::job_write::JobWrite;
use super::{AdmissionEffect, JobRequest, JobRequestKind, Requester};
use crate::Millis;
use crate::peers::{Answer, PeerLinks};
use std::collections::BTreeSet;

/// How long a submission or a cancellation may be pending. Users time out after 5 s.
const WRITE_TIMEOUT_MS: Millis = 3_500;
/// How long a poll may be pending. Users time out after 2 s.
pub(super) const POLL_TIMEOUT_MS: Millis = 1_700;

/// What a pending request is waiting for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Awaited {
    /// The reply to the confirming read with this number or a later one.
    ConfirmingRead(u64),
    /// The reply to the read of the job's end key.
    EndRead {
        /// When the confirming read before it was sent.
        read_sent_at: Millis,
    },
    /// The reply to a create-once write.
    WriteReply {
        write: Box<JobWrite>,
        /// When its last copy was sent.
        sent_at: Millis,
    },
    /// The answer of another controller to the forwarded request.
    PeerAnswer {
        /// Name of that controller.
        node: String,
        /// When this controller starts to process the request itself.
        deadline: Millis,
    },
    /// Confirmations from the other controllers that they give no older answer than the job's end.
    EndConfirmation,
    /// Confirmations from the other members that the job is unknown.
    DenialConfirmation {
        /// The answer after that.
        answer: Answer,
        /// Names of the members that have not confirmed it yet.
        unconfirmed: BTreeSet<String>,
        /// Until when the confirmations count.
        deadline: Millis,
    },
    /// The end of the time for which this controller does not call the job accepted.
    DenialPromise,
}

/// A request that has not been answered yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) requester: Requester,
    pub(super) job_request: JobRequest,
    pub(super) awaited: Awaited,
    received_at: Millis,
}

impl PendingRequest {
    /// Returns a request received at `now`. The caller sets `awaited`, which initially holds a
    /// placeholder.
    pub(super) fn new(requester: Requester, job_request: JobRequest, now: Millis) -> PendingRequest {
        PendingRequest {
            requester,
            job_request,
            awaited: Awaited::ConfirmingRead(0),
            received_at: now,
        }
    }

    /// Sends a create-once write at `now` and makes the request wait for its reply.
    pub(super) fn start_write(&mut self, now: Millis, request_id: u64, write: Box<JobWrite>) -> Vec<AdmissionEffect> {
        let transaction = write.transaction.clone();
        self.awaited = Awaited::WriteReply { write, sent_at: now };
        vec![AdmissionEffect::Write {
            request_id,
            transaction,
        }]
    }

    /// Returns whether another controller passes the answer on to its user.
    pub(super) fn is_for_peer(&self) -> bool {
        matches!(self.requester, Requester::Peer { .. })
    }

    /// Returns whether the request has been pending for longer than its timeout.
    pub(super) fn is_timed_out(&self, now: Millis) -> bool {
        let timeout = match self.job_request.kind {
            JobRequestKind::Poll => POLL_TIMEOUT_MS,
            _ => WRITE_TIMEOUT_MS,
        };
        now >= self.received_at + timeout
    }

    /// Returns whether there is time left to retry an unanswered write.
    pub(super) fn may_retry_write(&self, now: Millis) -> bool {
        now < self.received_at + WRITE_TIMEOUT_MS
    }

    /// Returns whether the request was forwarded to a controller that did not answer in time
    /// or has become unreachable.
    pub(super) fn has_forward_failed(&self, now: Millis, peers: &PeerLinks) -> bool {
        match &self.awaited {
            Awaited::PeerAnswer { node, deadline } => now >= *deadline || !peers.is_peer_reachable(now, node),
            _ => false,
        }
    }
}
