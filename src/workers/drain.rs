//! Draining of spot machines that the cloud is about to reclaim.

use super::{Attempt, Workers};
use crate::Millis;
use crate::pipeline::Jobs;
use crate::wire::{JobSpec, TaskState};

/// Seconds allowed for a stop command to arrive and for the end of the attempt to be reported.
const STOP_MARGIN_S: f64 = 3.0;

impl Workers {
    /// Stops tasks on machines that the cloud is about to reclaim. Tasks that can save their
    /// progress are stopped as late as is safe. Tasks that can neither save nor finish in time
    /// are stopped immediately, so that they restart elsewhere sooner.
    pub fn drain(&mut self, now: Millis, jobs: &Jobs) {
        for (ix, machine) in self.machines.iter() {
            let Some(spot_reclaim_at) = machine.spot_reclaim_at else {
                continue;
            };
            let left_s = spot_reclaim_at.saturating_sub(now) as f64 / 1000.0;
            for &open in &machine.open {
                let Some(attempt) = self.attempts.get_mut(open) else {
                    continue;
                };
                let Some(job) = jobs.table.get(attempt.job) else {
                    continue;
                };
                if attempt.stop_grace_s.is_some() || attempt.observed_state.is_none() {
                    continue;
                }
                if let Some(grace_s) = attempt.grace_before_reclaim(now, &job.spec, left_s) {
                    attempt.stop_grace_s = Some(grace_s);
                    self.delivery_due.insert(ix);
                }
            }
        }
    }
}

impl Attempt {
    /// Returns the seconds to allow for saving if the attempt should be stopped now, given that
    /// its machine is reclaimed in `left_s` seconds. Returns `None` if the attempt can save and
    /// need not be stopped yet, or if it cannot save but is expected to finish in time.
    fn grace_before_reclaim(&self, now: Millis, spec: &JobSpec, left_s: f64) -> Option<f64> {
        let finishes_in_time = spec.estimate_s - self.observed_running_s(now) < left_s;
        let can_save = spec.checkpoint_s > 0.0 && self.observed_state == Some(TaskState::Running);
        if can_save && spec.save_s < left_s {
            let can_wait = left_s > spec.save_s + STOP_MARGIN_S;
            (!can_wait).then_some(spec.save_s)
        } else {
            (!finishes_in_time).then_some(0.0)
        }
    }
}

#[cfg(test)]
mod tests;
