//! Serves HTTP/1.1 connections with `hyper` and passes their requests to the poem
//! endpoint [`HttpEndpoint`].
//!
//! poem's own server also accepts HTTP/2 and starts a second task and a timer for each
//! connection, both of which wake up at every read and write. With one connection per
//! worker, that took more memory than everything else and a large part of the CPU time.

mod idle_timer;

use super::event_loop_monitor::EventLoopMonitor;
use super::http_endpoint::HttpEndpoint;
use super::sockets;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use idle_timer::IdleTimer;
use poem::http::uri::Scheme;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, Request};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

/// A connection on which no request begins for this long is closed. A request begins when its
/// head has been received.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Interval at which to check whether the event loop has caught up.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum length of a request head; hyper accepts no smaller bound.
const MAX_HEAD_BYTES: usize = 8_192;

/// The local and the remote address of a connection.
#[derive(Clone, Copy)]
struct ConnectionAddresses {
    local: SocketAddr,
    remote: SocketAddr,
}

/// Accepts connections while the event loop keeps up, and never has more open at once than
/// the endpoint allows.
pub async fn serve(listener: TcpListener, endpoint: HttpEndpoint, monitor: Arc<EventLoopMonitor>) {
    let endpoint = Arc::new(endpoint);
    let local = listener.local_addr().ok();
    loop {
        let Ok(permit) = endpoint.free_connections().acquire_owned().await else {
            return;
        };
        // Lets every task that is ready run before another connection is accepted.
        yield_now().await;
        while monitor.is_behind() {
            sleep(CATCH_UP_POLL_INTERVAL).await;
        }
        if let Some((stream, remote)) = sockets::accept(&listener).await {
            sockets::enable_nodelay(&stream);
            let local = local.unwrap_or(remote);
            let endpoint = endpoint.clone();
            tokio::spawn(async move {
                serve_connection(stream, ConnectionAddresses { local, remote }, &endpoint).await;
                drop(permit);
            });
        }
    }
}

/// Serves a connection until either side closes it or it has been idle for too long.
async fn serve_connection(stream: TcpStream, addresses: ConnectionAddresses, endpoint: &HttpEndpoint) {
    let idle_timer = IdleTimer::new(IDLE_TIMEOUT);
    let service = service_fn(|request: hyper::Request<Incoming>| {
        idle_timer.record_request();
        let local = LocalAddr(addresses.local.into());
        let remote = RemoteAddr(addresses.remote.into());
        let request = Request::from((request, local, remote, Scheme::HTTP));
        async move { Ok::<_, Infallible>(hyper::Response::from(endpoint.get_response(request).await)) }
    });
    let mut builder = http1::Builder::new();
    // Responses are small: writing one buffer costs less than a vectored write of two.
    builder.max_buf_size(MAX_HEAD_BYTES).writev(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        // Errors are ignored: the client notices that the connection ended and reconnects
        // if necessary.
        _ = connection => {}
        () = idle_timer.expired() => {}
    }
}

#[cfg(test)]
mod tests;
