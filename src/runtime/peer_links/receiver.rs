//! The receiving end of a link.

use super::{LinkError, SILENCE_TIMEOUT, WRITE_TIMEOUT, frame};
use crate::controller::Input;
use crate::peers::Message;
use crate::runtime::event::Event;
use crate::runtime::sockets;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::WriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, timeout};

/// Minimum interval between two acknowledgements.
const ACKNOWLEDGE_INTERVAL: Duration = Duration::from_secs(2);
const ACKNOWLEDGEMENT: u8 = 1;
/// Maximum number of incoming links. It allows every peer to redial several times while this
/// process is suspended and cannot notice that the earlier connections were closed.
const MAX_LINKS: usize = 128;

/// Accepts links from peers and receives their messages.
pub async fn accept(listener: TcpListener, events: mpsc::Sender<Event>) {
    let free_links = Arc::new(Semaphore::new(MAX_LINKS));
    loop {
        let Ok(permit) = free_links.clone().acquire_owned().await else {
            return;
        };
        if let Some((stream, address)) = sockets::accept(&listener).await {
            let events = events.clone();
            tokio::spawn(async move {
                if let Err(error) = receive_all(stream, events).await {
                    tracing::debug!(%address, %error, "lost the link from a peer");
                }
                drop(permit);
            });
        }
    }
}

/// Passes messages to the event loop until the link fails. Returns without an error once the
/// event loop has stopped receiving.
pub(super) async fn receive_all(mut stream: TcpStream, events: mpsc::Sender<Event>) -> Result<(), LinkError> {
    let (frames, acknowledgements) = stream.split();
    let mut frames = BufReader::new(frames);
    let mut acknowledger = Acknowledger::new(acknowledgements);
    // The node name of the peer, known from its first heartbeat on. Messages before that
    // heartbeat are dropped.
    let mut peer: Option<String> = None;
    loop {
        let length_bytes = timeout(SILENCE_TIMEOUT, frame::read_length(&mut frames)).await??;
        let message = timeout(SILENCE_TIMEOUT, frame::read_message(&mut frames, length_bytes)).await??;
        if let Message::Heartbeat { node, .. } = &message {
            peer = Some(node.clone());
            acknowledger.acknowledge().await?;
        }
        if let Some(node) = &peer {
            let input = Input::Peer {
                node: node.clone(),
                message: Box::new(message),
            };
            if events.send(Event::Input(input)).await.is_err() {
                return Ok(());
            }
        }
    }
}

/// Acknowledges heartbeats, no more often than the sender needs.
struct Acknowledger<'stream> {
    acknowledgements: WriteHalf<'stream>,
    next_due_at: Instant,
}

impl Acknowledger<'_> {
    fn new(acknowledgements: WriteHalf<'_>) -> Acknowledger<'_> {
        Acknowledger {
            acknowledgements,
            next_due_at: Instant::now(),
        }
    }

    /// Sends an acknowledgement if one is due.
    async fn acknowledge(&mut self) -> Result<(), LinkError> {
        let now = Instant::now();
        if now >= self.next_due_at {
            self.next_due_at = now + ACKNOWLEDGE_INTERVAL;
            timeout(WRITE_TIMEOUT, self.acknowledgements.write_all(&[ACKNOWLEDGEMENT])).await??;
        }
        Ok(())
    }
}
