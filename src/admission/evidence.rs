//! How recent the information must be on which an answer is based that a newer answer can contradict.
//!
//! An unfinished state contradicts the end of the job, and "not found" or a refusal contradicts its
//! acceptance. Such an answer is based on a read or a write of the state service, or on the answer of
//! another controller. It is as old as the *sending* of that request, whenever its reply arrives. One
//! that is too old is not given: the state is read again. Therefore a controller that was suspended,
//! or whose reads are slow, stops giving older answers by itself after a known time, on its own clock.

use super::{AdmissionContext, PendingRequest};
use crate::Millis;

/// The maximum age of a read or write that an answer to a user is based on.
pub(super) const MAX_EVIDENCE_AGE_MS: Millis = 1_000;
/// How long to wait for another controller's answer before processing the request here, and the
/// maximum age of an answer that is passed on. Processing it here is equally safe: the write is
/// create-once, and the leader learns of it through its watch.
pub(super) const FORWARD_TIMEOUT_MS: Millis = 100;
/// A margin for clock drift and for the time between checking the age and answering.
const SAFETY_MARGIN_MS: Millis = 50;
/// How long an answer to another controller's request may still be on its way to that controller's
/// user.
pub(super) const RELAY_LIFETIME_MS: Millis = FORWARD_TIMEOUT_MS + SAFETY_MARGIN_MS;
/// How long a member that does not confirm an end may still give an older answer, or another
/// controller one that it passes on, counted from when the end could be read.
pub(super) const MEMBER_ANSWER_LIFETIME_MS: Millis = MAX_EVIDENCE_AGE_MS + RELAY_LIFETIME_MS + SAFETY_MARGIN_MS;
/// How long the other members are waited for before a job is called unknown.
pub(super) const DENIAL_LIFETIME_MS: Millis = 200;
/// How long a member that has confirmed that a job is unknown does not call it accepted.
pub(super) const DENIAL_PROMISE_MS: Millis = DENIAL_LIFETIME_MS + RELAY_LIFETIME_MS + SAFETY_MARGIN_MS;

/// Whether an answer may be based on a read or write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
    /// It is recent enough.
    Usable,
    /// It is too old, or was sent before this controller was a member.
    Outdated,
    /// This controller is not a member, so others don't ask it before they tell a newer state.
    NotMember,
}

impl Evidence {
    /// Judges a read or write that was sent at `sent_at`.
    pub(super) fn of(context: &AdmissionContext<'_>, sent_at: Millis) -> Evidence {
        match context.member_since {
            None => Evidence::NotMember,
            Some(since) if sent_at < since || context.now > sent_at + MAX_EVIDENCE_AGE_MS => Evidence::Outdated,
            Some(_) => Evidence::Usable,
        }
    }
}

impl PendingRequest {
    /// Returns whether the answer of another controller is too old to be passed on.
    pub(super) fn is_relay_outdated(&self, now: Millis) -> bool {
        matches!(&self.awaited, super::Awaited::PeerAnswer { deadline, .. } if now >= *deadline)
    }
}
