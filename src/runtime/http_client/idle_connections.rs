//! Idle connections, kept for the next request to the same address.

use super::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// The idle connections to all addresses, with an upper bound on their number.
pub(super) struct IdleConnections {
    /// The idle connections by address. An address without any is removed.
    pub(super) by_address: HashMap<SocketAddr, Vec<Connection>>,
    /// Number of idle connections to all addresses together.
    pub(super) count: usize,
    max: usize,
}

impl IdleConnections {
    pub(super) fn new(max: usize) -> IdleConnections {
        IdleConnections {
            by_address: HashMap::new(),
            count: 0,
            max,
        }
    }

    /// Takes a connection to the address that is ready for a request, most recently kept first.
    pub(super) fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let connections = self.by_address.get_mut(&address)?;
        let mut ready = None;
        while let Some(connection) = connections.pop() {
            self.count -= 1;
            if connection.is_ready() {
                ready = Some(connection);
                break;
            }
        }
        if connections.is_empty() {
            self.by_address.remove(&address);
        }
        ready
    }

    /// Keeps a connection, unless there are enough to its address. At the maximum in total,
    /// drops those to another address first.
    pub(super) fn keep(&mut self, address: SocketAddr, connection: Connection) {
        if self.count >= self.max {
            self.drop_another_address(address);
        }
        let connections = self.by_address.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(connection);
            self.count += 1;
        }
    }

    /// Drops the connections to any other address. Which one does not matter, because
    /// connections that are not used again are of no value.
    fn drop_another_address(&mut self, address: SocketAddr) {
        let other = self.by_address.keys().find(|&&other| other != address).copied();
        if let Some(dropped) = other.and_then(|other| self.by_address.remove(&other)) {
            self.count -= dropped.len();
        }
    }
}
