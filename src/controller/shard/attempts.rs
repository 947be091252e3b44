//! Closing and stopping of attempts, with the consequences for their job, machine and team.

use super::Shard;
use crate::Millis;
use crate::ids::{AttemptIx, ChunkId, Index, JobIx};
use crate::pipeline::{Job, failure_backoff};
use crate::resources::Resources;
use crate::wire::JobState;
use crate::workers::{Attempt, Outcome};

/// Milliseconds until a task that a worker refused to start may be placed again.
const REFUSED_RETRY_MS: Millis = 500;
/// The most machines that a job avoids because its tasks failed there.
const MAX_AVOIDED_MACHINES: usize = 3;

impl Shard {
    /// Closes an attempt that has provably ended or can't start any more: releases its resources,
    /// records the outcome and queues the writes that follow.
    pub fn close_attempt(&mut self, now: Millis, ix: AttemptIx, outcome: Outcome) {
        let Some(attempt) = self.workers.attempts.remove(ix) else {
            return;
        };
        self.workers.capacity_changed = true;
        self.closed_attempts.add(outcome);
        let Some(resources) = self.release_from_job_and_team(&attempt) else {
            return;
        };
        if let Some(machine) = self.workers.machines.get_mut(attempt.machine) {
            machine.release(now, ix, resources);
            machine.note_outcome(now, outcome);
        }
        if outcome == Outcome::Error {
            self.workers.note_failure(now, &attempt, &mut self.jobs);
        }
        if let Some(job) = self.jobs.table.get_mut(attempt.job) {
            record_outcome_in_job(now, job, &attempt, outcome);
        }
        self.queue_writes_after_close(&attempt);
    }

    /// Removes an attempt from its job's open attempts and from its team's usage. Returns the
    /// resources that the attempt used; `None` if its job no longer exists.
    fn release_from_job_and_team(&mut self, attempt: &Attempt) -> Option<Resources> {
        let job = self.jobs.table.get_mut(attempt.job)?;
        let resources = job.shape.resources;
        self.jobs.team_quotas[job.team.usize()].used.subtract(resources);
        job.open.remove(&attempt.task);
        Some(resources)
    }

    /// Queues the writes that are due because an attempt was closed.
    fn queue_writes_after_close(&mut self, attempt: &Attempt) {
        let Some(job) = self.jobs.table.get_mut(attempt.job) else {
            return;
        };
        if job.ended.is_some() {
            if job.open.is_empty() {
                self.pending_writes.queue_clean_up(attempt.job);
            }
            return;
        }
        let chunk_index = job.chunk_index_of(attempt.task, self.jobs.tasks_per_chunk);
        if let Some(chunk) = job.chunks.get_mut(chunk_index) {
            chunk.mark_changed();
        }
        self.pending_writes.queue_deferrable_chunk(ChunkId {
            job: attempt.job,
            number: chunk_index as u32,
        });
        if job.is_complete() {
            self.pending_writes.queue_finished_job(attempt.job);
        }
    }

    /// Removes the failures of a job from all machines, because the job has been removed.
    pub fn clear_failures_of_job(&mut self, job: JobIx) {
        self.workers.clear_failures_of(job);
    }

    /// Stops all open attempts of a cancelled job without a grace period. Attempts that are only
    /// planned are closed immediately. If no attempt is open any more, queues the job's clean-up.
    pub(super) fn stop_job_attempts(&mut self, now: Millis, ix: JobIx) {
        let Some(job) = self.jobs.table.get(ix) else {
            return;
        };
        let open_attempts: Vec<AttemptIx> = job.open.values().copied().collect();
        for attempt_ix in open_attempts {
            let Some(attempt) = self.workers.attempts.get_mut(attempt_ix) else {
                continue;
            };
            attempt.stop_grace_s = Some(0.0);
            let machine = attempt.machine;
            if attempt.is_only_planned() {
                self.close_attempt(now, attempt_ix, Outcome::Lost);
            } else {
                self.workers.delivery_due.insert(machine);
            }
        }
        if self.jobs.table.get(ix).is_some_and(|job| job.open.is_empty()) {
            self.pending_writes.queue_clean_up(ix);
        }
    }

    /// Stops all open attempts of every cancelled job. After a transaction, whether it was applied
    /// or not, this stops the attempts in it whose job was cancelled while it was in flight.
    pub fn stop_cancelled_jobs(&mut self, now: Millis) {
        for ix in self.jobs.table.indices() {
            let job = self.jobs.table.get(ix);
            if job.is_some_and(|job| job.ended == Some(JobState::Cancelled)) {
                self.stop_job_attempts(now, ix);
            }
        }
    }
}

/// Records the outcome of an attempt in its job: the task is done, or is queued to run again.
fn record_outcome_in_job(now: Millis, job: &mut Job, attempt: &Attempt, outcome: Outcome) {
    match outcome {
        Outcome::Done => {
            job.consecutive_failures = 0;
            job.failed_on.clear();
            job.done.insert(attempt.task);
        }
        Outcome::Error => {
            update_avoided_machines(job, attempt);
            let backoff_ms = if job.is_likely_misconfigured() {
                failure_backoff(job.consecutive_failures)
            } else {
                0
            };
            job.retry_task(attempt.task, now + backoff_ms);
        }
        Outcome::Refused => job.retry_task(attempt.task, now + REFUSED_RETRY_MS),
        Outcome::Stopped | Outcome::Lost => job.retry_task(attempt.task, now),
    }
}

/// Makes a job avoid the machine on which its attempt failed. If the job already avoids this
/// machine, or already avoids [`MAX_AVOIDED_MACHINES`], it may use all machines again.
fn update_avoided_machines(job: &mut Job, attempt: &Attempt) {
    if !job.failed_on.contains(&attempt.machine) && job.failed_on.len() < MAX_AVOIDED_MACHINES {
        job.failed_on.push(attempt.machine);
    } else {
        job.failed_on.clear();
    }
}
