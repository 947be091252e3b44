//! Bookkeeping of the leader's direct commands in flight.

use crate::Millis;
use std::collections::BTreeMap;

/// After this time a delivery counts as unanswered. Longer than any call to a worker takes.
const TIMEOUT_MS: Millis = 5_000;
/// Minimum interval between two rounds of deliveries, so that commands that become due close
/// together are sent together.
const DELIVERY_INTERVAL_MS: Millis = 50;

/// Direct commands in flight to one machine.
#[derive(Clone, Debug)]
pub(super) struct DirectCall {
    /// The machine's name. Its index may belong to another machine by the time of the reply.
    pub(super) machine: String,
    pub(super) sent_at: Millis,
}

/// The direct commands in flight and the time of the last delivery.
#[derive(Debug, Default)]
pub(super) struct CommandDelivery {
    /// Keyed by call id.
    in_flight: BTreeMap<u64, DirectCall>,
    /// When commands were last delivered.
    delivered_at: Millis,
}

impl CommandDelivery {
    /// Returns whether a round of deliveries is due, and if so marks it as done.
    pub(super) fn take_due(&mut self, now: Millis) -> bool {
        let due = now >= self.delivered_at + DELIVERY_INTERVAL_MS;
        if due {
            self.delivered_at = now;
        }
        due
    }

    /// The number of deliveries that may be started while at most `max_in_flight` are in flight.
    pub(super) fn available(&self, max_in_flight: usize) -> usize {
        max_in_flight.saturating_sub(self.in_flight.len())
    }

    /// Registers direct commands as in flight.
    pub(super) fn sent(&mut self, call: u64, direct_call: DirectCall) {
        self.in_flight.insert(call, direct_call);
    }

    /// Removes and returns the call that a reply belongs to. `None` if it is not in flight.
    pub(super) fn take(&mut self, call: u64) -> Option<DirectCall> {
        self.in_flight.remove(&call)
    }

    /// Returns the ids of the calls without a reply within the timeout.
    pub(super) fn expired(&self, now: Millis) -> Vec<u64> {
        let expired = self.in_flight.iter();
        let expired = expired.filter(|(_, direct_call)| now > direct_call.sent_at + TIMEOUT_MS);
        expired.map(|(&call, _)| call).collect()
    }

    /// Discards all calls in flight at the end of a term.
    pub(super) fn clear(&mut self) {
        self.in_flight.clear();
    }
}
