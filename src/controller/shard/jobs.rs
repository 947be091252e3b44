//! Jobs that appear, change and go in the watched keys.

use super::Shard;
use crate::Millis;
use crate::pipeline::JobBuilder;
use crate::store::JobKey;
use crate::wire::{JobState, TaskState};

impl Shard {
    /// A job key appeared or changed.
    pub fn job_changed(&mut self, now: Millis, id: &str, key: &JobKey, version: u64) {
        let Some(ix) = self.jobs.table.find(id) else {
            let mut builder = JobBuilder {
                teams: &self.jobs.team_names,
                types: &mut self.topology.types,
                zones: &mut self.topology.zones,
                images: &mut self.jobs.images,
                classes: &mut self.jobs.classes,
                due: &self.jobs.due,
                start_within: &self.jobs.start_within,
            };
            match builder.admit(key, version, self.jobs.chunk_tasks) {
                Some(job) => {
                    let ended = job.ended.is_some();
                    let ix = self.jobs.table.insert(id, job);
                    if ended {
                        self.pending_writes.cleanups.insert(ix);
                    }
                }
                None => tracing::error!(job = id, "a job of an unknown team"),
            }
            self.topology.cover_all_types();
            return;
        };
        let Some(job) = self.jobs.table.get_mut(ix) else {
            return;
        };
        if version <= job.key_version {
            return;
        }
        job.key_version = version;
        if job.ended.is_none() && key.ended.is_some() {
            job.ended = key.ended;
            if key.ended == Some(JobState::Cancelled) {
                self.stop_all(now, ix);
            }
        }
    }

    /// Forgets jobs whose keys are gone. An old event, read before a job's last
    /// clean-up and taken in after it, may have brought the job back; nothing
    /// could ever be written of it again. Not while a transaction is in flight:
    /// it names jobs by index.
    pub fn forget_deleted_jobs(&mut self) {
        for id in std::mem::take(&mut self.jobs.deleted_jobs) {
            let Some(job) = self.jobs.table.find(&id).and_then(|ix| self.jobs.table.get(ix)) else {
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

    pub fn remove_job(&mut self, id: &str) {
        if let Some(ix) = self.jobs.table.find(id) {
            let removed = self.jobs.table.remove(id);
            self.pending_writes.forget_job(ix);
            // Its index may be given to another.
            if removed.is_some_and(|job| job.errors > 0) {
                self.clear_machines_of(ix);
            }
        }
    }

    /// Tasks done and on machines, for display.
    pub fn counts(&self, id: &str) -> Option<(u32, u32)> {
        let job = self.jobs.table.find(id).and_then(|ix| self.jobs.table.get(ix))?;
        let running = job
            .open
            .values()
            .filter(|&&ix| {
                let observed_state = self.workers.attempts.get(ix).and_then(|attempt| attempt.observed_state);
                matches!(observed_state, Some(TaskState::Running | TaskState::Saving))
            })
            .count() as u32;
        Some((job.done.len(), running))
    }
}
