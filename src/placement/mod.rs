//! Scheduling: on which machine each waiting task starts, and which running tasks are
//! preempted.
//!
//! A round of placement serves the jobs in the order of their teams' guarantees, their
//! priorities and their deadlines, within the quotas of the teams. The machine for a task is
//! chosen by Pheromone's Algorithm 1, which prefers machines that have the task's image
//! cached. Preemption stops running tasks to make room for jobs of higher priority that
//! find none.
//!
//! Pheromone is the system described in "Pheromone: Restructuring Serverless Computing With
//! Data-Centric Function Orchestration".

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
