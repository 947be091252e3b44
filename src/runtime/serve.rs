//! Starts a controller: opens its sockets and starts the tasks around its event loop.

use super::event::Event;
use super::event_loop::{EventLoop, EventQueues, PeerQueues};
use super::event_loop_monitor::EventLoopMonitor;
use super::http_endpoint::HttpEndpoint;
use super::service_calls::ServiceCalls;
use super::{http_server, peer_links, sockets};
use crate::controller::Controller;
use crate::policy::Policy;
use crate::settings::Settings;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinError;

/// Maximum number of user requests waiting for the controller.
const USER_QUEUE_CAPACITY: usize = 512;
/// Maximum number of messages waiting for one peer. A full queue means that its link is dead.
const PEER_QUEUE_CAPACITY: usize = 256;

/// Why a controller could not start or did not keep running.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The controller cannot listen on one of its addresses.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address, as set in the settings file.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The event loop stopped because of a bug in this program.
    #[error("the event loop stopped: {0}")]
    EventLoop(#[from] JoinError),
}

/// The sending ends of the [`EventQueues`].
struct EventSenders {
    store: mpsc::Sender<Event>,
    urgent: mpsc::Sender<Event>,
    users: mpsc::Sender<Event>,
}

/// Runs a controller until the process is killed.
pub async fn serve(settings: Settings, policy: Policy) -> Result<(), ServeError> {
    let monitor = Arc::new(EventLoopMonitor::new());
    let (senders, queues) = event_queues(&settings);
    serve_http(&settings, &senders, monitor.clone())?;
    accept_peers(&settings, senders.urgent.clone()).await?;
    tracing::info!(node = settings.node, zone = settings.zone, listen = %settings.listen, "started");
    let peers = dial_peers(&settings);
    let calls = ServiceCalls::new(&settings, senders.urgent, senders.store);
    let controller = Controller::new(settings, policy, rand::random());
    let event_loop = EventLoop::new(monitor, controller, calls, peers);
    // Runs in its own task: each wake-up of the future that `block_on` runs costs a
    // system call, a wake-up of a task does not.
    tokio::spawn(event_loop.run(queues)).await?;
    Ok(())
}

fn event_queues(settings: &Settings) -> (EventSenders, EventQueues) {
    let (store, store_events) = mpsc::channel(settings.event_queue_capacity());
    let (urgent, urgent_events) = mpsc::channel(settings.event_queue_capacity());
    let (users, user_events) = mpsc::channel(USER_QUEUE_CAPACITY);
    let senders = EventSenders { store, urgent, users };
    let queues = EventQueues {
        store: store_events,
        urgent: urgent_events,
        users: user_events,
    };
    (senders, queues)
}

/// Starts serving users, workers and health checks.
fn serve_http(settings: &Settings, senders: &EventSenders, monitor: Arc<EventLoopMonitor>) -> Result<(), ServeError> {
    let connections = settings.connections();
    let address = settings.listen;
    let listener =
        sockets::listen(address, connections.backlog).map_err(|source| ServeError::Listen { address, source })?;
    let endpoint = HttpEndpoint::new(
        senders.urgent.clone(),
        senders.users.clone(),
        connections.served,
        settings.max_submissions_kib(),
    );
    tokio::spawn(http_server::serve(listener, endpoint, monitor));
    Ok(())
}

/// Starts accepting links from the other controllers.
async fn accept_peers(settings: &Settings, events: mpsc::Sender<Event>) -> Result<(), ServeError> {
    let address = settings.peer_listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| ServeError::Listen { address, source })?;
    tokio::spawn(peer_links::accept(listener, events));
    Ok(())
}

/// Starts a link to each of the other controllers and returns the queues of the messages to them.
fn dial_peers(settings: &Settings) -> PeerQueues {
    let mut queues = PeerQueues::new();
    for peer in &settings.peers {
        let (sender, receiver) = mpsc::channel(PEER_QUEUE_CAPACITY);
        tokio::spawn(peer_links::dial(peer.address, receiver));
        queues.insert(peer.node.clone(), sender);
    }
    queues
}
