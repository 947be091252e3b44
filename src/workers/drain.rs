use crate::Millis;
use crate::controller::Shard;
use crate::wire::TaskState;

/// Time for a stop command to arrive and its end to be reported.
const MARGIN_S: f64 = 3.0;

impl Shard {
    /// On machines that the cloud is about to take: tasks that can save do so
    /// as late as is safe; those that can't finish in time end now, so that
    /// they start again elsewhere the sooner.
    pub fn drain(&mut self, now: Millis) {
        for ix in self.workers.machines.indices() {
            let Some(machine) = self.workers.machines.get(ix) else {
                continue;
            };
            let Some(spot_reclaim_at) = machine.spot_reclaim_at else {
                continue;
            };
            let left_s = spot_reclaim_at.saturating_sub(now) as f64 / 1000.0;
            let mut stopped = false;
            for open in machine.open.clone() {
                let Some(attempt) = self.workers.attempts.get_mut(open) else {
                    continue;
                };
                let Some(job) = self.jobs.table.get(attempt.job) else {
                    continue;
                };
                if attempt.stop.is_some() || attempt.observed_state.is_none() {
                    continue;
                }
                let ran_s = attempt.running_since.map_or(0.0, |since| (now - since) as f64 / 1000.0);
                let spec = &job.spec;
                let finishes = spec.estimate_s - ran_s < left_s;
                let saves = spec.checkpoint_s > 0.0 && attempt.observed_state == Some(TaskState::Running);
                let grace_s = if saves && spec.save_s < left_s {
                    if left_s > spec.save_s + MARGIN_S {
                        continue;
                    }
                    spec.save_s
                } else if finishes {
                    continue;
                } else {
                    0.0
                };
                attempt.stop = Some(grace_s);
                stopped = true;
            }
            if stopped {
                self.workers.delivery_due.insert(ix);
            }
        }
    }
}
