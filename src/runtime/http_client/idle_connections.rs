//! A pool of idle connections, kept for later requests to the same addresses.

use super::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// The idle connections to all addresses, limited to `max` in total. Only connections to a
/// single address may exceed that, up to [`MAX_IDLE_PER_ADDRESS`].
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

    /// Takes the most recently kept connection to the address that is ready for a request, and
    /// drops those that were kept later but are not ready.
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

    /// Keeps a connection unless [`MAX_IDLE_PER_ADDRESS`] connections to its address are kept
    /// already. If the total is at its maximum, drops the connections to another address first.
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

    /// Drops the connections to an arbitrary other address. Which one does not matter: they
    /// are reopened if they are needed again, and have no value otherwise.
    fn drop_another_address(&mut self, address: SocketAddr) {
        let other = self.by_address.keys().find(|&&other| other != address).copied();
        if let Some(dropped) = other.and_then(|other| self.by_address.remove(&other)) {
            self.count -= dropped.len();
        }
    }
}
