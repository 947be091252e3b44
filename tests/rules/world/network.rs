//! What is under way: requests, answers and messages, late, lost or held back.

use super::*;

impl World {
    /// True if a controller stands still and can take nothing in now.
    pub(super) fn stands_still(&mut self, node: usize) -> bool {
        let (now, node) = (self.now, &mut self.nodes[node]);
        if now >= node.frozen_until {
            return false;
        }
        let still = node.last_inputs == 0;
        node.last_inputs = node.last_inputs.saturating_sub(1);
        still
    }

    pub(super) fn output(&mut self, node: usize, incarnation: u64, output: Output) {
        match output {
            Output::Answer { request, answer } => {
                let delay = self.delay();
                if let Some(Waiting::Report { .. }) = self.requests.get(&(node, request)) {
                    self.sent.report_answers += 1;
                    self.sent.leader_answers += usize::from(self.leader() == Some(node));
                }
                match self.requests.remove(&(node, request)) {
                    Some(Waiting::User { job, kind }) => {
                        let given = self.now;
                        self.at(
                            self.now + delay,
                            Happening::UserAnswered {
                                job,
                                kind,
                                given,
                                answer,
                            },
                        );
                    }
                    Some(Waiting::Health) => self.nodes[node].healthy = answer.status == 200,
                    Some(Waiting::Report { machine, id })
                        if self.now >= self.nodes[node].worker_cut.max(self.apart_from(node, &machine)) =>
                    {
                        self.at(self.now + delay, Happening::ReportAnswered { machine, id, answer });
                    }
                    _ => {}
                }
            }
            Output::Peer { node: to, message } => {
                self.sent.messages += 1;
                let Some(to) = self.nodes.iter().position(|other| other.name == to) else {
                    return;
                };
                let alone = self.alone_until(node).max(self.alone_until(to));
                let cut = self.nodes[node].peer_cut.max(self.nodes[to].peer_cut).max(alone);
                if self.now < cut.max(self.peers_refuse) {
                    return;
                }
                let (delay, to_life) = (self.delay(), self.nodes[to].incarnation);
                let input = Input::Peer {
                    node: self.nodes[node].name.clone(),
                    message: Box::new(over_the_wire(&message)),
                };
                self.at(
                    self.now + delay,
                    Happening::Input {
                        node: to,
                        incarnation: to_life,
                        input,
                    },
                );
            }
            Output::Store { call, request } => {
                self.sent.store_requests += 1;
                self.sent.store_writes += request.writes() as usize;
                if self.now < self.nodes[node].refused {
                    self.refuse(node, incarnation, call, request);
                    return;
                }
                let reads = matches!(
                    request,
                    StoreRequest::Get(_) | StoreRequest::List { .. } | StoreRequest::Watch { .. }
                );
                if reads && self.now < self.nodes[node].reads_lost {
                    let reply = StoreReply::Unanswered;
                    let input = Input::Store { call, reply };
                    self.at(
                        self.now + 2_000,
                        Happening::Input {
                            node,
                            incarnation,
                            input,
                        },
                    );
                    return;
                }
                let alone = self.alone_until(node);
                let cut = self.nodes[node].store_cut.max(alone);
                if self.now < cut {
                    // Held back: applied late, when nobody waits any more.
                    if matches!(request, StoreRequest::Transact(_)) && self.rng.random_bool(0.5) {
                        let late = cut + self.rng.random_range(0..3_000);
                        self.at(
                            late,
                            Happening::Store {
                                node,
                                incarnation,
                                call,
                                request,
                                reply: false,
                            },
                        );
                    }
                    let input = Input::Store {
                        call,
                        reply: StoreReply::Unanswered,
                    };
                    self.at(
                        self.now + 2_000,
                        Happening::Input {
                            node,
                            incarnation,
                            input,
                        },
                    );
                    return;
                }
                let slow = if self.now < self.store_slow { 15 } else { 1 };
                let delay = self.delay() * slow;
                let held = self.now < self.late_writes
                    && matches!(request, StoreRequest::Transact(_))
                    && self.rng.random_bool(0.33);
                let lost = held || self.rng.random_bool(0.003);
                if lost {
                    let input = Input::Store {
                        call,
                        reply: StoreReply::Unanswered,
                    };
                    self.at(
                        self.now + 2_000,
                        Happening::Input {
                            node,
                            incarnation,
                            input,
                        },
                    );
                }
                let late = match (held, lost) {
                    (true, _) => self.rng.random_range(2_000..12_000),
                    (_, true) => self.rng.random_range(0..8_000),
                    _ => delay,
                };
                self.at(
                    self.now + late,
                    Happening::Store {
                        node,
                        incarnation,
                        call,
                        request,
                        reply: !lost,
                    },
                );
            }
            Output::Cloud { call, request } => {
                let delay = self.rng.random_range(50..300);
                let lost = self.rng.random_bool(0.02);
                if lost {
                    let input = Input::Cloud {
                        call,
                        reply: CloudReply::Unanswered,
                    };
                    self.at(
                        self.now + 6_000,
                        Happening::Input {
                            node,
                            incarnation,
                            input,
                        },
                    );
                }
                let late = if lost { self.rng.random_range(0..15_000) } else { delay };
                self.at(
                    self.now + late,
                    Happening::Cloud {
                        node,
                        incarnation,
                        call,
                        request,
                        reply: !lost,
                    },
                );
            }
            Output::Worker {
                call,
                address,
                commands,
            } => {
                self.sent.direct_commands += 1;
                let delay = self.delay();
                let cut = self
                    .workers
                    .get(&address)
                    .map_or(0, |worker| {
                        worker.cut_until.max(worker.deaf_until).max(worker.hung_until)
                    })
                    .max(self.nodes[node].worker_cut)
                    .max(self.apart_from(node, &address));
                let held = self.now < cut;
                if !held && self.now < self.held_commands && self.rng.random_bool(0.5) {
                    self.hold_command(node, incarnation, call, address, commands);
                    return;
                }
                if held || self.rng.random_bool(0.02) {
                    let input = Input::Worker {
                        call,
                        reply: WorkerReply::Unanswered,
                    };
                    self.at(
                        self.now + 2_500,
                        Happening::Input {
                            node,
                            incarnation,
                            input,
                        },
                    );
                    // Delivered late, perhaps minutes after its time.
                    let late = if held { cut - self.now } else { 0 } + self.rng.random_range(0..20_000);
                    self.at(
                        self.now + late,
                        Happening::Direct {
                            node,
                            incarnation,
                            call,
                            machine: address,
                            commands,
                            reply: false,
                        },
                    );
                } else {
                    self.at(
                        self.now + delay,
                        Happening::Direct {
                            node,
                            incarnation,
                            call,
                            machine: address,
                            commands,
                            reply: true,
                        },
                    );
                }
            }
        }
    }

