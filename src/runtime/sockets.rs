//! Opens TCP connections and listens for them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Pause after a failed accept: out of sockets, most likely, and trying again at
/// once would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens on an address; `backlog` connections may wait to be accepted.
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Accepts one connection. Without one that can be had, pauses and returns none, for
/// the caller to look whether it still wants one.
pub async fn accept(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    match listener.accept().await {
        Ok(accepted) => Some(accepted),
        Err(_) => {
            sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Connects to an address within some time and sends without delay from then on.
pub async fn connect(address: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let stream = timeout(within, TcpStream::connect(address)).await??;
    send_without_delay(&stream);
    Ok(stream)
}

/// Sets TCP_NODELAY where the system lets it be set: without it a connection costs
/// some latency, while one dropped for it would be of no use at all.
pub fn send_without_delay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "failed to set TCP_NODELAY");
    }
}
