//! The sending end of a link.

use super::{LinkError, SILENCE_TIMEOUT, WRITE_TIMEOUT, frame};
use crate::peers::Message;
use crate::runtime::sockets;
use rand::Rng;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout, timeout_at};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Range of the random delay before redialling, in milliseconds. It is random so that the
/// controllers do not redial in lockstep.
const REDIAL_DELAY_MS: Range<u64> = 100..400;
/// Once a write has reached this length, no more messages are added to it.
const MAX_WRITE_BYTES: usize = 64 * 1024;
/// Number of acknowledgements read at once. Their bytes carry no information.
const ACKNOWLEDGEMENT_BUFFER_BYTES: usize = 64;

/// Keeps a link to a peer open, redialling as necessary, and sends `messages` on it.
pub async fn dial(address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    loop {
        if let Ok(stream) = sockets::connect(address, CONNECT_TIMEOUT).await {
            match send_all(stream, &mut messages).await {
                Ok(()) => return,
                Err(error) => tracing::debug!(%address, %error, "lost the link to a peer"),
            }
        }
        let delay_ms = rand::rng().random_range(REDIAL_DELAY_MS);
        sleep(Duration::from_millis(delay_ms)).await;
        // The messages that were queued while the link was dead are out of date.
        while messages.try_recv().is_ok() {}
    }
}

/// Sends messages until the link fails: the peer closes it, stops reading frames or stops
/// acknowledging heartbeats. Returns without an error once the message queue is closed.
async fn send_all(mut stream: TcpStream, messages: &mut mpsc::Receiver<Message>) -> Result<(), LinkError> {
    let (mut acknowledgements, mut frames) = stream.split();
    let mut dead_at = Instant::now() + SILENCE_TIMEOUT;
    let mut received = [0; ACKNOWLEDGEMENT_BUFFER_BYTES];
    loop {
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else {
                    return Ok(());
                };
                let bytes = encode_queued(&message, messages)?;
                timeout(WRITE_TIMEOUT, frames.write_all(&bytes)).await??;
            }
            read = timeout_at(dead_at, acknowledgements.read(&mut received)) => {
                if read?? == 0 {
                    return Err(LinkError::Closed);
                }
                dead_at = Instant::now() + SILENCE_TIMEOUT;
            }
        }
    }
}

/// Encodes a message and those queued behind it, until the queue is empty or the write has
/// reached [`MAX_WRITE_BYTES`].
fn encode_queued(first: &Message, messages: &mut mpsc::Receiver<Message>) -> Result<Vec<u8>, LinkError> {
    let mut bytes = Vec::new();
    frame::append(&mut bytes, first)?;
    while bytes.len() < MAX_WRITE_BYTES
        && let Ok(message) = messages.try_recv()
    {
        frame::append(&mut bytes, &message)?;
    }
    Ok(bytes)
}
