//! The only part that does I/O: serves users, workers and peers, carries out
//! what the controller wants, and feeds it what came of it.

mod calls;
mod client;
mod front;
mod http_server;
mod links;
mod pace;

pub use client::{Client, Failure};

use crate::controller::{Controller, Input, Output};
use crate::peers::{Answer, Message, UserRequest};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::wire::Report;
use crate::{Millis, Now};
use pace::{Pace, TICK};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

const USER_QUEUE: usize = 512;
/// Messages waiting for one peer; more means that its link is dead.
const LINK_QUEUE: usize = 256;

/// What the HTTP server and the calls hand to the event loop.
pub enum Event {
    /// A user asks.
    UserRequest {
        /// What is asked.
        user_request: UserRequest,
        /// Takes the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// A health check.
    Health {
        /// Takes the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// A worker reports.
    Report {
        /// What it says.
        report: Box<Report>,
        /// Takes the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// Anything else, as the controller takes it.
    Input(Input),
}

/// Sets TCP_NODELAY where the system lets it be set: without it a connection costs
/// some latency, while one dropped for it would be of no use at all.
fn send_without_delay(stream: &tokio::net::TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "TCP_NODELAY can't be set");
    }
}

struct Clock {
    start: Instant,
}

impl Clock {
    fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            // Times start well above 0, so that "long ago" can be told.
            monotonic: self.start.elapsed().as_millis() as Millis + 1_000_000,
            wall_clock: wall.map_or(0, |wall| wall.as_millis() as u64),
        }
    }
}

/// Serves until the process is killed.
pub async fn serve(settings: Settings, policy: Policy) -> std::io::Result<()> {
    let connections = settings.connections();
    let (urgent, urgent_events) = mpsc::channel(settings.event_queue());
    let (users, user_events) = mpsc::channel(USER_QUEUE);
    let (store, store_events) = mpsc::channel(settings.event_queue());
    let front = front::Front::new(urgent.clone(), users, connections.served, settings.bodies_kib());
    let listener = listen(settings.listen, connections.backlog)?;
    let pace = Arc::new(Pace::new());
    tokio::spawn(http_server::serve(listener, front, pace.clone()));
    let peer_listener = TcpListener::bind(settings.peer_listen).await?;
    tokio::spawn(links::accept(peer_listener, urgent.clone()));
    tracing::info!(node = settings.node, zone = settings.zone, listen = %settings.listen, "started");
    let event_loop = EventLoop {
        clock: Clock { start: Instant::now() },
        pace,
        links: dial_peers(&settings),
        calls: calls::Calls::new(&settings, connections.kept_idle, urgent, store),
        controller: Controller::new(settings, policy, rand::random()),
        waiting: BTreeMap::new(),
        next_request: 0,
    };
    // In a task of its own: waking the future that `block_on` runs costs a system
    // call each time, waking a task does not.
    let served = tokio::spawn(event_loop.run(store_events, urgent_events, user_events));
    served.await.map_err(std::io::Error::other)
}

/// `backlog`: connections that may wait to be accepted.
fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

fn dial_peers(settings: &Settings) -> HashMap<String, mpsc::Sender<Message>> {
    let mut links = HashMap::new();
    for peer in &settings.peers {
        let (sender, receiver) = mpsc::channel(LINK_QUEUE);
        tokio::spawn(links::dial(peer.address, receiver));
        links.insert(peer.node.clone(), sender);
    }
    links
}

/// Feeds the controller one event after the other and carries out what it wants.
struct EventLoop {
    clock: Clock,
    pace: Arc<Pace>,
    controller: Controller,
    calls: calls::Calls,
    links: HashMap<String, mpsc::Sender<Message>>,
    /// Who waits for the answer to a request.
    waiting: BTreeMap<u64, oneshot::Sender<Answer>>,
    next_request: u64,
}

impl EventLoop {
    async fn run(
        mut self,
        mut store_events: mpsc::Receiver<Event>,
        mut urgent_events: mpsc::Receiver<Event>,
        mut user_events: mpsc::Receiver<Event>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // The state service first, then workers and peers, users last: a leader
            // that falls behind must not lose its lease to reports, nor its workers
            // to polls.
            let event = tokio::select! {
                biased;
                _ = tick.tick() => {
                    self.pace.tick();
                    Event::Input(Input::Tick)
                }
                Some(event) = store_events.recv() => event,
                Some(event) = urgent_events.recv() => event,
                Some(event) = user_events.recv() => event,
            };
            let input = self.input(event);
            for output in self.controller.step(self.clock.now(), input) {
                self.apply_effects(output);
            }
        }
    }

    fn input(&mut self, event: Event) -> Input {
        match event {
            Event::UserRequest { user_request, reply } => Input::User {
                request: self.expect(reply),
                user_request,
            },
            Event::Health { reply } => Input::Health {
                request: self.expect(reply),
            },
            Event::Report { report, reply } => Input::Report {
                request: self.expect(reply),
                report,
            },
            Event::Input(input) => input,
        }
    }

    fn expect(&mut self, reply: oneshot::Sender<Answer>) -> u64 {
        self.next_request += 1;
        self.waiting.insert(self.next_request, reply);
        self.next_request
    }

    fn apply_effects(&mut self, output: Output) {
        match output {
            Output::Answer { request, answer } => {
                if let Some(reply) = self.waiting.remove(&request) {
                    // The asker may have gone; then nobody needs it.
                    let _ = reply.send(answer);
                }
            }
            Output::Peer { node, message } => {
                // A full queue means a dead link; its messages are worth
                // nothing by the time it would take them.
                if let Some(link) = self.links.get(&node) {
                    let _ = link.try_send(message);
                }
            }
            Output::Store { call, request } => self.calls.store(call, request),
            Output::Cloud { call, request } => self.calls.cloud(call, request),
            Output::Worker {
                call,
                address,
                commands,
            } => self.calls.worker(call, address, commands),
        }
    }
}
