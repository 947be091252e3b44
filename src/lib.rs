//! sumacbend: a cluster scheduler whose controllers keep all state in a small consistent
//! key-value store (the state service) and share the work of managing one pool of machines.
//!
//! Each module owns its state and messages. [`controller`] composes the modules into one
//! deterministic state machine. [`runtime`] performs all I/O, except that [`settings`] and
//! [`policy`] read their files at startup.

pub mod admission;
pub mod controller;
pub mod election;
pub mod fencing;
pub mod fleet;
pub mod ids;
pub mod membership;
pub mod memory;
pub mod peers;
pub mod persistence;
pub mod pipeline;
pub mod placement;
pub mod policy;
pub mod resources;
pub mod runtime;
pub mod settings;
pub mod store;
pub mod topology;
pub mod wire;
pub mod workers;

/// A duration or a point in time in milliseconds. Points in time are on the monotonic clock of
/// this process unless a name says otherwise.
pub type Millis = u64;

/// The current time on both clocks. Leases and timeouts use the monotonic clock. Only times
/// that must remain valid in another process, such as the time at which a job was accepted, and
/// times that are compared with them use the wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Time on the monotonic clock of this process.
    pub monotonic: Millis,
    /// Wall-clock time since the Unix epoch.
    pub wall_clock: Millis,
}

const MILLIS_PER_SECOND: f64 = 1000.0;
/// Upper bound of converted times. It is longer than any meaningful time, and every integer up
/// to it is exactly representable as `f64`.
const MAX_MILLIS: f64 = 1e15;

/// Converts seconds, as used by the protocols, to milliseconds. Out-of-range values, which a
/// malicious peer may send, saturate at zero or at an upper bound.
pub fn millis(seconds: f64) -> Millis {
    (seconds.max(0.0) * MILLIS_PER_SECOND).min(MAX_MILLIS) as Millis
}
