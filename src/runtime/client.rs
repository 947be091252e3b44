//! HTTP/1.1 calls over kept connections.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, header};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

const CONNECT: Duration = Duration::from_millis(1_500);
const MAX_BODY: usize = 16 << 20;
/// Connections kept to one address.
const MAX_IDLE: usize = 8;
/// Connections kept by a client that talks to a few addresses only.
const FEW_IDLE: usize = 8;

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Surely not delivered, now or later.
    NotSent,
    /// Perhaps executed, perhaps later.
    Lost,
}

type Connection = SendRequest<Full<Bytes>>;

/// HTTP/1.1 over a few kept connections per address.
#[derive(Clone)]
pub struct Client {
    idle: Arc<Mutex<Idle>>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new(FEW_IDLE)
    }
}

/// The connections without a request, by address. No address without any stays.
struct Idle {
    by_address: HashMap<SocketAddr, Vec<Connection>>,
    count: usize,
    most: usize,
}

impl Idle {
    fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let kept = self.by_address.get_mut(&address)?;
        let mut ready = None;
        while let Some(connection) = kept.pop() {
            self.count -= 1;
            if connection.is_ready() {
                ready = Some(connection);
                break;
            }
        }
        if kept.is_empty() {
            self.by_address.remove(&address);
        }
        ready
    }

    fn keep(&mut self, address: SocketAddr, connection: Connection) {
        if self.count >= self.most {
            self.drop_other(address);
        }
        let kept = self.by_address.entry(address).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(connection);
            self.count += 1;
        }
    }

    /// Any of them: all are as good as gone if they are not used again.
    fn drop_other(&mut self, address: SocketAddr) {
        let other = self.by_address.keys().find(|&&other| other != address).copied();
        if let Some(dropped) = other.and_then(|other| self.by_address.remove(&other)) {
            self.count -= dropped.len();
        }
    }
}

impl Client {
    /// Keeps at most so many connections without a request.
    pub fn new(most_idle: usize) -> Client {
        let idle = Idle {
            by_address: HashMap::new(),
            count: 0,
            most: most_idle,
        };
        Client {
            idle: Arc::new(Mutex::new(idle)),
        }
    }

    /// Sends a request and waits for its response, each part for `patience`.
    pub async fn request(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        patience: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        let body = Bytes::from(body);
        loop {
            let (mut connection, kept) = match self.take(address) {
                Some(connection) => (connection, true),
                None => (connect(address).await?, false),
            };
            let request = Request::builder()
                .method(method.clone())
                .uri(path)
                .header(header::HOST, address.to_string())
                .header(header::CONTENT_TYPE, "application/json")
                .body(Full::new(body.clone()))
                .map_err(|_| Failure::NotSent)?;
            let exchange = async {
                let response = connection.send_request(request).await?;
                let status = response.status().as_u16();
                Ok::<_, hyper::Error>((status, response.into_body()))
            };
            let (status, response) = match timeout(patience, exchange).await {
                Ok(Ok(response)) => response,
                // A kept connection that the other side had closed already.
                Ok(Err(error)) if error.is_canceled() && kept => continue,
                Ok(Err(error)) if error.is_canceled() => return Err(Failure::NotSent),
                _ => return Err(Failure::Lost),
            };
            let collected = timeout(patience, Limited::new(response, MAX_BODY).collect()).await;
            let Ok(Ok(collected)) = collected else {
                return Err(Failure::Lost);
            };
            self.keep(address, connection);
            return Ok((status, collected.to_bytes()));
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.idle.lock().ok()?.take(address)
    }

    fn keep(&self, address: SocketAddr, connection: Connection) {
        if let Ok(mut idle) = self.idle.lock()
            && !connection.is_closed()
        {
            idle.keep(address, connection);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, Failure> {
    let stream = match timeout(CONNECT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        _ => return Err(Failure::NotSent),
    };
    super::send_without_delay(&stream);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| Failure::NotSent)?;
    tokio::spawn(async move {
        // How it ended shows in the requests made on it.
        let _ = connection.await;
    });
    Ok(sender)
}

#[cfg(test)]
mod tests;
