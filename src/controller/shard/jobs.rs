//! Addition, update and removal of jobs as their watched keys change.

use super::Shard;
use crate::Millis;
use crate::ids::JobIx;
use crate::pipeline::TaskCounts;
use crate::store::JobKey;
use crate::wire::{JobState, TaskState};

impl Shard {
    /// Adds or updates a job whose key appeared or changed. A change that is not newer than the
    /// known version is ignored.
    pub fn job_changed(&mut self, now: Millis, id: &str, key: &JobKey, version: u64) {
        match self.jobs.table.find(id) {
            Some(ix) => self.update_job(now, ix, key, version),
            None => self.add_job(id, key, version),
        }
    }

    /// Adds a job, and queues its clean-up if it has already ended. Logs an error if the job can't be
    /// added.
    fn add_job(&mut self, id: &str, key: &JobKey, version: u64) {
        match self.jobs.add(id, key, version, &mut self.topology) {
            Ok(ix) if key.ended.is_some() => self.pending_writes.queue_clean_up(ix),
            Ok(_) => {}
            Err(error) => tracing::error!(job = id, %error, "can't add a job"),
        }
    }

    /// Updates a known job from a newer version of its key, and stops its attempts if it was
    /// cancelled.
    fn update_job(&mut self, now: Millis, ix: JobIx, key: &JobKey, version: u64) {
        let Some(job) = self.jobs.table.get_mut(ix) else {
            return;
        };
        if version <= job.key_version {
            return;
        }
        job.key_version = version;
        if job.ended.is_some() {
            return;
        }
        job.ended = key.ended;
        if key.ended == Some(JobState::Cancelled) {
            self.stop_job_attempts(now, ix);
        }
    }

    /// Removes jobs whose keys have been deleted. A watch event that is read before a job's
    /// clean-up and applied after it adds the job again, although no write for it can succeed. If a
    /// job still has open attempts, it is kept and a higher term is requested.
    ///
    /// Must not be called while a transaction is in flight, since the transaction refers to jobs
    /// by index.
    pub fn forget_deleted_jobs(&mut self) {
        for id in self.jobs.take_deleted() {
            let Some(job) = self.jobs.find(&id) else {
                continue;
            };
            if job.open.is_empty() {
                self.remove_job(&id);
            } else {
                tracing::error!(job = id, "the key of a job with open attempts was deleted");
                self.workers.needs_higher_term = true;
            }
        }
    }

    /// Removes a job whose key has been deleted, and discards its pending writes.
    pub fn remove_job(&mut self, id: &str) {
        let Some(ix) = self.jobs.table.find(id) else {
            return;
        };
        let removed = self.jobs.table.remove(id);
        self.pending_writes.forget_job(ix);
        // The index may be reused for another job.
        if removed.is_some_and(|job| job.consecutive_failures > 0) {
            self.clear_failures_of_job(ix);
        }
    }

    /// Returns how many tasks of a job are done and how many are running or saving, for display;
    /// `None` if the job is unknown.
    pub fn task_counts(&self, id: &str) -> Option<TaskCounts> {
        let job = self.jobs.find(id)?;
        let is_running = |ix| {
            let attempt = self.workers.attempts.get(ix);
            let observed_state = attempt.and_then(|attempt| attempt.observed_state);
            matches!(observed_state, Some(TaskState::Running | TaskState::Saving))
        };
        let running = job.open.values().filter(|&&ix| is_running(ix)).count();
        Some(TaskCounts {
            done: job.done.len(),
            running: running as u32,
        })
    }
}
