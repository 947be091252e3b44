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
/// Pause before dialling again; random, so that the controllers don't dial in step.
const REDIAL_PAUSE_MS: Range<u64> = 100..400;
/// No more is put together into one write.
const MAX_WRITE_BYTES: usize = 64 * 1024;
/// Acknowledgements read at once; they carry nothing but their arrival.
const ACKNOWLEDGEMENTS_BUFFER: usize = 64;

/// Keeps a link to a peer and sends it what comes.
pub async fn dial(address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    loop {
        if let Ok(stream) = sockets::connect(address, CONNECT_TIMEOUT).await {
            match send_all(stream, &mut messages).await {
                Ok(()) => return,
                Err(error) => tracing::debug!(%address, %error, "lost the link to a peer"),
            }
        }
        let pause_ms = rand::rng().random_range(REDIAL_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        // What waited for a dead link is out of date.
        while messages.try_recv().is_ok() {}
    }
}

/// Sends messages until the link fails: the peer closes it, stops taking frames
/// or stops acknowledging them. Ends without an error once no message can come.
async fn send_all(mut stream: TcpStream, messages: &mut mpsc::Receiver<Message>) -> Result<(), LinkError> {
    let (mut acknowledgements, mut frames) = stream.split();
    let mut dead_at = Instant::now() + SILENCE_TIMEOUT;
    let mut received = [0; ACKNOWLEDGEMENTS_BUFFER];
    loop {
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else {
                    return Ok(());
                };
                let bytes = waiting_frames(&message, messages)?;
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

/// The frames of a message and of those that wait behind it, as far as they fit into
/// one write.
fn waiting_frames(first: &Message, messages: &mut mpsc::Receiver<Message>) -> Result<Vec<u8>, LinkError> {
    let mut bytes = Vec::new();
    frame::append(&mut bytes, first)?;
    while bytes.len() < MAX_WRITE_BYTES
        && let Ok(message) = messages.try_recv()
    {
        frame::append(&mut bytes, &message)?;
    }
    Ok(bytes)
}
