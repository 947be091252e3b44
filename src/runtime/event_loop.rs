//! Feeds the controller one event after the other and carries out what it wants.

use super::clock::Clock;
use super::event::Event;
use super::event_loop_monitor::{EventLoopMonitor, TICK_INTERVAL};
use super::service_calls::ServiceCalls;
use crate::controller::{Controller, Input, Output};
use crate::peers::{Answer, Message};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

/// Where messages to each peer are queued, by the name of the peer.
pub type PeerQueues = HashMap<String, mpsc::Sender<Message>>;

/// The queues of events, in the order of their priority.
///
/// The state service first, then workers and peers, users last: a leader that falls
/// behind must not lose its lease to reports, nor its workers to polls.
pub struct EventQueues {
    /// Answers of the state service, on which the leader's lease depends.
    pub store: mpsc::Receiver<Event>,
    /// Workers, peers, health checks and answers of other services.
    pub urgent: mpsc::Receiver<Event>,
    /// Users.
    pub users: mpsc::Receiver<Event>,
}

/// The controller with all that connects it to the world.
pub struct EventLoop {
    monitor: Arc<EventLoopMonitor>,
    clock: Clock,
    controller: Controller,
    calls: ServiceCalls,
    peers: PeerQueues,
    /// Takes the answer to each request that has none yet.
    has_unanswered_command: BTreeMap<u64, oneshot::Sender<Answer>>,
    last_request: u64,
}

impl EventLoop {
    /// An event loop that tells the monitor of its ticks.
    pub fn new(
        monitor: Arc<EventLoopMonitor>,
        controller: Controller,
        calls: ServiceCalls,
        peers: PeerQueues,
    ) -> EventLoop {
        EventLoop {
            monitor,
            clock: Clock::new(),
            controller,
            calls,
            peers,
            has_unanswered_command: BTreeMap::new(),
            last_request: 0,
        }
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self, mut queues: EventQueues) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                biased;
                _ = ticks.tick() => {
                    self.monitor.record_tick();
                    Event::Input(Input::Tick)
                }
                Some(event) = queues.store.recv() => event,
                Some(event) = queues.urgent.recv() => event,
                Some(event) = queues.users.recv() => event,
            };
            let input = self.input_of(event);
            for output in self.controller.step(self.clock.now(), input) {
                self.apply_effects(output);
            }
        }
    }

    fn input_of(&mut self, event: Event) -> Input {
        match event {
            Event::UserRequest { user_request, reply } => Input::User {
                request: self.register(reply),
                user_request,
            },
            Event::Health { reply } => Input::Health {
                request: self.register(reply),
            },
            Event::Report { report, reply } => Input::Report {
                request: self.register(reply),
                report,
            },
            Event::Input(input) => input,
        }
    }

    /// Numbers a request, so that its answer finds the way back.
    fn register(&mut self, reply: oneshot::Sender<Answer>) -> u64 {
        self.last_request += 1;
        self.has_unanswered_command.insert(self.last_request, reply);
        self.last_request
    }

    fn apply_effects(&mut self, output: Output) {
        match output {
            Output::Answer { request, answer } => self.answer(request, answer),
            Output::Peer { node, message } => self.send_to_peer(&node, message),
            Output::Store { call, request } => self.calls.store(call, request),
            Output::Cloud { call, request } => self.calls.cloud(call, request),
            Output::Worker {
                call,
                address,
                commands,
            } => self.calls.worker(call, address, commands),
        }
    }

    fn answer(&mut self, request: u64, answer: Answer) {
        if let Some(reply) = self.has_unanswered_command.remove(&request) {
            // The asker may have gone; then nobody needs it.
            let _ = reply.send(answer);
        }
    }

    fn send_to_peer(&self, node: &str, message: Message) {
        if let Some(queue) = self.peers.get(node) {
            // A full queue means a dead link; its messages are worth nothing by the
            // time it would take them.
            let _ = queue.try_send(message);
        }
    }
}
