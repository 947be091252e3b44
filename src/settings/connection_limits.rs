//! How many connections, submissions and events the limits on this process allow.

use super::Settings;

/// Memory that one connection takes at most while it is idle: the buffers of the
/// HTTP library, its task and socket. Measured on this program with a thousand
/// idle connections (docs/operations.md).
pub(super) const CONNECTION_BYTES: f64 = 20.0 * 1024.0;
/// Part of the memory that connections may take.
pub(super) const CONNECTIONS_MEMORY_PART: f64 = 0.45;
/// Part of the sockets for connections that wait to be accepted. Without any left the
/// state service could not be reached either.
const BACKLOG_PART: f64 = 0.1;
/// Part of all connections that are kept idle to workers.
const KEPT_IDLE_PART: f64 = 0.24;
/// Part of all connections that are to workers, with a command in flight.
const IN_FLIGHT_PART: f64 = 0.12;
/// Connections to the state service, the cloud and the other controllers.
const FIXED_CONNECTIONS: u32 = 40;
/// Where there are few connections, no more than one in this many is a fixed one.
const FIXED_CONNECTIONS_DIVISOR: u32 = 4;
/// Part of the memory for submissions in hand, each of which is held up to three times:
/// as it came, as it was read, and as it is written or forwarded.
const BODIES_MEMORY_PART: f64 = 0.02;
/// Events waiting beside one report for each connection.
const SPARE_EVENTS: usize = 1_024;
const BYTES_PER_MB: f64 = 1e6;
const BYTES_PER_KIB: f64 = 1024.0;

/// How many connections may be open for each purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// From workers, users and health checks.
    pub served: u32,
    /// To workers, kept open between commands.
    pub kept_idle: usize,
    /// To workers, with a command in flight.
    pub in_flight: usize,
    /// Waiting to be accepted.
    pub backlog: u32,
}

impl Settings {
    /// How many connections the limits on sockets and memory allow.
    pub fn connections(&self) -> ConnectionLimits {
        let max_sockets = f64::from(self.params.limits.max_connections);
        let by_memory = self.memory_bytes() * CONNECTIONS_MEMORY_PART / CONNECTION_BYTES;
        let backlog = max_sockets * BACKLOG_PART;
        let all = (max_sockets - backlog).min(by_memory);
        let kept_idle = at_least_one(all * KEPT_IDLE_PART);
        let in_flight = at_least_one(all * IN_FLIGHT_PART);
        let fixed = FIXED_CONNECTIONS.min(all as u32 / FIXED_CONNECTIONS_DIVISOR);
        let outgoing = (kept_idle + in_flight) as u32 + fixed;
        ConnectionLimits {
            served: (all as u32).saturating_sub(outgoing).max(1),
            kept_idle,
            in_flight,
            backlog: backlog as u32,
        }
    }

    /// KiB of submissions that may be in hand at once.
    pub fn max_submissions_kib(&self) -> usize {
        (self.memory_bytes() * BODIES_MEMORY_PART / BYTES_PER_KIB) as usize
    }

    /// Events that may wait for the controller: each connection has one report in
    /// flight, and all workers report at once after an outage.
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
