//! The life of an attempt beyond one slice: how its end frees what it took, and what
//! follows for its job, its machine and its team.

use super::Shard;
use crate::Millis;
use crate::ids::{AttemptIx, ChunkId, Index, JobIx};
use crate::pipeline::{Job, failure_backoff};
use crate::resources::Resources;
use crate::wire::JobState;
use crate::workers::{Attempt, Outcome};

/// A refused task waits this long before it is placed again.
const REFUSED_RETRY_MS: Millis = 500;
/// Machines that a job remembers to have failed on, at most.
const MAX_FAILED_ON: usize = 3;

impl Shard {
    /// An attempt is proven over: frees what it took and decides what follows.
    pub fn close_attempt(&mut self, now: Millis, ix: AttemptIx, outcome: Outcome) {
        let Some(attempt) = self.workers.attempts.remove(ix) else {
            return;
        };
        self.workers.capacity_changed = true;
        let Some(resources) = self.release_in_job_and_team(&attempt) else {
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
            note_outcome_in_job(now, job, &attempt, outcome);
        }
        self.note_writes_due(&attempt);
    }

    /// The attempt counts against its job and its team no more: what it took.
    fn release_in_job_and_team(&mut self, attempt: &Attempt) -> Option<Resources> {
        let job = self.jobs.table.get_mut(attempt.job)?;
        let resources = job.shape.resources;
        self.jobs.team_quotas[job.team.usize()].used.subtract(resources);
        job.open.remove(&attempt.task);
        Some(resources)
    }

    /// What has to be written now that the attempt is over.
    fn note_writes_due(&mut self, attempt: &Attempt) {
        let Some(job) = self.jobs.table.get_mut(attempt.job) else {
            return;
        };
        if job.ended.is_some() {
            if job.open.is_empty() {
                self.pending_writes.queue_clean_up(attempt.job);
            }
            return;
        }
        let number = job.chunk_index_of(attempt.task, self.jobs.tasks_per_chunk);
        if let Some(chunk) = job.chunks.get_mut(number) {
            chunk.mark_changed();
        }
        self.pending_writes.queue_deferrable_chunk(ChunkId {
            job: attempt.job,
            number: number as u32,
        });
        if job.is_complete() {
            self.pending_writes.queue_finished_job(attempt.job);
        }
    }

    /// This job is gone: its failures count against no machine any more.
    pub fn clear_failures_of_job(&mut self, job: JobIx) {
        self.workers.clear_failures_of(job);
    }

    /// A cancelled job: nothing more starts, and what is open has to end.
    pub(super) fn stop_job_attempts(&mut self, now: Millis, ix: JobIx) {
        let Some(job) = self.jobs.table.get(ix) else {
            return;
        };
        let open: Vec<AttemptIx> = job.open.values().copied().collect();
        for attempt_ix in open {
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

    /// For jobs that were cancelled while a transaction was in flight: drops the attempts
    /// that are only planned, and stops all others.
    pub fn stop_cancelled_jobs(&mut self, now: Millis) {
        for ix in self.jobs.table.indices() {
            let job = self.jobs.table.get(ix);
            if job.is_some_and(|job| job.ended == Some(JobState::Cancelled)) {
                self.stop_job_attempts(now, ix);
            }
        }
    }
}

/// What the end of an attempt means for its job: its task is done, or runs again.
fn note_outcome_in_job(now: Millis, job: &mut Job, attempt: &Attempt, outcome: Outcome) {
    match outcome {
        Outcome::Done => {
            job.consecutive_failures = 0;
            job.failed_on.clear();
            job.done.insert(attempt.task);
        }
        Outcome::Error => {
            avoid_machine(job, attempt);
            let pause = if job.is_likely_misconfigured() {
                failure_backoff(job.consecutive_failures)
            } else {
                0
            };
            job.retry_task(attempt.task, now + pause);
        }
        Outcome::Refused => job.retry_task(attempt.task, now + REFUSED_RETRY_MS),
        Outcome::Stopped | Outcome::Lost => job.retry_task(attempt.task, now),
    }
}

/// The job keeps off the machine it failed on. Once it failed twice on one, or on too
/// many, it is free to go anywhere again.
fn avoid_machine(job: &mut Job, attempt: &Attempt) {
    if !job.failed_on.contains(&attempt.machine) && job.failed_on.len() < MAX_FAILED_ON {
        job.failed_on.push(attempt.machine);
    } else {
        job.failed_on.clear();
    }
}
