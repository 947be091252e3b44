//! Links between controllers: each dials every other and sends on the
//! connection it dialled. A frame is a length and a MessagePack message.

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
use tokio::time::{sleep, timeout};

const MAX_FRAME: u32 = 2 << 20;
const CONNECT: Duration = Duration::from_secs(1);
const WRITE: Duration = Duration::from_secs(2);
/// Beats come twice a second; a link without any is dead.
const SILENCE: Duration = Duration::from_secs(8);
const MAX_LINKS: usize = 32;

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

async fn send_all(mut stream: TcpStream, messages: &mut mpsc::Receiver<Message>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(message) = messages.recv().await {
        let body = rmp_serde::to_vec(&message).map_err(io::Error::other)?;
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        frame.extend(body);
        timeout(WRITE, stream.write_all(&frame)).await??;
    }
    Ok(())
}

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

async fn receive_all(stream: TcpStream, events: mpsc::Sender<Event>) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    // The first beat says who it is.
    let mut from: Option<String> = None;
    loop {
        let length = timeout(SILENCE, stream.read_u32()).await??;
        if length > MAX_FRAME {
            return Err(io::Error::other("a frame is too long"));
        }
        let mut body = vec![0; length as usize];
        timeout(SILENCE, stream.read_exact(&mut body)).await??;
        let message: Message = rmp_serde::from_slice(&body).map_err(io::Error::other)?;
        if let Message::Beat { node, .. } = &message {
            from = Some(node.clone());
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