    pub(super) fn happen(&mut self, happening: Happening) {
        if let Happening::Tick(node) | Happening::Input { node, .. } | Happening::ReportArrives { node, .. } =
            &happening
            && self.stands_still(*node)
        {
            // The tick first: it was due all the time.
            let late = u64::from(!matches!(happening, Happening::Tick(_)));
            let thaw = self.nodes[*node].frozen_until;
            self.at(thaw + late, happening);
            return;
        }
        match happening {
            Happening::Thawed {
                node,
                incarnation,
                output,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.output(node, incarnation, output);
                }
            }
            Happening::Tick(node) => {
                if self.nodes[node].controller.is_some() {
                    self.step(node, Input::Tick);
                    self.at(self.now + 50, Happening::Tick(node));
                }
            }
            Happening::Input {
                node,
                incarnation,
                input,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.step(node, input);
                }
            }
            Happening::Store {
                node,
                incarnation,
                call,
                request,
                reply,
            } => self.store_call(node, incarnation, call, request, reply),
            Happening::Cloud {
                node,
                incarnation,
                call,
                request,
                reply,
            } => {
                let answer = self.cloud_call(&request);
                if reply {
                    let input = Input::Cloud { call, reply: answer };
                    self.at(
                        self.now + 20,
                        Happening::Input {
                            node,
                            incarnation,
                            input,
                        },
                    );
                }
            }
            Happening::Direct {
                node,
                incarnation,
                call,
                machine,
                commands,
                reply,
            } => {
                let answer = self.direct(&machine, &commands);
                if reply {
                    let delay = self.delay();
                    let input = Input::Worker { call, reply: answer };
                    self.at(
                        self.now + delay,
                        Happening::Input {
                            node,
                            incarnation,
                            input,
                        },
                    );
                }
            }
            Happening::ReportArrives {
                node,
                machine,
                report,
                id,
            } => {
                if self.nodes[node].controller.is_none() {
                    return;
                }
                let request = self.expect(node, Waiting::Report { machine, id });
                self.step(node, Input::Report { request, report });
            }
            Happening::ReportAnswered { machine, id, answer } => self.report_answered(&machine, id, &answer),
            Happening::World => {
                self.world();
                self.at(self.now + 100, Happening::World);
            }
            Happening::User(job) => {
                self.at(self.now + 2_500, Happening::User(job));
                self.user(job);
            }
            Happening::UserNow(job) => self.user(job),
            Happening::UserAnswered {
                job,
                kind,
                given,
                answer,
            } => self.user_answered(job, kind, given, &answer),
            Happening::Trouble(trouble) => self.trouble(trouble),
            Happening::Restart(node) => self.restart(node),
        }
    }

    pub(super) fn store_call(&mut self, node: usize, incarnation: u64, call: u64, request: StoreRequest, reply: bool) {
        if self.now < self.store_out {
            if let StoreRequest::Watch { wait_ms, .. } = &request
                && *wait_ms > 0
            {
                let until = self.now + wait_ms;
                self.watches.push((until, node, incarnation, call, request));
            } else if reply {
                let input = Input::Store {
                    call,
                    reply: StoreReply::Unavailable,
                };
                self.at(
                    self.now + 2,
                    Happening::Input {
                        node,
                        incarnation,
                        input,
                    },
                );
            }
            return;
        }
        let answer = self.store.execute(self.now, &request);
        if let (StoreRequest::Watch { wait_ms, .. }, StoreReply::Log(log)) = (&request, &answer)
            && *wait_ms > 0
            && log.events.is_empty()
        {
            let until = self.now + wait_ms;
            self.watches.push((until, node, incarnation, call, request));
            return;
        }
        if reply {
            let delay = self.delay();
            let input = Input::Store { call, reply: answer };
            self.at(
                self.now + delay,
                Happening::Input {
                    node,
                    incarnation,
                    input,
                },
            );
        }
        self.serve_watches();
    }

    pub(super) fn serve_watches(&mut self) {
        if self.now < self.store_out {
            return;
        }
        for (until, node, incarnation, call, request) in std::mem::take(&mut self.watches) {
            let answer = self.store.execute(self.now, &request);
            let empty = matches!(&answer, StoreReply::Log(log) if log.events.is_empty());
            let node_shut = &self.nodes[node];
            let shut = node_shut.store_cut.max(node_shut.refused).max(node_shut.reads_lost);
            let shut = shut.max(self.alone_until(node));
            if (empty && self.now < until) || self.now < shut {
                self.watches.push((until, node, incarnation, call, request));
            } else {
                let delay = self.delay();
                let input = Input::Store { call, reply: answer };
                self.at(
                    self.now + delay,
                    Happening::Input {
                        node,
                        incarnation,
                        input,
                    },
                );
            }
        }
    }

    /// 503 to this controller alone; its watches wait as in an outage.
    fn refuse(&mut self, node: usize, incarnation: u64, call: u64, request: StoreRequest) {
        let delay = self.delay();
        match &request {
            StoreRequest::Watch { wait_ms, .. } if *wait_ms > 0 => {
                let until = self.now + wait_ms;
                self.watches.push((until, node, incarnation, call, request));
            }
            _ => {
                let reply = StoreReply::Unavailable;
                let input = Input::Store { call, reply };
                self.at(
                    self.now + delay,
                    Happening::Input {
                        node,
                        incarnation,
                        input,
                    },
                );
            }
        }
    }

    /// The command is carried out at once or late, and nobody hears of it in time.
    fn hold_command(&mut self, node: usize, incarnation: u64, call: u64, machine: String, commands: DirectCommands) {
        let reply = WorkerReply::Unanswered;
        let input = Input::Worker { call, reply };
        self.at(
            self.now + 2_500,
            Happening::Input {
                node,
                incarnation,
                input,
            },
        );
        let late = if self.rng.random_bool(0.5) {
            5
        } else {
            self.rng.random_range(1_000..9_000)
        };
        let reply = false;
        self.at(
            self.now + late,
            Happening::Direct {
                node,
                incarnation,
                call,
                machine,
                commands,
                reply,
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
        if node == SOUTH_NODE { self.south_alone } else { 0 }
    }

    /// Until when a controller and machines of the south, or of the north, can't
    /// reach each other.
    pub(super) fn apart(&self, node: usize, south: bool) -> u64 {
        if (node == SOUTH_NODE) == south {
            0
        } else {
            self.south_alone
        }
    }

    fn apart_from(&self, node: usize, machine: &str) -> u64 {
        self.workers
            .get(machine)
            .map_or(0, |worker| self.apart(node, worker.zone == "south"))
    }
}
