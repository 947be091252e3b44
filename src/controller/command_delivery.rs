//! The leader's direct commands in flight.

use crate::Millis;
use std::collections::BTreeMap;

/// Longer than any call to a worker takes.
const TIMEOUT_MS: Millis = 5_000;
/// Commands that come up close together go out together.
const DELIVERY_INTERVAL_MS: Millis = 50;

/// Direct commands to a machine, under a term.
#[derive(Clone, Debug)]
pub(super) struct DirectCall {
    /// By name: the index may be another machine's by the time of the reply.
    pub(super) machine: String,
    pub(super) term: u64,
    pub(super) sent_at: Millis,
}

/// Direct commands in flight, and when the last were sent.
#[derive(Debug, Default)]
pub(super) struct CommandDelivery {
    in_flight: BTreeMap<u64, DirectCall>,
    delivered_at: Millis,
}

impl CommandDelivery {
    /// Whether to send what machines are due, which then counts as sent.
    pub(super) fn take_due(&mut self, now: Millis) -> bool {
        let due = now >= self.delivered_at + DELIVERY_INTERVAL_MS;
        if due {
            self.delivered_at = now;
        }
        due
    }

    /// How many commands may be sent now, if at most so many are to be in flight.
    pub(super) fn available(&self, max_in_flight: usize) -> usize {
        max_in_flight.saturating_sub(self.in_flight.len())
    }

    pub(super) fn sent(&mut self, call: u64, direct_call: DirectCall) {
        self.in_flight.insert(call, direct_call);
    }

    /// Takes out the call that a reply answers, if it still matters.
    pub(super) fn take(&mut self, call: u64) -> Option<DirectCall> {
        self.in_flight.remove(&call)
    }

    /// Calls without a reply for too long.
    pub(super) fn expired(&self, now: Millis) -> Vec<u64> {
        let expired = self.in_flight.iter();
        let expired = expired.filter(|(_, direct_call)| now > direct_call.sent_at + TIMEOUT_MS);
        expired.map(|(&call, _)| call).collect()
    }

    /// Forgets all: the term ends.
    pub(super) fn clear(&mut self) {
        self.in_flight.clear();
    }
}
