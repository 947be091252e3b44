//! The numbers of connections, submissions and events that fit into the limits on this
//! process.

use super::Settings;

/// Maximum memory of an idle connection: the buffers of the HTTP library, the task and the
/// socket. Measured with a thousand idle connections (docs/operations.md).
pub(super) const CONNECTION_BYTES: f64 = 20.0 * 1024.0;
/// Fraction of the memory that connections may take.
pub(super) const CONNECTIONS_MEMORY_FRACTION: f64 = 0.45;
/// Fraction of the sockets that is reserved for connections waiting to be accepted. If they
/// took all sockets, the state service could not be reached either.
const BACKLOG_FRACTION: f64 = 0.1;
/// Fraction of all connections that are idle connections to workers.
const KEPT_IDLE_FRACTION: f64 = 0.24;
/// Fraction of all connections that are connections to workers with a command in flight.
const IN_FLIGHT_FRACTION: f64 = 0.12;
/// Number of connections to the state service, the cloud and the other controllers.
const FIXED_CONNECTIONS: u32 = 40;
/// Where few connections are allowed in total, at most one in this many is reserved for the
/// state service, the cloud and the other controllers.
const FIXED_CONNECTIONS_DIVISOR: u32 = 4;
/// Fraction of the memory for unfinished submissions. Each submission is held up to three times: as it
/// was received, as it was decoded, and as it is written or forwarded.
const SUBMISSIONS_MEMORY_FRACTION: f64 = 0.02;
/// Capacity of an event queue in addition to one report for each connection.
const SPARE_EVENTS: usize = 1_024;
const BYTES_PER_MB: f64 = 1e6;
pub(super) const BYTES_PER_KIB: f64 = 1024.0;

/// The maximum number of open connections for each purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections from workers, users and health checks.
    pub served: u32,
    /// Connections to workers that are kept open between commands.
    pub kept_idle: usize,
    /// Connections to workers with a command in flight.
    pub in_flight: usize,
    /// Connections that wait to be accepted.
    pub backlog: u32,
}

impl Settings {
    /// Returns how many connections the limits on sockets and memory allow.
    pub fn connections(&self) -> ConnectionLimits {
        let max_sockets = f64::from(self.params.limits.max_connections);
        let by_memory = self.memory_bytes() * CONNECTIONS_MEMORY_FRACTION / CONNECTION_BYTES;
        let backlog = max_sockets * BACKLOG_FRACTION;
        let all = (max_sockets - backlog).min(by_memory);
        let kept_idle = at_least_one(all * KEPT_IDLE_FRACTION);
        let in_flight = at_least_one(all * IN_FLIGHT_FRACTION);
        let fixed = FIXED_CONNECTIONS.min(all as u32 / FIXED_CONNECTIONS_DIVISOR);
        let outgoing = (kept_idle + in_flight) as u32 + fixed;
        ConnectionLimits {
            served: (all as u32).saturating_sub(outgoing).max(1),
            kept_idle,
            in_flight,
            backlog: backlog as u32,
        }
    }

    /// Returns how many KiB of submissions may be held in memory at once.
    pub fn max_submissions_kib(&self) -> usize {
        (self.memory_bytes() * SUBMISSIONS_MEMORY_FRACTION / BYTES_PER_KIB) as usize
    }

    /// Returns how many events may wait for the controller in one queue. Each connection has
    /// at most one report in flight, and all workers report at once after an outage.
    pub fn event_queue_capacity(&self) -> usize {
        self.params.limits.max_connections as usize + SPARE_EVENTS
    }

    fn memory_bytes(&self) -> f64 {
        self.params.limits.memory_mb * BYTES_PER_MB
    }
}

fn at_least_one(connections: f64) -> usize {
    (connections as usize).max(1)
}
