//! Values of the keys of leaders, terms, jobs and their ends.

use crate::wire::{JobSpec, JobState};
use serde::{Deserialize, Serialize};

/// The value of the leader key: the claim of the shard's leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderValue {
    /// Name of the controller that made the claim.
    pub node: String,
    /// Distinguishes the processes that a controller has run as.
    // Stored as `life`, the name that the stored format uses.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The term that started with the claim.
    pub term: u64,
}

/// The value of a member key: a controller that answers users.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberValue {
    /// Distinguishes the processes that a controller has run as.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// The value of a job key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobKey {
    /// The job as submitted.
    pub spec: JobSpec,
    /// When the job was accepted, in milliseconds on the wall clock.
    pub accepted_ms: u64,
    /// How the job ended. `None` until it ends; the key remains until all other keys of the job
    /// have been cleaned up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<JobState>,
}

/// The value of the term key: the last fencing token that any term has reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermValue {
    /// The last fencing token of the highest term. The next term begins above it; a controller that
    /// reserves no range takes the next number as its only token.
    pub term: u64,
}

/// The value of an end key: how a job ended.
// A count of 0 is omitted, as it is for cancelled jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndValue {
    /// The final state of the job.
    pub state: JobState,
    /// The number of tasks done, 0 if the job was cancelled.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub done: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

#[cfg(test)]
mod tests;
