//! What users are shown of an unfinished job.

/// Task counts of an unfinished job, for display.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}
