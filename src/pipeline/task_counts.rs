//! The task counts of an unfinished job, as shown to users.

/// The task counts of an unfinished job, for display only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// The number of tasks that have finished successfully.
    pub done: u32,
    /// The number of tasks that run on a machine or are saving their work there.
    pub running: u32,
}
