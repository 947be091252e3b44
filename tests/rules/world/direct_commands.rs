//! Direct commands from controllers to workers, delivered, delayed or lost.

use super::*;

/// After so long without an answer, a controller takes a direct command for lost.
const COMMAND_TIMEOUT_MS: u64 = 2_500;

impl World {
    pub(super) fn send_to_worker(&mut self, caller: Caller, machine: String, commands: DirectCommands) {
        self.sent.direct_commands += 1;
        let delay = self.delay();
        let cut = self
            .workers
            .get(&machine)
            .map_or(0, Worker::unreachable_until)
            .max(self.nodes[caller.node].worker_cut_until)
            .max(self.apart_from(caller.node, &machine));
        let held = self.now < cut;
        if !held && self.now < self.ongoing.held_commands_until && self.rng.random_bool(0.5) {
            self.hold_command(caller, machine, commands);
            return;
        }
        let lost = held || self.rng.random_bool(0.02);
        let late = if lost {
            self.give_worker_reply(caller, COMMAND_TIMEOUT_MS, WorkerReply::Unanswered);
            // Delivered late, perhaps minutes after its time.
            let after_cut = if held { cut - self.now } else { 0 };
            after_cut + self.rng.random_range(0..20_000)
        } else {
            delay
        };
        let arrival = ScheduledEvent::Direct {
            caller,
            machine,
            commands,
            reply: !lost,
        };
        self.at(self.now + late, arrival);
    }

    /// The command is carried out at once or late, and nobody hears of it in time.
    fn hold_command(&mut self, caller: Caller, machine: String, commands: DirectCommands) {
        self.give_worker_reply(caller, COMMAND_TIMEOUT_MS, WorkerReply::Unanswered);
        let late = if self.rng.random_bool(0.5) {
            5
        } else {
            self.rng.random_range(1_000..9_000)
        };
        let arrival = ScheduledEvent::Direct {
            caller,
            machine,
            commands,
            reply: false,
        };
        self.at(self.now + late, arrival);
    }

    /// Delivers the reply of a worker to the run of the controller that made the call.
    pub(super) fn give_worker_reply(&mut self, caller: Caller, after_ms: u64, reply: WorkerReply) {
        let Caller {
            node,
            incarnation,
            call,
        } = caller;
        let input = Input::Worker { call, reply };
        self.at(
            self.now + after_ms,
            ScheduledEvent::Input {
                node,
                incarnation,
                input,
            },
        );
    }
}
