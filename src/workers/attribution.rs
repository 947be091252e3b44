//! Attribution of task failures, either to the machine or to a job that was submitted with a
//! mistake and fails everywhere.
//!
//! The failure of a job that has succeeded elsewhere counts against the machine. The failure
//! of a job that has never succeeded counts against the machine only until the job has failed
//! often enough, on different machines or at different times, to be considered misconfigured. From
//! then on its failures count against no machine.

use super::{Attempt, Machine, Outcome, Workers};
use crate::Millis;
use crate::ids::JobIx;
use crate::pipeline::Jobs;

/// How long a machine on which a task failed gets no new tasks, so that a faulty machine
/// cannot fail a whole queue of tasks.
const FAILURE_CORDON_MS: Millis = 5_000;
/// How long a machine that refused a task gets no new tasks.
const REFUSED_CORDON_MS: Millis = 1_000;
/// Number of proven failures at which a machine is unhealthy. A failure is proven if its job has
/// succeeded elsewhere.
const UNHEALTHY_AFTER_PROVEN_FAILURES: u32 = 3;
/// Number of distinct jobs failing on a machine since its last success at which the machine
/// is unhealthy, if no failure is proven.
pub(crate) const UNHEALTHY_AFTER_FAILING_JOBS: usize = 3;
/// Number of distinct jobs failing on a machine since its last success at which the machine
/// is unhealthy, if at least one failure is proven.
const UNHEALTHY_AFTER_FAILING_JOBS_ONE_PROVEN: usize = 2;

/// The task failures that count against a machine.
#[derive(Debug, Default)]
pub struct FailureRecord {
    /// Jobs whose tasks have failed on the machine since its last success.
    failing_jobs: Vec<JobIx>,
    /// Number of failures since the last success whose job has succeeded elsewhere.
    proven_failures: u32,
}

impl FailureRecord {
    /// Whether no failure counts against the machine.
    pub fn is_clean(&self) -> bool {
        self.failing_jobs.is_empty() && self.proven_failures == 0
    }

    /// Whether there are so many failures that the machine is most likely at fault.
    fn is_unhealthy(&self) -> bool {
        let failing_jobs_limit = if self.proven_failures > 0 {
            UNHEALTHY_AFTER_FAILING_JOBS_ONE_PROVEN
        } else {
            UNHEALTHY_AFTER_FAILING_JOBS
        };
        self.proven_failures >= UNHEALTHY_AFTER_PROVEN_FAILURES || self.failing_jobs.len() >= failing_jobs_limit
    }

    /// Records that a task of the job failed on the machine. Returns whether a task of this job
    /// had already failed on it since the last success.
    fn note_failing_job(&mut self, job: JobIx) -> bool {
        let failed_before = self.failing_jobs.contains(&job);
        if !failed_before {
            self.failing_jobs.push(job);
        }
        failed_before
    }

    /// Removes all failures.
    fn clear(&mut self) {
        self.failing_jobs.clear();
        self.proven_failures = 0;
    }
}

impl Machine {
    /// Whether so many tasks fail on the machine that it is most likely at fault.
    pub fn is_unhealthy(&self) -> bool {
        self.failures.is_unhealthy()
    }

    /// Updates the machine after the end of an attempt. Failures of tasks are handled by
    /// [`Workers::note_failure`].
    pub fn note_outcome(&mut self, now: Millis, outcome: Outcome) {
        match outcome {
            // A success clears all earlier failures.
            Outcome::Done => self.failures.clear(),
            Outcome::Refused => self.cordoned_until = now + REFUSED_CORDON_MS,
            Outcome::Error | Outcome::Stopped | Outcome::Lost => {}
        }
    }
}

impl Workers {
    /// Counts the failure of a task against its machine, its job or both.
    pub fn note_failure(&mut self, now: Millis, attempt: &Attempt, jobs: &mut Jobs) {
        let (Some(job), Some(machine)) = (jobs.table.get_mut(attempt.job), self.machines.get_mut(attempt.machine))
        else {
            return;
        };
        if job.is_likely_misconfigured() {
            job.consecutive_failures += 1;
            return;
        }
        let failed_here_before = machine.failures.note_failing_job(attempt.job);
        // Several tasks of a job that fail together on one machine count against the job
        // once.
        let counts_against_job = !failed_here_before || now >= machine.cordoned_until;
        machine.cordoned_until = now + FAILURE_CORDON_MS;
        if !job.done.is_empty() {
            machine.failures.proven_failures += 1;
        } else if counts_against_job {
            job.consecutive_failures += 1;
        }
        if job.is_likely_misconfigured() {
            self.clear_failures_of(attempt.job);
        }
    }

    /// Removes a job from the failing jobs of all machines, because the job itself is at fault
    /// or has been removed. Proven failures stay.
    pub fn clear_failures_of(&mut self, job: JobIx) {
        for (_, machine) in self.machines.iter_mut() {
            machine.failures.failing_jobs.retain(|&failing_job| failing_job != job);
        }
    }
}
