//! Requests to the state service on their way: delivered, delayed, lost, refused or watched.

use super::*;

/// After so long without an answer, a controller takes a request for lost.
const STORE_TIMEOUT_MS: u64 = 2_000;

/// A watch that is answered when something changes, at the latest when its wait is over.
pub(super) struct OpenWatch {
    until: u64,
    caller: Caller,
    request: StoreRequest,
}

impl World {
    pub(super) fn send_to_store(&mut self, caller: Caller, request: StoreRequest) {
        self.sent.store_requests += 1;
        self.sent.store_writes += request.writes() as usize;
        let node = &self.nodes[caller.node];
        if self.now < node.refused_until {
            self.refuse(caller, request);
            return;
        }
        let reads = matches!(
            request,
            StoreRequest::Get(_) | StoreRequest::List { .. } | StoreRequest::Watch { .. }
        );
        if reads && self.now < node.reads_lost_until {
            self.give_store_reply(caller, STORE_TIMEOUT_MS, StoreReply::Unanswered);
            return;
        }
        let cut = node.store_cut_until.max(self.alone_until(caller.node));
        if self.now < cut {
            self.hold_until_reconnected(caller, cut, request);
            return;
        }
        self.deliver_to_store(caller, request);
    }

    /// Held back: applied late, when nobody waits any more.
    fn hold_until_reconnected(&mut self, caller: Caller, cut: u64, request: StoreRequest) {
        if matches!(request, StoreRequest::Transact(_)) && self.rng.random_bool(0.5) {
            let late = cut + self.rng.random_range(0..3_000);
            let arrival = ScheduledEvent::Store {
                caller,
                request,
                reply: false,
            };
            self.at(late, arrival);
        }
        self.give_store_reply(caller, STORE_TIMEOUT_MS, StoreReply::Unanswered);
    }

    fn deliver_to_store(&mut self, caller: Caller, request: StoreRequest) {
        let slow = if self.now < self.ongoing.store_slow_until {
            15
        } else {
            1
        };
        let delay = self.delay() * slow;
        let held = self.now < self.ongoing.late_writes_until
            && matches!(request, StoreRequest::Transact(_))
            && self.rng.random_bool(0.33);
        let lost = held || self.rng.random_bool(0.003);
        if lost {
            self.give_store_reply(caller, STORE_TIMEOUT_MS, StoreReply::Unanswered);
        }
        let late = match (held, lost) {
            (true, _) => self.rng.random_range(2_000..12_000),
            (_, true) => self.rng.random_range(0..8_000),
            _ => delay,
        };
        let arrival = ScheduledEvent::Store {
            caller,
            request,
            reply: !lost,
        };
        self.at(self.now + late, arrival);
    }

    pub(super) fn store_call(&mut self, caller: Caller, request: StoreRequest, reply: bool) {
        if self.now < self.ongoing.store_out_until {
            if let StoreRequest::Watch { wait_ms, .. } = &request
                && *wait_ms > 0
            {
                self.keep_watch(caller, *wait_ms, request);
            } else if reply {
                self.give_store_reply(caller, 2, StoreReply::Unavailable);
            }
            return;
        }
        let answer = self.store.execute(self.now, &request);
        if let (StoreRequest::Watch { wait_ms, .. }, StoreReply::Log(log)) = (&request, &answer)
            && *wait_ms > 0
            && log.events.is_empty()
        {
            self.keep_watch(caller, *wait_ms, request);
            return;
        }
        if reply {
            let delay = self.delay();
            self.give_store_reply(caller, delay, answer);
        }
        self.serve_watches();
    }

    fn keep_watch(&mut self, caller: Caller, wait_ms: u64, request: StoreRequest) {
        let until = self.now + wait_ms;
        self.watches.push(OpenWatch { until, caller, request });
    }

    pub(super) fn serve_watches(&mut self) {
        if self.now < self.ongoing.store_out_until {
            return;
        }
        for watch in std::mem::take(&mut self.watches) {
            let answer = self.store.execute(self.now, &watch.request);
            let empty = matches!(&answer, StoreReply::Log(log) if log.events.is_empty());
            let node = &self.nodes[watch.caller.node];
            let shut = node.store_cut_until.max(node.refused_until).max(node.reads_lost_until);
            let shut = shut.max(self.alone_until(watch.caller.node));
            if (empty && self.now < watch.until) || self.now < shut {
                self.watches.push(watch);
            } else {
                let delay = self.delay();
                self.give_store_reply(watch.caller, delay, answer);
            }
        }
    }

    /// 503 to this controller alone; its watches wait as in an outage.
    fn refuse(&mut self, caller: Caller, request: StoreRequest) {
        let delay = self.delay();
        match &request {
            StoreRequest::Watch { wait_ms, .. } if *wait_ms > 0 => self.keep_watch(caller, *wait_ms, request),
            _ => self.give_store_reply(caller, delay, StoreReply::Unavailable),
        }
    }

    /// Delivers the reply of the state service to the run of the controller that made the call.
    fn give_store_reply(&mut self, caller: Caller, after_ms: u64, reply: StoreReply) {
        let Caller {
            node,
            incarnation,
            call,
        } = caller;
        let input = Input::Store { call, reply };
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
