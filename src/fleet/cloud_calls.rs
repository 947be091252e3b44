//! How far the calls to the cloud have come that change or list the fleet.

use super::{Fleet, MachineRequestRecord};
use crate::Millis;
use crate::resources::Offer;

/// How far a kind of call has come of which one is in flight at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// The next call may be made from this time on.
    NotBefore(Millis),
    /// A call is made and not answered yet.
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

    /// A call is made.
    pub fn start(&mut self) {
        *self = CallState::InFlight;
    }

    /// The call is over, with or without success; the next one may follow at `at`.
    pub fn finish(&mut self, at: Millis) {
        *self = CallState::NotBefore(at);
    }
}

/// A machine request that is written to the state service and not yet answered for good.
#[derive(Clone, Debug)]
pub struct PendingMachineRequest {
    /// What is asked for.
    pub value: MachineRequestRecord,
    /// Version of its key.
    pub version: u64,
    call: CallState,
}

impl Fleet {
    /// The machine requests that are written and not answered for good.
    pub fn machine_requests(&self) -> &[PendingMachineRequest] {
        &self.machine_requests
    }

    /// A machine request is in the state service, so the cloud may be asked.
    pub fn add_machine_request(&mut self, value: MachineRequestRecord, version: u64) {
        self.machine_requests.push(PendingMachineRequest {
            value,
            version,
            call: CallState::default(),
        });
    }

    /// A machine request that is due, which is in flight from now on.
    pub fn start_machine_request(&mut self, now: Millis) -> Option<MachineRequestRecord> {
        let pending = self
            .machine_requests
            .iter_mut()
            .find(|pending| pending.call.is_due(now))?;
        pending.call.start();
        Some(pending.value.clone())
    }

    /// The call with this request may or may not have been carried out: the very same
    /// request is sent again, until it is answered.
    pub fn retry_machine_request(&mut self, request: &str, at: Millis) {
        let mut pending = self.machine_requests.iter_mut();
        if let Some(pending) = pending.find(|pending| pending.value.request == request) {
            pending.call.finish(at);
        }
    }

    /// The cloud has answered this request for good.
    pub fn finish_machine_request(&mut self, request: &str) -> Option<PendingMachineRequest> {
        let mut pending = self.machine_requests.iter();
        let position = pending.position(|pending| pending.value.request == request)?;
        Some(self.machine_requests.remove(position))
    }

    /// The cloud had fewer machines of this offer than were asked for: it is left alone
    /// for a while.
    pub fn suspend_offer(&mut self, offer: Offer, until: Millis) {
        self.refused.insert(offer, until);
    }

    pub(super) fn is_refused(&self, offer: Offer, now: Millis) -> bool {
        self.refused.get(&offer).is_some_and(|&until| now < until)
    }
}
