//! What a controller's state takes of its memory, and the bounds that follow.
//!
//! The figures are held by `tests/memory.rs`, which counts allocated bytes.

use crate::settings::Limits;
use crate::store::WatchCache;

/// A machine as the leader knows it, heard and without tasks.
pub const MACHINE_BYTES: usize = 700;
/// An attempt of a task that is open on a machine.
pub const OPEN_TASK_BYTES: usize = 180;
/// An unfinished job: in the watch cache of every controller, and at the leader.
pub const JOB_BYTES: usize = 1_900;
/// A thousand tasks of an unfinished job, whatever their state.
pub const THOUSAND_TASKS_BYTES: usize = 450;
/// A job that has ended and is not cleaned up yet, at a follower.
pub const ENDED_JOB_BYTES: usize = 1_000;

/// Part of the memory that unfinished jobs may take. What is left holds connections,
/// machines, open tasks, messages and the program itself (docs/operations.md).
const UNFINISHED_PART: f64 = 0.2;

/// Whether there is room for one more job of so many tasks.
pub fn has_room_for(limits: &Limits, watched: &WatchCache, tasks: u32) -> bool {
    let all_tasks = watched.tasks() + u64::from(tasks);
    let of_jobs = (watched.jobs().len() + 1) as f64 * JOB_BYTES as f64;
    let of_tasks = all_tasks as f64 / 1_000.0 * THOUSAND_TASKS_BYTES as f64;
    of_jobs + of_tasks <= limits.memory_mb * 1e6 * UNFINISHED_PART
}

#[cfg(test)]
mod tests;
