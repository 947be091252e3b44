//! Whose fault a failed task is: its machine's, or that of a job which was
//! submitted with a mistake and fails everywhere.
//!
//! The failure of a job that succeeded elsewhere counts against the machine. That of a
//! job that never succeeded does so only until the job has failed often enough, on
//! different machines or at different times, to be taken for mistaken; its failures
//! are then no longer counted against any machine.

use super::{Attempt, Machine, Outcome, Workers};
use crate::Millis;
use crate::ids::JobIx;
use crate::pipeline::Jobs;

/// A machine on which a task failed gets no new tasks for this long, so that a
/// sick one can't swallow a whole queue.
const FAILURE_CORDON_MS: Millis = 5_000;
/// A machine that refused a task gets no new ones for this long.
const REFUSED_CORDON_MS: Millis = 1_000;
/// Failures of jobs that succeeded elsewhere, after which a machine is sick.
const PROVEN_FAILURES: u32 = 3;
/// Jobs that failed here since the last success, after which it is sick: fewer if
/// one of them succeeded elsewhere.
pub(crate) const UNHEALTHY_AFTER_FAILING_JOBS: usize = 3;
const FAILING_JOBS_ONE_PROVEN: usize = 2;

/// The failures that count against a machine.
#[derive(Debug, Default)]
pub struct FailureRecord {
    /// Jobs whose tasks failed here since the last success.
    jobs: Vec<JobIx>,
    /// Failures since then of jobs that succeeded elsewhere.
    proven: u32,
}

impl FailureRecord {
    /// No failure counts against the machine.
    pub fn is_clean(&self) -> bool {
        self.jobs.is_empty() && self.proven == 0
    }

    /// So many failures that the machine is most likely at fault.
    fn is_unhealthy(&self) -> bool {
        let failing_jobs = if self.proven > 0 {
            FAILING_JOBS_ONE_PROVEN
        } else {
            UNHEALTHY_AFTER_FAILING_JOBS
        };
        self.proven >= PROVEN_FAILURES || self.jobs.len() >= failing_jobs
    }

    /// Notes that a task of the job failed here. Returns whether one of them had
    /// failed here before.
    fn note_job(&mut self, job: JobIx) -> bool {
        let is_noted = self.jobs.contains(&job);
        if !is_noted {
            self.jobs.push(job);
        }
        is_noted
    }

    fn clear(&mut self) {
        self.jobs.clear();
        self.proven = 0;
    }
}

impl Machine {
    /// Whether it fails what it is given.
    pub fn is_unhealthy(&self) -> bool {
        self.failures.is_unhealthy()
    }

    /// Takes what the end of an attempt says of the machine; a failure is attributed by
    /// [`Workers::note_failure`].
    pub fn note_outcome(&mut self, now: Millis, outcome: Outcome) {
        match outcome {
            // A task succeeded here: earlier failures no longer count.
            Outcome::Done => self.failures.clear(),
            Outcome::Refused => self.cordoned_until = now + REFUSED_CORDON_MS,
            Outcome::Error | Outcome::Stopped | Outcome::Lost => {}
        }
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
        let failed_here_before = machine.failures.note_job(attempt.job);
        // Tasks that fail together on one machine say no more than one of them.
        let counts_against_job = !failed_here_before || now >= machine.cordoned_until;
        machine.cordoned_until = now + FAILURE_CORDON_MS;
        if !job.done.is_empty() {
            machine.failures.proven += 1;
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
            machine.failures.jobs.retain(|&failing| failing != job);
        }
    }
}
