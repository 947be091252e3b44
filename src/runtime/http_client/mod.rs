//! An HTTP/1.1 client that reuses its connections.

mod idle_connections;
mod message;

pub use message::{HttpRequest, HttpResponse, RequestError};

use super::sockets;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use idle_connections::IdleConnections;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Maximum number of idle connections of a client that uses only a few addresses.
const DEFAULT_MAX_IDLE: usize = 8;

type Connection = SendRequest<Full<Bytes>>;

/// An HTTP/1.1 client that keeps a few idle connections per address. Clones share them.
#[derive(Clone)]
pub struct HttpClient {
    idle: Arc<Mutex<IdleConnections>>,
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient::new(DEFAULT_MAX_IDLE)
    }
}

impl HttpClient {
    /// Creates a client that keeps at most `max_idle` idle connections to all addresses together.
    /// A lower maximum than 8 can be exceeded by connections to a single address, of which up to
    /// 8 are kept.
    pub fn new(max_idle: usize) -> HttpClient {
        HttpClient {
            idle: Arc::new(Mutex::new(IdleConnections::new(max_idle))),
        }
    }

    /// Sends a request and waits for its response. Repeats the request only if a reused
    /// connection turns out to be closed before any part of the request was written.
    pub async fn send(&self, address: SocketAddr, request: HttpRequest) -> Result<HttpResponse, RequestError> {
        loop {
            let message = request.to_message(address)?;
            let idle = self.take_idle(address);
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => connect(address).await?,
            };
            match exchange(&mut connection, message, request.timeout).await {
                Ok(response) => {
                    self.keep_idle(address, connection);
                    return Ok(response);
                }
                // The server had closed the reused connection; the request is sent on another one.
                Err(RequestError::NotSent) if is_reused => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        self.idle.lock().ok()?.take(address)
    }

    fn keep_idle(&self, address: SocketAddr, connection: Connection) {
        if let Ok(mut idle) = self.idle.lock()
            && !connection.is_closed()
        {
            idle.keep(address, connection);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, RequestError> {
    let stream = sockets::connect(address, CONNECT_TIMEOUT)
        .await
        .map_err(|_| RequestError::NotSent)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| RequestError::NotSent)?;
    tokio::spawn(async move {
        // An error is ignored here because the requests on the connection fail with it.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Sends a request on a connection and reads the response. Waits up to `part_timeout` for its
/// head, and again for its body.
async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    part_timeout: Duration,
) -> Result<HttpResponse, RequestError> {
    let response = match timeout(part_timeout, connection.send_request(request)).await {
        Ok(Ok(response)) => response,
        // The connection ended before any part of the request was written.
        Ok(Err(error)) if error.is_canceled() => return Err(RequestError::NotSent),
        Ok(Err(_)) | Err(_) => return Err(RequestError::OutcomeUnknown),
    };
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
    match timeout(part_timeout, body).await {
        Ok(Ok(body)) => Ok(HttpResponse {
            status,
            body: body.to_bytes(),
        }),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestError::ResponseTooLong),
        Ok(Err(_)) | Err(_) => Err(RequestError::OutcomeUnknown),
    }
}

#[cfg(test)]
mod tests;
