//! Feeds events to the controller one at a time and carries out the outputs that it returns.

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

/// The queue of outgoing messages for each peer, by node name.
pub type PeerQueues = HashMap<String, mpsc::Sender<Message>>;

/// The receiving ends of the event queues, in descending order of priority.
///
/// The state service comes first, then workers and peers, and users last: a leader that
/// falls behind must not lose its lease because of reports, nor its workers because of
/// users' polls.
pub struct EventQueues {
    /// Replies of the state service, on which the leader's lease depends.
    pub store: mpsc::Receiver<Event>,
    /// Reports of workers, messages of peers, health checks and replies of other services.
    pub urgent: mpsc::Receiver<Event>,
    /// Requests from users.
    pub users: mpsc::Receiver<Event>,
}

/// The controller, its clock and its connections to services, peers and clients.
pub struct EventLoop {
    monitor: Arc<EventLoopMonitor>,
    clock: Clock,
    controller: Controller,
    calls: ServiceCalls,
    peers: PeerQueues,
    /// The reply channels of all requests that have not been answered yet, by request number.
    pending_replies: BTreeMap<u64, oneshot::Sender<Answer>>,
    last_request_number: u64,
}

impl EventLoop {
    /// Creates an event loop that records its ticks in `monitor`.
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
            pending_replies: BTreeMap::new(),
            last_request_number: 0,
        }
    }

    /// Processes events until the process ends.
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
            let input = self.input_from_event(event);
            for output in self.controller.step(self.clock.now(), input) {
                self.perform_output(output);
            }
        }
    }

    /// Returns the controller's input for an event. Registers the request if it needs an answer.
    fn input_from_event(&mut self, event: Event) -> Input {
        match event {
            Event::UserRequest { user_request, reply } => Input::User {
                request: self.register_request(reply),
                user_request,
            },
            Event::Health { reply } => Input::Health {
                request: self.register_request(reply),
            },
            Event::Report { report, reply } => Input::Report {
                request: self.register_request(reply),
                report,
            },
            Event::Input(input) => input,
        }
    }

    /// Assigns a number to a request and keeps the channel for its answer under it.
    fn register_request(&mut self, reply: oneshot::Sender<Answer>) -> u64 {
        self.last_request_number += 1;
        self.pending_replies.insert(self.last_request_number, reply);
        self.last_request_number
    }

    fn perform_output(&mut self, output: Output) {
        match output {
            Output::Answer { request, answer } => self.send_answer(request, answer),
            Output::Peer { node, message } => self.send_to_peer(&node, message),
            Output::Store { call, request } => self.calls.call_store(call, request),
            Output::Cloud { call, request } => self.calls.call_cloud(call, request),
            Output::Worker {
                call,
                address,
                commands,
            } => self.calls.call_worker(call, address, commands),
        }
    }

    fn send_answer(&mut self, request: u64, answer: Answer) {
        if let Some(reply) = self.pending_replies.remove(&request) {
            // Fails if the client has disconnected; the answer is then no longer needed.
            let _ = reply.send(answer);
        }
    }

    fn send_to_peer(&self, node: &str, message: Message) {
        if let Some(queue) = self.peers.get(node) {
            // A full queue means that the link is dead. Its messages would be out of date
            // by the time they could be sent, so they are dropped.
            let _ = queue.try_send(message);
        }
    }
}
