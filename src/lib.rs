//! sumacbend: a cluster scheduler whose controllers keep all state in a small
//! consistent store and share the work of one pool of machines.
//!
//! Every slice keeps its own state and messages; [`controller`] composes them
//! into one deterministic state machine and [`runtime`] alone does I/O.

pub mod admission;
pub mod controller;
pub mod election;
pub mod fleet;
pub mod ids;
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

/// Milliseconds, on the monotonic clock of this process unless a name says otherwise.
pub type Millis = u64;

/// The time of a step on both clocks. Leases and waits use the monotonic clock; only
/// times that must outlive a process (submission times) use the wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// On the monotonic clock of this process.
    pub monotonic: Millis,
    /// On the wall clock, since the Unix epoch.
    pub wall_clock: Millis,
}

const MILLIS_PER_SECOND: f64 = 1000.0;
/// Beyond any time that means something, and exact as a floating-point number.
const MAX_MILLIS: f64 = 1e15;

/// Converts seconds as the protocols give them; hostile values saturate.
pub fn millis(seconds: f64) -> Millis {
    (seconds.max(0.0) * MILLIS_PER_SECOND).min(MAX_MILLIS) as Millis
}
