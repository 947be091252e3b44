//! Decides when a job's tasks may start: once all jobs that it depends on are done.

use std::collections::BTreeSet;

/// A trigger that fires once all jobs of a set are done. With an empty set it fires at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DependencyTrigger {
    /// The ids of the jobs that are not done yet.
    unfinished: BTreeSet<String>,
}

impl DependencyTrigger {
    /// Creates a trigger that waits for the jobs with these ids.
    pub fn new(upstream: impl IntoIterator<Item = String>) -> DependencyTrigger {
        DependencyTrigger {
            unfinished: upstream.into_iter().collect(),
        }
    }

    /// Whether all jobs of the set are done.
    pub fn fires(&self) -> bool {
        self.unfinished.is_empty()
    }

    /// Records that a job is done. Jobs outside the set are ignored.
    pub fn job_done(&mut self, id: &str) {
        self.unfinished.remove(id);
    }
}

#[cfg(test)]
mod tests;
