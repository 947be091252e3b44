//! Draining machines that the cloud is about to take away.

use super::{Attempt, Workers};
use crate::Millis;
use crate::pipeline::Jobs;
use crate::wire::{JobSpec, TaskState};

/// Time for a stop command to arrive and its end to be reported.
const MARGIN_S: f64 = 3.0;

impl Workers {
    /// On machines that the cloud is about to take: tasks that can save do so
    /// as late as is safe; those that can't finish in time end now, so that
    /// they start again elsewhere the sooner.
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
    /// The time to save with which it should be stopped now, if its machine goes in
    /// `left_s` seconds. `None`: it finishes before, or need not be stopped yet.
    fn grace_before_reclaim(&self, now: Millis, spec: &JobSpec, left_s: f64) -> Option<f64> {
        let finishes = spec.estimate_s - self.ran_s(now) < left_s;
        let saves = spec.checkpoint_s > 0.0 && self.observed_state == Some(TaskState::Running);
        if saves && spec.save_s < left_s {
            let can_wait = left_s > spec.save_s + MARGIN_S;
            (!can_wait).then_some(spec.save_s)
        } else {
            (!finishes).then_some(0.0)
        }
    }
}

#[cfg(test)]
mod tests;
