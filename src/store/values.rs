//! Values of the keys that every controller reads.

use crate::wire::{JobSpec, JobState};
use serde::{Deserialize, Serialize};

/// The claim of a shard's leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderValue {
    /// Name of the controller.
    pub node: String,
    /// Tells one incarnation of a process from the next.
    // Stored under its old name.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The term that the claim began.
    pub term: u64,
}

/// The value of a job key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobKey {
    /// The job as its user submitted it.
    pub spec: JobSpec,
    /// When it was accepted, on the wall clock.
    pub accepted_ms: u64,
    /// How it ended, from its end until everything else of it is cleaned up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<JobState>,
}

/// The value of the term key: the highest term that was ever claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermValue {
    /// The term, which is the fencing token of its leader.
    pub term: u64,
}

/// How a job ended.
// A count of 0 is left out, as it is of cancelled jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndValue {
    /// Its final state.
    pub state: JobState,
    /// Its tasks that were done, if it was not cancelled.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub done: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

#[cfg(test)]
mod tests;
