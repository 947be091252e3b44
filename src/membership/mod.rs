//! Membership: which controllers may give users answers that a newer answer can contradict.
//!
//! A member is a controller that holds a lease of the state service and has written a key attached
//! to it. All controllers watch these keys. A controller that tells a user how a job ended, or that
//! it was accepted, asks the members first, so that none of them gives an older answer afterwards
//! (see [`crate::admission`]). A controller that is down stops being a member when its lease
//! expires, and nobody waits for it any longer.
//!
//! A controller counts its lease from when the last successful renewal was *sent*, so it considers
//! itself a member for too short a time rather than for too long. The transaction that writes the key
//! requires the version of the key in the watch cache. A late copy of it therefore can't replace the
//! key of a newer registration.

use crate::Millis;
use crate::store::{Keys, MemberValue, StoreReply, WatchCache};
use crate::wire::{Change, Condition, Transaction};
use serde_json::json;

/// The time to live of the lease, in milliseconds. A controller that ends is waited for as long.
pub const LEASE_MS: Millis = 3_000;
/// A margin for clock drift during one lease and for the time between checking the lease and
/// answering.
const SAFETY_MARGIN_MS: Millis = 300;
/// How often the lease is renewed. One lost renewal does not end the membership.
const RENEW_INTERVAL_MS: Millis = 1_000;
/// Delay before a failed registration or renewal is tried again.
const RETRY_MS: Millis = 300;

/// A request to the state service that the membership needs.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipRequest {
    /// Request a new lease.
    Grant,
    /// Write the member key with this transaction.
    Register(Transaction),
    /// Renew the lease with this id.
    Renew(u64),
}

/// A lease that the state service granted.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    /// When the request or the last successful renewal was sent.
    sent_at: Millis,
}

impl Lease {
    fn is_valid(&self, now: Millis) -> bool {
        now + SAFETY_MARGIN_MS < self.sent_at + LEASE_MS
    }
}

/// A registration that was committed.
#[derive(Clone, Copy, Debug)]
struct Registration {
    /// When the commit was answered.
    since: Millis,
    /// The version of the member key.
    version: u64,
    renew_not_before: Millis,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    NotRegistered { not_before: Millis },
    RequestingLease { sent_at: Millis },
    Registering { lease: Lease },
    Registered { lease: Lease, registration: Registration },
}

/// The membership of this controller.
#[derive(Debug)]
pub struct Membership {
    node: String,
    incarnation: u64,
    phase: Phase,
}

impl Membership {
    /// Returns the state of a controller that is not a member yet. `incarnation` distinguishes this
    /// process from earlier ones of the same controller.
    pub fn new(node: &str, incarnation: u64) -> Membership {
        Membership {
            node: node.into(),
            incarnation,
            phase: Phase::NotRegistered { not_before: 0 },
        }
    }

    /// Returns since when this controller has been a member without interruption, or `None` if it
    /// may not be one.
    pub fn member_since(&self, now: Millis) -> Option<Millis> {
        match self.phase {
            Phase::Registered { lease, registration } if lease.is_valid(now) => Some(registration.since),
            _ => None,
        }
    }

    /// Returns whether a registration is in progress.
    pub fn is_registering(&self) -> bool {
        matches!(self.phase, Phase::RequestingLease { .. } | Phase::Registering { .. })
    }

    /// Returns the request to send now, if any.
    pub fn poll(&mut self, now: Millis, watch_cache: &WatchCache) -> Option<MembershipRequest> {
        self.give_up_if_lost(now, watch_cache);
        match &mut self.phase {
            // The registration needs the version of the key.
            Phase::NotRegistered { not_before } if now >= *not_before && watch_cache.is_complete() => {
                self.phase = Phase::RequestingLease { sent_at: now };
                Some(MembershipRequest::Grant)
            }
            Phase::Registered { lease, registration } if now >= registration.renew_not_before => {
                registration.renew_not_before = now + RENEW_INTERVAL_MS;
                Some(MembershipRequest::Renew(lease.id))
            }
            _ => None,
        }
    }

    /// Ends the membership if the lease has expired or the key is no longer the one that was written.
    fn give_up_if_lost(&mut self, now: Millis, watch_cache: &WatchCache) {
        let Phase::Registered { lease, registration } = self.phase else {
            return;
        };
        let is_key_shown = watch_cache.is_complete() && watch_cache.revision() >= registration.version;
        let is_replaced = is_key_shown && watch_cache.member_version(&self.node) != Some(registration.version);
        if is_replaced || !lease.is_valid(now) {
            tracing::warn!(is_replaced, "membership lost");
            self.phase = Phase::NotRegistered { not_before: now };
        }
    }

    /// Handles the reply to the request for a lease. Returns the request that follows.
    pub fn on_granted(
        &mut self,
        now: Millis,
        keys: &Keys,
        watch_cache: &WatchCache,
        reply: &StoreReply,
    ) -> Option<MembershipRequest> {
        let Phase::RequestingLease { sent_at } = self.phase else {
            return None;
        };
        let StoreReply::Granted { lease: id } = *reply else {
            self.fail(now);
            return None;
        };
        let lease = Lease { id, sent_at };
        self.phase = Phase::Registering { lease };
        Some(MembershipRequest::Register(self.registration(keys, watch_cache, id)))
    }

    /// Returns the transaction that writes the member key under this lease.
    fn registration(&self, keys: &Keys, watch_cache: &WatchCache, lease: u64) -> Transaction {
        let key = keys.member(&self.node);
        let value = MemberValue {
            incarnation: self.incarnation,
        };
        Transaction {
            conditions: vec![Condition {
                key: key.clone(),
                version: watch_cache.member_version(&self.node).unwrap_or(0),
            }],
            changes: vec![Change::Put {
                put: key,
                value: json!(value),
                lease: Some(lease),
            }],
        }
    }

    /// Handles the reply to the registration. One without an answer may still be applied, so the next
    /// attempt uses a new lease and requires the version that the watch cache shows by then.
    pub fn on_registered(&mut self, now: Millis, reply: &StoreReply) {
        let Phase::Registering { lease } = self.phase else {
            return;
        };
        let StoreReply::Committed { revision } = *reply else {
            self.fail(now);
            return;
        };
        let registration = Registration {
            since: now,
            version: revision,
            renew_not_before: lease.sent_at + RENEW_INTERVAL_MS,
        };
        self.phase = Phase::Registered { lease, registration };
    }

    /// Handles the reply to the renewal of the lease `id` that was sent at `sent_at`.
    pub fn on_renewed(&mut self, now: Millis, id: u64, sent_at: Millis, reply: &StoreReply) {
        let Phase::Registered { lease, registration } = &mut self.phase else {
            return;
        };
        if lease.id != id {
            return;
        }
        match reply {
            StoreReply::Renewed => lease.sent_at = lease.sent_at.max(sent_at),
            StoreReply::LeaseExpired => self.phase = Phase::NotRegistered { not_before: now },
            _ => registration.renew_not_before = registration.renew_not_before.min(now + RETRY_MS),
        }
    }

    fn fail(&mut self, now: Millis) {
        self.phase = Phase::NotRegistered {
            not_before: now + RETRY_MS,
        };
    }
}

#[cfg(test)]
mod tests;
