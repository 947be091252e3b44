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

/// Milliseconds on the monotonic clock of this process.
pub type Millis = u64;

/// The two clocks of a step. Leases and waits use `monotonic`; only times that
/// must outlive a process (submission times) use `wall_clock`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    pub monotonic: Millis,
    pub wall_clock: Millis,
}

/// Converts seconds as the protocols give them; hostile values saturate.
pub fn millis(seconds: f64) -> Millis {
    (seconds.max(0.0) * 1000.0).min(1e15) as Millis
}
