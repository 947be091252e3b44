//! The delivery, delay and loss of direct commands from controllers to workers.

use super::*;

/// How long a controller waits for the answer to direct commands.
const COMMAND_TIMEOUT_MS: u64 = 2_500;

impl World {
    /// Sends direct commands to a worker.
    ///
    /// If the worker is unreachable or the request is lost, the controller gets no answer and
    /// the commands arrive late.
    pub(super) fn send_to_worker(&mut self, caller: Caller, machine: String, commands: DirectCommands) {
        self.sent.direct_commands += 1;
        let delay = self.draw_network_delay_ms();
        let cut = self
            .workers
            .get(&machine)
            .map_or(0, Worker::unreachable_until)
            .max(self.nodes[caller.node].worker_cut_until)
            .max(self.partitioned_from_machine_until(caller.node, &machine));
        let unreachable = self.now < cut;
        if !unreachable && self.now < self.ongoing_faults.delayed_commands_until && self.rng.random_bool(0.5) {
            self.delay_commands(caller, machine, commands);
            return;
        }
        let lost = unreachable || self.rng.random_bool(0.02);
        let arrival_delay = if lost {
            self.schedule_worker_reply(caller, COMMAND_TIMEOUT_MS, WorkerReply::Unanswered);
            // Delivered late, possibly minutes after the timeout.
            let after_cut = if unreachable { cut - self.now } else { 0 };
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
        self.schedule(self.now + arrival_delay, arrival);
    }

    /// Delivers direct commands after 5 ms or seconds late. Their answer is lost in both cases, so
    /// that the controller sees a timeout.
    fn delay_commands(&mut self, caller: Caller, machine: String, commands: DirectCommands) {
        self.schedule_worker_reply(caller, COMMAND_TIMEOUT_MS, WorkerReply::Unanswered);
        let arrival_delay = if self.rng.random_bool(0.5) {
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
        self.schedule(self.now + arrival_delay, arrival);
    }

    /// Schedules the reply of a worker for the run of the controller that made the call.
    pub(super) fn schedule_worker_reply(&mut self, caller: Caller, after_ms: u64, reply: WorkerReply) {
        let Caller {
            node,
            incarnation,
            call,
        } = caller;
        let input = Input::Worker { call, reply };
        self.schedule(
            self.now + after_ms,
            ScheduledEvent::Input {
                node,
                incarnation,
                input,
            },
        );
    }
}
