//! Connections without a request, kept for the next one to the same address.

use super::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Connections kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// The connections without a request, at most so many in all.
pub(super) struct IdleConnections {
    /// No address without any connection stays.
    pub(super) by_address: HashMap<SocketAddr, Vec<Connection>>,
    /// Connections to all addresses.
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

    /// A connection to the address that can take a request, the last kept first.
    pub(super) fn take(&mut self, address: SocketAddr) -> Option<Connection> {
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

    /// Keeps a connection, if need be instead of those to another address.
    pub(super) fn keep(&mut self, address: SocketAddr, connection: Connection) {
        if self.count >= self.max {
            self.drop_other(address);
        }
        let kept = self.by_address.entry(address).or_default();
        if kept.len() < MAX_IDLE_PER_ADDRESS {
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
