//! Memory use of a controller's state, and the resulting limit on unfinished work.
//!
//! `tests/memory.rs` counts allocated bytes and checks these figures against them.

use crate::settings::Limits;
use crate::store::WatchCache;
use crate::wire::JobSpec;

/// Bytes that a leader holds for a machine after its first report, without tasks.
pub const MACHINE_BYTES: usize = 700;
/// Bytes that a leader holds for an open attempt of a task on a machine.
pub const OPEN_TASK_BYTES: usize = 180;
/// Bytes that a leader holds for an unfinished job without its tasks, including the job's entry
/// in the watch cache, which every controller has.
pub const JOB_BYTES: usize = 1_900;
/// Bytes of the names in a job's description that [`JOB_BYTES`] includes.
pub const INCLUDED_NAME_BYTES: usize = 64;
/// How many copies of a description a leader holds: in its watch cache and in its shard.
pub const DESCRIPTION_COPIES: usize = 2;
/// Bytes that a leader holds for a thousand tasks of an unfinished job in any state.
pub const THOUSAND_TASKS_BYTES: usize = 450;
/// Bytes that a follower holds for a job that has ended and is not cleaned up yet.
pub const ENDED_JOB_BYTES: usize = 1_000;

/// Share of the memory that unfinished jobs may take. The rest is for connections, machines,
/// open tasks, messages and the program itself (see docs/operations.md).
const UNFINISHED_JOBS_SHARE: f64 = 0.2;
const BYTES_PER_MB: f64 = 1e6;
const TASKS_PER_THOUSAND: f64 = 1_000.0;

/// Whether there is memory for this new job in addition to the watched jobs. Any controller may
/// become the leader, so each counts what a leader would hold.
pub fn has_memory_for_job(limits: &Limits, watched: &WatchCache, spec: &JobSpec) -> bool {
    let jobs = watched.jobs().len() + 1;
    let all_tasks = watched.tasks() + u64::from(spec.tasks);
    let jobs_bytes = (jobs * JOB_BYTES + long_names_bytes(jobs, watched.name_bytes() + spec.name_bytes())) as f64;
    let tasks_bytes = all_tasks as f64 / TASKS_PER_THOUSAND * THOUSAND_TASKS_BYTES as f64;
    jobs_bytes + tasks_bytes <= limits.memory_mb * BYTES_PER_MB * UNFINISHED_JOBS_SHARE
}

/// Returns the bytes that a leader holds for the names in the descriptions of these jobs, beyond
/// what [`JOB_BYTES`] includes.
pub fn long_names_bytes(jobs: usize, name_bytes: usize) -> usize {
    DESCRIPTION_COPIES * name_bytes.saturating_sub(jobs * INCLUDED_NAME_BYTES)
}

#[cfg(test)]
mod tests;
