//! Links between controllers: each dials every other and sends on the
//! connection it dialled. A frame is a length and a MessagePack message.
//!
//! Heartbeats are acknowledged with one byte, the first and then one every two
//! seconds. Without that the sender cannot tell a live link from a half-open one:
//! small frames fit the socket's buffer for minutes after the receiver has closed
//! its end.
//!
//! Messages that wait together are written together: a packet costs more than what
//! most of them hold.

use super::Event;
use crate::controller::Input;
use crate::peers::Message;
use rand::Rng;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout, timeout_at};

const MAX_FRAME: u32 = 2 << 20;
/// A frame begins with the length of its message.
const LENGTH_BYTES: usize = 4;
const CONNECT: Duration = Duration::from_secs(1);
const WRITE: Duration = Duration::from_secs(2);
/// A link without any acknowledgement for this long is dead.
const SILENCE: Duration = Duration::from_secs(8);
const ACKNOWLEDGE_EVERY: Duration = Duration::from_secs(2);
const ACKNOWLEDGEMENT: u8 = 1;
/// No more is put together into one write.
const MAX_WRITE: usize = 64 * 1024;
/// Enough for every peer to redial several times while this process stands
/// still and can't see that the earlier connections were given up.
const MAX_LINKS: usize = 128;

/// Keeps a link to a peer and sends it what comes.
pub async fn dial(address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    loop {
        if let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(address)).await {
            let error = send_all(stream, &mut messages).await;
            tracing::debug!(%address, ?error, "a link to a peer ended");
        }
        let pause = rand::rng().random_range(100..400);
        sleep(Duration::from_millis(pause)).await;
        // What waited for a dead link is out of date.
        while messages.try_recv().is_ok() {}
    }
}

/// Sends messages until the link fails: the peer closes it, stops taking frames
/// or stops acknowledging them.
async fn send_all(mut stream: TcpStream, messages: &mut mpsc::Receiver<Message>) -> io::Result<()> {
    super::send_without_delay(&stream);
    let (mut acknowledgements, mut frames) = stream.split();
    let mut dead_at = Instant::now() + SILENCE;
    let mut received = [0; 64];
    loop {
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else {
                    return Ok(());
                };
                let mut bytes = Vec::new();
                add_frame(&mut bytes, &message)?;
                while bytes.len() < MAX_WRITE
                    && let Ok(message) = messages.try_recv()
                {
                    add_frame(&mut bytes, &message)?;
                }
                timeout(WRITE, frames.write_all(&bytes)).await??;
            }
            read = timeout_at(dead_at, acknowledgements.read(&mut received)) => {
                if read?? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                dead_at = Instant::now() + SILENCE;
            }
        }
    }
}

fn add_frame(bytes: &mut Vec<u8>, message: &Message) -> io::Result<()> {
    let start = bytes.len();
    bytes.extend([0; LENGTH_BYTES]);
    rmp_serde::encode::write(bytes, message).map_err(io::Error::other)?;
    let length = (bytes.len() - start - LENGTH_BYTES) as u32;
    bytes[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Accepts links from peers.
pub async fn accept(listener: TcpListener, events: mpsc::Sender<Event>) {
    let room = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_LINKS));
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let events = events.clone();
                tokio::spawn(async move {
                    let error = receive_all(stream, events).await;
                    tracing::debug!(?error, "a link from a peer ended");
                    drop(permit);
                });
            }
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn receive_all(mut stream: TcpStream, events: mpsc::Sender<Event>) -> io::Result<()> {
    let (frames, mut acknowledgements) = stream.split();
    let mut frames = BufReader::new(frames);
    // The first heartbeat says who it is.
    let mut from: Option<String> = None;
    let mut acknowledge_at = Instant::now();
    loop {
        let length = timeout(SILENCE, frames.read_u32()).await??;
        if length > MAX_FRAME {
            return Err(io::Error::other("a frame is too long"));
        }
        let mut body = vec![0; length as usize];
        timeout(SILENCE, frames.read_exact(&mut body)).await??;
        let message: Message = rmp_serde::from_slice(&body).map_err(io::Error::other)?;
        if let Message::Heartbeat { node, .. } = &message {
            from = Some(node.clone());
            if Instant::now() >= acknowledge_at {
                acknowledge_at = Instant::now() + ACKNOWLEDGE_EVERY;
                timeout(WRITE, acknowledgements.write_all(&[ACKNOWLEDGEMENT])).await??;
            }
        }
        if let Some(node) = &from {
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

#[cfg(test)]
mod tests;
