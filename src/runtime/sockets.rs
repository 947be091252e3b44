//! Opens, accepts and configures TCP connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Delay after a failed accept. The most likely cause is that the process has run out of
/// sockets; retrying at once would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens on an address, where up to `backlog` connections may wait to be accepted.
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Accepts one connection. On failure, waits briefly and returns `None`, so that the caller
/// can check whether it still wants a connection.
pub async fn accept(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    match listener.accept().await {
        Ok(accepted) => Some(accepted),
        Err(_) => {
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Connects to an address within `connect_timeout` and sets TCP_NODELAY on the connection.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(address)).await??;
    enable_nodelay(&stream);
    Ok(stream)
}

/// Sets TCP_NODELAY. A failure is only logged: without the option a connection merely has a
/// higher latency, which is better than no connection.
pub fn enable_nodelay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "failed to set TCP_NODELAY");
    }
}
