//! State of the calls to the cloud that list or change the fleet.

use super::{Fleet, MachineRequestRecord};
use crate::Millis;
use crate::resources::Offer;

/// State of a kind of call of which at most one is in flight at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// No call is in flight, and the next one may be made from this time on.
    NotBefore(Millis),
    /// A call has been made and is not answered yet.
    InFlight,
}

impl Default for CallState {
    fn default() -> Self {
        CallState::NotBefore(0)
    }
}

impl CallState {
    /// Whether a call may be made now.
    pub fn is_due(&self, now: Millis) -> bool {
        match self {
            CallState::NotBefore(at) => now >= *at,
            CallState::InFlight => false,
        }
    }

    /// Marks a call as made.
    pub fn start(&mut self) {
        *self = CallState::InFlight;
    }

    /// Marks the call as completed, successfully or not. The next one may be made at `at`.
    pub fn finish(&mut self, at: Millis) {
        *self = CallState::NotBefore(at);
    }
}

/// A machine request that is written to the state service and that the cloud has not yet
/// conclusively answered.
#[derive(Clone, Debug)]
pub struct PendingMachineRequest {
    /// The stored request.
    pub value: MachineRequestRecord,
    /// Version of its key in the state service.
    pub version: u64,
    call: CallState,
}

impl Fleet {
    /// The machine requests that are written and not conclusively answered.
    pub fn machine_requests(&self) -> &[PendingMachineRequest] {
        &self.machine_requests
    }

    /// Adds a machine request that is in the state service and so may be sent to the cloud.
    pub fn add_machine_request(&mut self, value: MachineRequestRecord, version: u64) {
        self.machine_requests.push(PendingMachineRequest {
            value,
            version,
            call: CallState::default(),
        });
    }

    /// Returns a machine request that is due, if any, and marks it as in flight.
    pub fn start_machine_request(&mut self, now: Millis) -> Option<MachineRequestRecord> {
        let pending = self
            .machine_requests
            .iter_mut()
            .find(|pending| pending.call.is_due(now))?;
        pending.call.start();
        Some(pending.value.clone())
    }

    /// Schedules a repetition of this request at `at`, after a call with an unknown outcome.
    /// The identical request is repeated until it is answered.
    pub fn retry_machine_request(&mut self, request: &str, at: Millis) {
        let mut pending = self.machine_requests.iter_mut();
        if let Some(pending) = pending.find(|pending| pending.value.request == request) {
            pending.call.finish(at);
        }
    }

    /// Removes a request that the cloud has conclusively answered. Returns it if it was pending.
    pub fn finish_machine_request(&mut self, request: &str) -> Option<PendingMachineRequest> {
        let mut pending = self.machine_requests.iter();
        let position = pending.position(|pending| pending.value.request == request)?;
        Some(self.machine_requests.remove(position))
    }

    /// Stops requesting machines of this offer until `until`, after the cloud had fewer of
    /// them than were requested.
    pub fn suspend_offer(&mut self, offer: Offer, until: Millis) {
        self.suspended.insert(offer, until);
    }

    pub(super) fn is_suspended(&self, offer: Offer, now: Millis) -> bool {
        self.suspended.get(&offer).is_some_and(|&until| now < until)
    }
}
