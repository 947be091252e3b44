//! Serves HTTP/1.1 connections with `hyper` and hands their requests to the poem
//! endpoint [`Front`].
//!
//! poem's own server accepts HTTP/2 as well and starts a second task and a timer
//! for each connection, which both wake with every read and write. With a
//! connection for each worker that took more memory than all else, and a good part
//! of the processor time.

use super::front::Front;
use super::pace::Pace;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use poem::http::uri::Scheme;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, Request};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

/// A connection without a complete request for this long is closed.
const IDLE: Duration = Duration::from_secs(90);
/// Pause after a failed accept: out of sockets, most likely, and trying again at
/// once would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How often it is looked whether the event loop keeps up again.
const BEHIND_PAUSE: Duration = Duration::from_millis(20);
/// Longest head of a request; hyper takes no smaller bound.
const MAX_HEAD: usize = 8_192;

/// Accepts connections while the event loop keeps up, never more at once than the
/// front has room for.
pub async fn serve(listener: TcpListener, front: Front, pace: Arc<Pace>) {
    let front = Arc::new(front);
    let local = listener.local_addr().ok();
    loop {
        let Ok(permit) = front.room().acquire_owned().await else {
            return;
        };
        // All that is ready has its turn before one more is accepted.
        yield_now().await;
        while pace.is_behind() {
            sleep(BEHIND_PAUSE).await;
        }
        match listener.accept().await {
            Ok((stream, remote)) => {
                super::send_without_delay(&stream);
                let local = local.unwrap_or(remote);
                tokio::spawn(serve_connection(stream, local, remote, front.clone(), permit));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    local: SocketAddr,
    remote: SocketAddr,
    front: Arc<Front>,
    _permit: OwnedSemaphorePermit,
) {
    let began = Instant::now();
    // In milliseconds since then.
    let last_request_ms = AtomicU64::new(0);
    let service = service_fn(|request: hyper::Request<hyper::body::Incoming>| {
        let now_ms = began.elapsed().as_millis() as u64;
        last_request_ms.store(now_ms, Ordering::Relaxed);
        let (local, remote) = (LocalAddr(local.into()), RemoteAddr(remote.into()));
        let request = Request::from((request, local, remote, Scheme::HTTP));
        let front = &front;
        async move { Ok::<_, Infallible>(hyper::Response::from(front.get_response(request).await)) }
    });
    let mut builder = http1::Builder::new();
    // Responses are small: one buffer costs less than a list of two.
    builder.max_buf_size(MAX_HEAD).writev(false);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut idle_at = began + IDLE;
    loop {
        tokio::select! {
            biased;
            _ = connection.as_mut() => break,
            () = sleep_until(idle_at) => {
                let last = Duration::from_millis(last_request_ms.load(Ordering::Relaxed));
                idle_at = began + last + IDLE;
                if Instant::now() >= idle_at {
                    break;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
