//! Times until which something holds for a job.

use crate::Millis;
use std::collections::BTreeMap;

/// The maximum number of jobs. More than this many don't arise in the fraction of a second for which
/// an entry lasts.
const MAX_JOBS: usize = 4_000;

/// Jobs for which something holds until a time.
#[derive(Debug, Default)]
pub(super) struct JobDeadlines {
    until: BTreeMap<String, Millis>,
}

impl JobDeadlines {
    /// Sets or extends the time of a job. Returns false if there are too many jobs.
    pub(super) fn extend(&mut self, job_id: &str, until: Millis) -> bool {
        if let Some(known) = self.until.get_mut(job_id) {
            *known = until.max(*known);
            return true;
        }
        let has_room = self.until.len() < MAX_JOBS;
        if has_room {
            self.until.insert(job_id.into(), until);
        }
        has_room
    }

    /// Returns whether it still holds for this job.
    pub(super) fn holds(&self, now: Millis, job_id: &str) -> bool {
        self.until.get(job_id).is_some_and(|&until| now < until)
    }

    /// Removes the jobs for which it no longer holds.
    pub(super) fn prune(&mut self, now: Millis) {
        self.until.retain(|_, until| now < *until);
    }
}
