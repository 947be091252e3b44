//! Serves HTTP/1.1 connections with `hyper` and hands their requests to the poem
//! endpoint [`HttpEndpoint`].
//!
//! poem's own server accepts HTTP/2 as well and starts a second task and a timer
//! for each connection, which both wake with every read and write. With a
//! connection for each worker that took more memory than all else, and a good part
//! of the processor time.

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

/// A connection without a complete request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// How often it is looked whether the event loop keeps up again.
const BEHIND_PAUSE: Duration = Duration::from_millis(20);
/// Longest head of a request; hyper takes no smaller bound.
const MAX_HEAD_BYTES: usize = 8_192;

/// The two ends of a connection.
#[derive(Clone, Copy)]
struct Ends {
    local: SocketAddr,
    remote: SocketAddr,
}

/// Accepts connections while the event loop keeps up, never more at once than the
/// endpoint has room for.
pub async fn serve(listener: TcpListener, endpoint: HttpEndpoint, monitor: Arc<EventLoopMonitor>) {
    let endpoint = Arc::new(endpoint);
    let local = listener.local_addr().ok();
    loop {
        let Ok(permit) = endpoint.free_connections().acquire_owned().await else {
            return;
        };
        // All that is ready has its turn before one more is accepted.
        yield_now().await;
        while monitor.is_behind() {
            sleep(BEHIND_PAUSE).await;
        }
        if let Some((stream, remote)) = sockets::accept(&listener).await {
            sockets::send_without_delay(&stream);
            let local = local.unwrap_or(remote);
            let endpoint = endpoint.clone();
            tokio::spawn(async move {
                serve_connection(stream, Ends { local, remote }, &endpoint).await;
                drop(permit);
            });
        }
    }
}

/// Serves a connection until either side closes it or it has been idle for too long.
async fn serve_connection(stream: TcpStream, ends: Ends, endpoint: &HttpEndpoint) {
    let idle_timer = IdleTimer::new(IDLE_TIMEOUT);
    let service = service_fn(|request: hyper::Request<Incoming>| {
        idle_timer.record_request();
        let local = LocalAddr(ends.local.into());
        let remote = RemoteAddr(ends.remote.into());
        let request = Request::from((request, local, remote, Scheme::HTTP));
        async move { Ok::<_, Infallible>(hyper::Response::from(endpoint.get_response(request).await)) }
    });
    let mut builder = http1::Builder::new();
    // Responses are small: one buffer costs less than a list of two.
    builder.max_buf_size(MAX_HEAD_BYTES).writev(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        // How it ended is of no use: the client sees it, and comes again if need be.
        _ = connection => {}
        () = idle_timer.expired() => {}
    }
}

#[cfg(test)]
mod tests;
