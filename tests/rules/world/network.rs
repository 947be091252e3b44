//! The network: answers and messages on their way, and who is cut off from whom.

use super::*;

impl World {
    /// True if a controller is frozen and takes no input now.
    pub(super) fn stands_still(&mut self, node: usize) -> bool {
        let (now, node) = (self.now, &mut self.nodes[node]);
        if now >= node.frozen_until {
            return false;
        }
        let still = node.last_inputs == 0;
        node.last_inputs = node.last_inputs.saturating_sub(1);
        still
    }

    /// Sends what a controller puts out, as far as the network lets it through.
    pub(super) fn output(&mut self, node: usize, incarnation: u64, output: Output) {
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

    fn send_answer(&mut self, node: usize, request: u64, answer: Answer) {
        let delay = self.delay();
        if let Some(Waiting::Report { .. }) = self.requests.get(&(node, request)) {
            self.sent.report_answers += 1;
            self.sent.leader_answers += usize::from(self.leader() == Some(node));
        }
        match self.requests.remove(&(node, request)) {
            Some(Waiting::User { job, kind }) => {
                let answered = ScheduledEvent::UserAnswered {
                    job,
                    kind,
                    given: self.now,
                    answer,
                };
                self.at(self.now + delay, answered);
            }
            Some(Waiting::Health) => self.nodes[node].healthy = answer.status == 200,
            Some(Waiting::Report { machine, id })
                if self.now >= self.nodes[node].worker_cut_until.max(self.apart_from(node, &machine)) =>
            {
                self.at(self.now + delay, ScheduledEvent::ReportAnswered { machine, id, answer });
            }
            _ => {}
        }
    }

    fn send_to_peer(&mut self, node: usize, to: &str, message: &Message) {
        self.sent.messages += 1;
        let Some(to) = self.nodes.iter().position(|other| other.name == to) else {
            return;
        };
        let alone = self.alone_until(node).max(self.alone_until(to));
        let cut = self.nodes[node]
            .peer_cut_until
            .max(self.nodes[to].peer_cut_until)
            .max(alone);
        if self.now < cut.max(self.ongoing.peers_refuse_until) {
            return;
        }
        let (delay, incarnation) = (self.delay(), self.nodes[to].incarnation);
        let input = Input::Peer {
            node: self.nodes[node].name.clone(),
            message: Box::new(over_the_wire(message)),
        };
        self.at(
            self.now + delay,
            ScheduledEvent::Input {
                node: to,
                incarnation,
                input,
            },
        );
    }

    fn send_to_cloud(&mut self, caller: Caller, request: CloudRequest) {
        let delay = self.rng.random_range(50..300);
        let lost = self.rng.random_bool(0.02);
        if lost {
            self.give_cloud_reply(caller, 6_000, CloudReply::Unanswered);
        }
        let late = if lost { self.rng.random_range(0..15_000) } else { delay };
        let arrival = ScheduledEvent::Cloud {
            caller,
            request,
            reply: !lost,
        };
        self.at(self.now + late, arrival);
    }

    /// Delivers the reply of the cloud to the run of the controller that made the call.
    pub(super) fn give_cloud_reply(&mut self, caller: Caller, after_ms: u64, reply: CloudReply) {
        let Caller {
            node,
            incarnation,
            call,
        } = caller;
        let input = Input::Cloud { call, reply };
        self.at(
            self.now + after_ms,
            ScheduledEvent::Input {
                node,
                incarnation,
                input,
            },
        );
    }

    /// Notes that a request to a controller waits for its answer.
    pub(super) fn expect(&mut self, node: usize, waiting: Waiting) -> u64 {
        self.next_request += 1;
        self.requests.insert((node, self.next_request), waiting);
        self.next_request
    }

    /// Until when a controller is cut off with its zone from all other zones.
    pub(super) fn alone_until(&self, node: usize) -> u64 {
        if node == SOUTH_NODE {
            self.ongoing.south_isolated_until
        } else {
            0
        }
    }

    /// Until when a controller and machines of the south, or of the north, can't
    /// reach each other.
    pub(super) fn apart(&self, node: usize, south: bool) -> u64 {
        if (node == SOUTH_NODE) == south {
            0
        } else {
            self.ongoing.south_isolated_until
        }
    }

    pub(super) fn apart_from(&self, node: usize, machine: &str) -> u64 {
        self.workers
            .get(machine)
            .map_or(0, |worker| self.apart(node, worker.zone == "south"))
    }
}

/// What a link carries is what comes out of it.
fn over_the_wire(message: &Message) -> Message {
    let bytes = rmp_serde::to_vec(message).expect("written");
    rmp_serde::from_slice(&bytes).expect("read")
}
