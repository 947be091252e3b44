//! Scheduling: which released task starts where, and which running tasks give way.
//!
//! A round of placement serves the jobs in order of their teams' guarantees, their
//! priorities and their deadlines, within the quotas of the teams. Where a task goes is
//! decided by Pheromone's Algorithm 1, toward the machines that have its image cached. Preemption
//! makes room for jobs that find none.

mod choice;
mod context;
mod image_state;
mod machine_view;
mod opening;
mod order;
mod preemption;
mod round;
mod unplaceable_shapes;
mod zones;

pub use context::{Cluster, PlacementContext};
pub use preemption::{PREEMPTION_INTERVAL_MS, Preemptor, StopMode};
pub use round::place;
