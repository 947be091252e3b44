//! Copies of messages that were carried out and answered, which arrive once more later.

use super::*;

impl World {
    /// Whether copies of requests to the state service were made.
    pub fn has_repeated_requests(&self) -> bool {
        self.ongoing_faults.repeated_requests_until > 0
    }

    /// Schedules a copy of direct commands that a worker answers now, in half of the cases.
    pub(super) fn maybe_repeat_commands(&mut self, caller: Caller, machine: &str, commands: &DirectCommands) {
        if self.now >= self.ongoing_faults.repeated_commands_until || self.rng.random_bool(0.5) {
            return;
        }
        let delay = match self.rng.random_range(0..3) {
            0 => self.rng.random_range(300..2_000),
            1 => self.rng.random_range(2_000..15_000),
            _ => self.rng.random_range(15_000..120_000),
        };
        let copy = ScheduledEvent::Direct {
            caller,
            machine: machine.into(),
            commands: commands.clone(),
            reply: false,
        };
        self.schedule(self.now + delay, copy);
    }

    /// Schedules a copy of a request that changes the state service, in a third of the cases.
    pub(super) fn maybe_repeat_store_request(&mut self, caller: Caller, request: &StoreRequest) {
        let changes_state = matches!(
            request,
            StoreRequest::Transact(_) | StoreRequest::Grant { .. } | StoreRequest::Renew(_)
        );
        if changes_state && let Some(at) = self.draw_repetition_of_request() {
            let request = request.clone();
            let reply = false;
            self.schedule(at, ScheduledEvent::Store { caller, request, reply });
        }
    }

    /// Schedules a copy of a request that the cloud answers now, in a third of the cases.
    pub(super) fn maybe_repeat_cloud_request(&mut self, caller: Caller, request: CloudRequest) {
        if let Some(at) = self.draw_repetition_of_request() {
            let reply = false;
            self.schedule(at, ScheduledEvent::Cloud { caller, request, reply });
        }
    }

    /// Draws whether and when a request to a service is carried out once more.
    fn draw_repetition_of_request(&mut self) -> Option<u64> {
        let is_repeated = self.now < self.ongoing_faults.repeated_requests_until && self.rng.random_bool(0.33);
        is_repeated.then(|| self.now + self.rng.random_range(300..20_000))
    }

    /// Schedules a copy of a message to a controller, in a tenth of the cases.
    pub(super) fn maybe_repeat_message(&mut self, node: usize, input: &Input) {
        if self.now < self.ongoing_faults.repeated_messages_until && self.rng.random_bool(0.1) {
            let at = self.now + self.rng.random_range(100..20_000);
            let input = input.clone();
            self.schedule(at, ScheduledEvent::RepeatedMessage { node, input });
        }
    }
}
