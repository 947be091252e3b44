//! Jobs that appear, change and go in the watched keys.

use super::Shard;
use crate::Millis;
use crate::ids::JobIx;
use crate::pipeline::TaskCounts;
use crate::store::JobKey;
use crate::wire::{JobState, TaskState};

impl Shard {
    /// A job key appeared or changed.
    pub fn job_changed(&mut self, now: Millis, id: &str, key: &JobKey, version: u64) {
        match self.jobs.table.find(id) {
            Some(ix) => self.update_job(now, ix, key, version),
            None => self.add_job(id, key, version),
        }
    }

    fn add_job(&mut self, id: &str, key: &JobKey, version: u64) {
        match self.jobs.add(id, key, version, &mut self.topology) {
            Ok(ix) if key.ended.is_some() => self.pending_writes.queue_clean_up(ix),
            Ok(_) => {}
            Err(error) => tracing::error!(job = id, %error, "a job can't be taken"),
        }
    }

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

    /// Forgets jobs whose keys are gone. An old event, read before a job's last
    /// clean-up and taken in after it, may have brought the job back; nothing
    /// could ever be written of it again. Not while a transaction is in flight:
    /// it names jobs by index.
    pub fn forget_deleted_jobs(&mut self) {
        for id in self.jobs.take_deleted() {
            let Some(job) = self.jobs.find(&id) else {
                continue;
            };
            if job.open.is_empty() {
                self.remove_job(&id);
            } else {
                tracing::error!(job = id, "a job's key is gone while its tasks are open");
                self.workers.needs_higher_term = true;
            }
        }
    }

    /// Removes a job of which nothing is left to write.
    pub fn remove_job(&mut self, id: &str) {
        let Some(ix) = self.jobs.table.find(id) else {
            return;
        };
        let removed = self.jobs.table.remove(id);
        self.pending_writes.forget_job(ix);
        // Its index may be given to another.
        if removed.is_some_and(|job| job.consecutive_failures > 0) {
            self.clear_failures_of_job(ix);
        }
    }

    /// Tasks done and on machines, for display.
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
