//! The leader's state of the shard's jobs: what their tasks ask for, which tasks are done,
//! open or to be retried, and what each team may use.
//!
//! A job's tasks are stored in chunks. The key of a chunk holds the tasks that are done, the
//! open attempts and the next attempt number. An attempt is written there before its task is
//! started.

mod chunk;
mod job;
mod job_builder;
mod jobs;
mod quota;
mod task_counts;
mod task_set;
mod trigger;

pub use chunk::{Chunk, ChunkValue, OpenAttemptRecord, tasks_per_chunk};
pub use job::{Job, failure_backoff};
pub use job_builder::JobError;
pub use jobs::Jobs;
pub use quota::TeamQuota;
pub use task_counts::TaskCounts;
pub use task_set::TaskSet;
pub use trigger::DependencyTrigger;
