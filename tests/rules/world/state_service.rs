//! The delivery, delay, loss and refusal of requests to the state service, and open watches.

use super::*;

/// How long a controller waits for the answer to a request that is lost.
const STORE_TIMEOUT_MS: u64 = 2_000;

/// A watch that is answered at the next change, or at `until` if nothing changes.
pub(super) struct OpenWatch {
    until: u64,
    caller: Caller,
    request: StoreRequest,
}

impl World {
    /// Sends a request to the state service, subject to the faults of the controller.
    pub(super) fn send_to_store(&mut self, caller: Caller, request: StoreRequest) {
        self.sent.store_requests += 1;
        self.sent.store_writes += request.writes() as usize;
        let node = &self.nodes[caller.node];
        if self.now < node.store_refuses_until {
            self.refuse(caller, request);
            return;
        }
        let reads = matches!(
            request,
            StoreRequest::Get(_) | StoreRequest::List { .. } | StoreRequest::Watch { .. }
        );
        if reads && self.now < node.store_reads_lost_until {
            self.schedule_store_reply(caller, STORE_TIMEOUT_MS, StoreReply::Unanswered);
            return;
        }
        let cut = node.store_cut_until.max(self.isolated_until(caller.node));
        if self.now < cut {
            self.hold_until_reconnected(caller, cut, request);
            return;
        }
        self.deliver_to_store(caller, request);
    }

    /// Lets a request of a disconnected controller time out.
    ///
    /// Half of the transactions are still applied, up to 3 s after the connection is back.
    fn hold_until_reconnected(&mut self, caller: Caller, cut: u64, request: StoreRequest) {
        if matches!(request, StoreRequest::Transact(_)) && self.rng.random_bool(0.5) {
            let arrival_at = cut + self.rng.random_range(0..3_000);
            let arrival = ScheduledEvent::Store {
                caller,
                request,
                reply: false,
            };
            self.schedule(arrival_at, arrival);
        }
        self.schedule_store_reply(caller, STORE_TIMEOUT_MS, StoreReply::Unanswered);
    }

    /// Delivers a request, which may be delayed or lose its reply.
    fn deliver_to_store(&mut self, caller: Caller, request: StoreRequest) {
        let slowdown = if self.now < self.ongoing_faults.store_slow_until {
            15
        } else {
            1
        };
        let delay = self.draw_network_delay_ms() * slowdown;
        let delayed = self.now < self.ongoing_faults.delayed_transactions_until
            && matches!(request, StoreRequest::Transact(_))
            && self.rng.random_bool(0.33);
        let lost = delayed || self.rng.random_bool(0.003);
        if lost {
            self.schedule_store_reply(caller, STORE_TIMEOUT_MS, StoreReply::Unanswered);
        }
        let arrival_delay = match (delayed, lost) {
            (true, _) => self.rng.random_range(2_000..12_000),
            (_, true) => self.rng.random_range(0..8_000),
            _ => delay,
        };
        let arrival = ScheduledEvent::Store {
            caller,
            request,
            reply: !lost,
        };
        self.schedule(self.now + arrival_delay, arrival);
    }

    /// Executes a request that reached the state service; a watch without changes is held open.
    pub(super) fn handle_store_request(&mut self, caller: Caller, request: StoreRequest, reply: bool) {
        if self.now < self.ongoing_faults.store_outage_until {
            if let StoreRequest::Watch { wait_ms, .. } = &request
                && *wait_ms > 0
            {
                self.hold_watch(caller, *wait_ms, request);
            } else if reply {
                self.schedule_store_reply(caller, 2, StoreReply::Unavailable);
            }
            return;
        }
        let answer = self.store.execute(self.now, &request);
        if let (StoreRequest::Watch { wait_ms, .. }, StoreReply::WatchLog(log)) = (&request, &answer)
            && *wait_ms > 0
            && log.events.is_empty()
        {
            self.hold_watch(caller, *wait_ms, request);
            return;
        }
        if reply {
            let delay = self.draw_network_delay_ms();
            self.schedule_store_reply(caller, delay, answer);
        }
        self.answer_watches();
    }

    /// Holds a watch open for up to `wait_ms`.
    fn hold_watch(&mut self, caller: Caller, wait_ms: u64, request: StoreRequest) {
        let until = self.now + wait_ms;
        self.watches.push(OpenWatch { until, caller, request });
    }

    /// Answers open watches that have changes or whose wait is over. Those of a controller that is
    /// cut off, refused or loses its reads stay open until the fault is over.
    pub(super) fn answer_watches(&mut self) {
        if self.now < self.ongoing_faults.store_outage_until {
            return;
        }
        for watch in std::mem::take(&mut self.watches) {
            let answer = self.store.execute(self.now, &watch.request);
            let empty = matches!(&answer, StoreReply::WatchLog(log) if log.events.is_empty());
            let node = &self.nodes[watch.caller.node];
            let unreachable_until = node
                .store_cut_until
                .max(node.store_refuses_until)
                .max(node.store_reads_lost_until);
            let unreachable_until = unreachable_until.max(self.isolated_until(watch.caller.node));
            if (empty && self.now < watch.until) || self.now < unreachable_until {
                self.watches.push(watch);
            } else {
                let delay = self.draw_network_delay_ms();
                self.schedule_store_reply(watch.caller, delay, answer);
            }
        }
    }

    /// Answers a request with 503, but holds watches open as in an outage.
    fn refuse(&mut self, caller: Caller, request: StoreRequest) {
        let delay = self.draw_network_delay_ms();
        match &request {
            StoreRequest::Watch { wait_ms, .. } if *wait_ms > 0 => self.hold_watch(caller, *wait_ms, request),
            _ => self.schedule_store_reply(caller, delay, StoreReply::Unavailable),
        }
    }

    /// Schedules the reply of the state service for the run of the controller that made the call.
    fn schedule_store_reply(&mut self, caller: Caller, after_ms: u64, reply: StoreReply) {
        let Caller {
            node,
            incarnation,
            call,
        } = caller;
        let input = Input::Store { call, reply };
        let state = &self.nodes[node];
        let slow_ms = if self.now < state.store_replies_slow_until {
            state.store_reply_delay_ms
        } else {
            0
        };
        self.schedule(
            self.now + after_ms + slow_ms,
            ScheduledEvent::Input {
                node,
                incarnation,
                input,
            },
        );
    }
}
