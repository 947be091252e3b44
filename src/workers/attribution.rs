//! Whose fault a failed task is: its machine's, or that of a job which was
//! submitted with a mistake and fails everywhere.
//!
//! The failure of a job that succeeded elsewhere counts against the machine. That of a
//! job that never succeeded does so only until the job has failed often enough, on
//! different machines or at different times, to be taken for mistaken; its failures
//! are then no longer counted against any machine.

use super::{Attempt, Machine, Workers};
use crate::Millis;
use crate::ids::JobIx;
use crate::pipeline::Jobs;

/// A machine on which a task failed gets no new tasks for this long, so that a
/// sick one can't swallow a whole queue.
const FAILURE_CORDON_MS: Millis = 5_000;
/// Failures of jobs that succeeded elsewhere, after which a machine is sick.
const PROVEN_FAILURES: u32 = 3;
/// Jobs that failed here since the last success, after which it is sick: fewer if
/// one of them succeeded elsewhere.
pub(crate) const FAILING_JOBS: usize = 3;
const FAILING_JOBS_ONE_PROVEN: usize = 2;

impl Machine {
    /// Whether it fails what it is given.
    pub fn is_sick(&self) -> bool {
        let failing_jobs = if self.proven_failures > 0 {
            FAILING_JOBS_ONE_PROVEN
        } else {
            FAILING_JOBS
        };
        self.proven_failures >= PROVEN_FAILURES || self.failing_jobs.len() >= failing_jobs
    }

    /// A task succeeded here: earlier failures no longer count against the machine.
    pub(super) fn note_success(&mut self) {
        self.failing_jobs.clear();
        self.proven_failures = 0;
    }
}

impl Workers {
    /// A task failed: counts it against its machine or against its job.
    pub fn note_failure(&mut self, now: Millis, attempt: &Attempt, jobs: &mut Jobs) {
        let (Some(job), Some(machine)) = (jobs.table.get_mut(attempt.job), self.machines.get_mut(attempt.machine))
        else {
            return;
        };
        if job.is_likely_mistaken() {
            job.errors += 1;
            return;
        }
        let is_noted = machine.failing_jobs.contains(&attempt.job);
        // Tasks that fail together on one machine say no more than one of them.
        let counts_against_job = !is_noted || now >= machine.cordoned_until;
        machine.cordoned_until = now + FAILURE_CORDON_MS;
        if !is_noted {
            machine.failing_jobs.push(attempt.job);
        }
        if !job.done.is_empty() {
            machine.proven_failures += 1;
        } else if counts_against_job {
            job.errors += 1;
        }
        if job.is_likely_mistaken() {
            self.clear_failures_of(attempt.job);
        }
    }

    /// This job's failures were its own, or the job is gone: they no longer count
    /// against any machine.
    pub fn clear_failures_of(&mut self, job: JobIx) {
        for (_, machine) in self.machines.iter_mut() {
            machine.failing_jobs.retain(|&failing| failing != job);
        }
    }
}
