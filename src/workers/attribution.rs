//! Whose fault a failed task is: its machine's, or that of a job which was
//! submitted with a mistake and fails everywhere.
//!
//! A job that got on elsewhere speaks against the machine. One that never got on
//! speaks against it only until it has failed often enough, on different machines or
//! at different times, to be taken for mistaken; what it said is then taken back.

use super::{Attempt, Machine};
use crate::Millis;
use crate::controller::Shard;
use crate::ids::JobIx;

/// A machine on which a task failed gets no new tasks for this long, so that a
/// sick one can't swallow a whole queue.
const FAILURE_CORDON_MS: Millis = 5_000;
/// Failures of jobs that got on elsewhere, after which a machine is sick.
const PROVEN_FAILURES: u32 = 3;
/// Jobs that failed here since the last success, after which it is sick: fewer if
/// one of them got on elsewhere.
const FAILING_JOBS: usize = 3;
const FAILING_JOBS_ONE_PROVEN: usize = 2;

impl Machine {
    /// Whether it fails what it is given.
    pub fn is_sick(&self) -> bool {
        let failing_jobs = if self.failures > 0 {
            FAILING_JOBS_ONE_PROVEN
        } else {
            FAILING_JOBS
        };
        self.failures >= PROVEN_FAILURES || self.failing.len() >= failing_jobs
    }

    pub fn note_success(&mut self) {
        self.failing.clear();
        self.failures = 0;
    }
}

impl Shard {
    /// A task failed there.
    pub fn note_failure(&mut self, now: Millis, attempt: &Attempt) {
        let (Some(job), Some(machine)) = (
            self.jobs.table.get_mut(attempt.job),
            self.workers.machines.get_mut(attempt.machine),
        ) else {
            return;
        };
        if job.fails_everywhere() {
            job.errors += 1;
            return;
        }
        let known = machine.failing.contains(&attempt.job);
        // Tasks that fail together on one machine say no more than one of them.
        let counts = !known || now >= machine.cordoned_until;
        machine.cordoned_until = now + FAILURE_CORDON_MS;
        if !known {
            machine.failing.push(attempt.job);
        }
        if !job.done.is_empty() {
            machine.failures += 1;
        } else if counts {
            job.errors += 1;
        }
        if job.fails_everywhere() {
            self.clear_machines_of(attempt.job);
        }
    }

    /// This job's failures were its own.
    pub fn clear_machines_of(&mut self, job: JobIx) {
        for (_, machine) in self.workers.machines.iter_mut() {
            machine.failing.retain(|&failing| failing != job);
        }
    }
}

#[cfg(test)]
mod tests;
