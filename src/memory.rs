//! How much memory a controller's state takes, and the bound on work that follows.
//!
//! `tests/memory.rs` counts allocated bytes and holds these figures to what it finds.

use crate::settings::Limits;
use crate::store::WatchCache;

/// Bytes of a machine as the leader knows it, after its first report and without tasks.
pub const MACHINE_BYTES: usize = 700;
/// Bytes of an attempt at a task that is open on a machine.
pub const OPEN_TASK_BYTES: usize = 180;
/// Bytes of an unfinished job, without its tasks: in the watch cache of every controller,
/// and at the leader.
pub const JOB_BYTES: usize = 1_900;
/// Bytes of a thousand tasks of an unfinished job, whatever their state.
pub const THOUSAND_TASKS_BYTES: usize = 450;
/// Bytes of a job that has ended and is not cleaned up yet, at a follower.
pub const ENDED_JOB_BYTES: usize = 1_000;

/// Part of the memory that unfinished jobs may take. What is left holds connections,
/// machines, open tasks, messages and the program itself (docs/operations.md).
const UNFINISHED_PART: f64 = 0.2;
const BYTES_PER_MB: f64 = 1e6;
const TASKS_PER_THOUSAND: f64 = 1_000.0;

/// Whether there is room for one more job of so many tasks beside the watched ones. Any
/// controller may become the leader, so each reckons with what the leader holds.
pub fn has_memory_for_job(limits: &Limits, watched: &WatchCache, tasks: u32) -> bool {
    let all_tasks = watched.tasks() + u64::from(tasks);
    let jobs_bytes = (watched.jobs().len() + 1) as f64 * JOB_BYTES as f64;
    let tasks_bytes = all_tasks as f64 / TASKS_PER_THOUSAND * THOUSAND_TASKS_BYTES as f64;
    jobs_bytes + tasks_bytes <= limits.memory_mb * BYTES_PER_MB * UNFINISHED_PART
}

#[cfg(test)]
mod tests;
