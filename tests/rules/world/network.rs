//! The network between controllers, workers, users and the cloud, and its partitions.

use super::*;

impl World {
    /// Returns whether an input to a controller must wait because the controller is frozen.
    ///
    /// A controller still processes `inputs_before_freeze` inputs before it freezes; each call
    /// during the freeze uses up one of them.
    pub(super) fn defers_input(&mut self, node: usize) -> bool {
        let (now, node) = (self.now, &mut self.nodes[node]);
        if now >= node.frozen_until {
            return false;
        }
        let frozen = node.inputs_before_freeze == 0;
        node.inputs_before_freeze = node.inputs_before_freeze.saturating_sub(1);
        frozen
    }

    /// Sends an output of a controller through the network, which may delay or lose it.
    pub(super) fn send_output(&mut self, node: usize, incarnation: u64, output: Output) {
        match output {
            Output::Answer { request, answer } => self.send_answer(node, request, answer),
            Output::Peer { node: to, message } => self.send_to_peer(node, &to, &message),
            Output::Store { call, request } => self.send_to_store(
                Caller {
                    node,
                    incarnation,
                    call,
                },
                request,
            ),
            Output::Cloud { call, request } => self.send_to_cloud(
                Caller {
                    node,
                    incarnation,
                    call,
                },
                request,
            ),
            Output::Worker {
                call,
                address,
                commands,
            } => self.send_to_worker(
                Caller {
                    node,
                    incarnation,
                    call,
                },
                address,
                commands,
            ),
        }
    }

    /// Sends an answer to the user, worker or load balancer whose request it answers.
    ///
    /// The answer to a report is lost while the controller and the machine can't reach each other.
    /// The result of a health check takes effect without a delay.
    fn send_answer(&mut self, node: usize, request: u64, answer: Answer) {
        let delay = self.draw_network_delay_ms();
        if let Some(PendingRequest::Report { .. }) = self.pending_requests.get(&(node, request)) {
            self.sent.report_answers += 1;
            self.sent.leader_answers += usize::from(self.leader() == Some(node));
        }
        match self.pending_requests.remove(&(node, request)) {
            Some(PendingRequest::User { job, kind }) => {
                let answered = ScheduledEvent::UserAnswered {
                    job,
                    kind,
                    sent_at: self.now,
                    answer,
                };
                self.schedule(self.now + delay, answered);
            }
            Some(PendingRequest::Health) => self.nodes[node].healthy = answer.status == 200,
            Some(PendingRequest::Report { machine, id })
                if self.now
                    >= self.nodes[node]
                        .worker_cut_until
                        .max(self.partitioned_from_machine_until(node, &machine)) =>
            {
                let delay = delay + self.draw_answer_delay_ms();
                self.schedule(self.now + delay, ScheduledEvent::ReportAnswered { machine, id, answer });
            }
            _ => {}
        }
    }

    /// Draws by how much an answer to a report is late, in addition to the network delay.
    fn draw_answer_delay_ms(&mut self) -> u64 {
        if self.now < self.ongoing_faults.delayed_answers_until && self.rng.random_bool(0.5) {
            self.rng.random_range(500..3_900)
        } else {
            0
        }
    }

    /// Sends a message to another controller; it is lost while the two can't reach each other.
    fn send_to_peer(&mut self, node: usize, to: &str, message: &Message) {
        self.sent.messages += 1;
        let Some(to) = self.nodes.iter().position(|other| other.name == to) else {
            return;
        };
        let isolated = self.isolated_until(node).max(self.isolated_until(to));
        let cut = self.nodes[node]
            .peer_cut_until
            .max(self.nodes[to].peer_cut_until)
            .max(isolated);
        if self.now < cut.max(self.ongoing_faults.peer_messages_dropped_until) {
            return;
        }
        let (delay, incarnation) = (self.draw_network_delay_ms(), self.nodes[to].incarnation);
        let input = Input::Peer {
            node: self.nodes[node].name.clone(),
            message: Box::new(encode_and_decode(message)),
        };
        self.maybe_repeat_message(to, &input);
        self.schedule(
            self.now + delay,
            ScheduledEvent::Input {
                node: to,
                incarnation,
                input,
            },
        );
    }

    /// Sends a request to the cloud. In one of fifty cases the reply is lost, and the request
    /// arrives up to 15 s late.
    fn send_to_cloud(&mut self, caller: Caller, request: CloudRequest) {
        let delay = self.rng.random_range(50..300);
        let lost = self.rng.random_bool(0.02);
        if lost {
            self.schedule_cloud_reply(caller, 6_000, CloudReply::Unanswered);
        }
        let arrival_delay = if lost { self.rng.random_range(0..15_000) } else { delay };
        let arrival = ScheduledEvent::Cloud {
            caller,
            request,
            reply: !lost,
        };
        self.schedule(self.now + arrival_delay, arrival);
    }

    /// Schedules the reply of the cloud for the run of the controller that made the call.
    pub(super) fn schedule_cloud_reply(&mut self, caller: Caller, after_ms: u64, reply: CloudReply) {
        let Caller {
            node,
            incarnation,
            call,
        } = caller;
        let input = Input::Cloud { call, reply };
        self.schedule(
            self.now + after_ms,
            ScheduledEvent::Input {
                node,
                incarnation,
                input,
            },
        );
    }

    /// Registers a request to a controller that waits for an answer, and returns its number.
    pub(super) fn register_request(&mut self, node: usize, pending: PendingRequest) -> u64 {
        self.last_request += 1;
        self.pending_requests.insert((node, self.last_request), pending);
        self.last_request
    }

    /// Returns until when a controller is isolated together with the zone `south`.
    pub(super) fn isolated_until(&self, node: usize) -> u64 {
        if node == SOUTH_NODE {
            self.ongoing_faults.south_isolated_until
        } else {
            0
        }
    }

    /// Returns until when a controller can't reach the machines of the zone `south` (`south` is
    /// true) or of the zone `north`, because the zone `south` is isolated.
    pub(super) fn partitioned_until(&self, node: usize, south: bool) -> u64 {
        if (node == SOUTH_NODE) == south {
            0
        } else {
            self.ongoing_faults.south_isolated_until
        }
    }

    /// Returns until when a controller and the machine can't reach each other because the zone
    /// `south` is isolated.
    pub(super) fn partitioned_from_machine_until(&self, node: usize, machine: &str) -> u64 {
        self.workers
            .get(machine)
            .map_or(0, |worker| self.partitioned_until(node, worker.zone == "south"))
    }
}

/// Returns the message as it is after encoding and decoding on a link between controllers.
fn encode_and_decode(message: &Message) -> Message {
    let bytes = rmp_serde::to_vec(message).expect("encode a peer message");
    rmp_serde::from_slice(&bytes).expect("decode a peer message")
}
