//! When a job's tasks may start: once all jobs that it depends on are done.

use std::collections::BTreeSet;

/// Fires once every job of a set is done; an empty set fires at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DependencyTrigger {
    missing: BTreeSet<String>,
}

impl DependencyTrigger {
    /// Waits for the jobs with these ids.
    pub fn new(upstream: impl IntoIterator<Item = String>) -> DependencyTrigger {
        DependencyTrigger {
            missing: upstream.into_iter().collect(),
        }
    }

    /// Whether every job of the set is done.
    pub fn fires(&self) -> bool {
        self.missing.is_empty()
    }

    /// A job is done, whether or not it is one of the set.
    pub fn job_done(&mut self, id: &str) {
        self.missing.remove(id);
    }
}

#[cfg(test)]
mod tests;
