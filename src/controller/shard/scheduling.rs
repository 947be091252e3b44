//! Placement and preemption: applies the decisions of the scheduler to the shard.

use super::Shard;
use crate::ids::AttemptIx;
use crate::placement::{self, Cluster, PlacementContext, StopMode};
use crate::workers::Outcome;
use crate::{Millis, Now};

impl Shard {
    /// Runs a placement round and queues the writes of the planned attempts. An attempt starts
    /// only once its record is written.
    pub fn place(&mut self, now: Millis) {
        let chunks = placement::place(self.placement_context(now));
        self.pending_writes.queue_urgent_chunks(chunks);
    }

    /// Stops tasks of lower priority to make room for jobs that have waited too long for room. Does
    /// nothing until the next preemption round is due.
    pub fn preempt(&mut self, now: Millis) {
        let cluster = Cluster {
            now: Now {
                monotonic: now,
                wall_clock: self.wall_clock,
            },
            jobs: &self.jobs,
            workers: &self.workers,
            topology: &self.topology,
            policy: &self.policy,
        };
        for victim in self.preemptor.choose_victims(&cluster) {
            self.stop_victim(now, victim);
        }
    }

    /// Returns the parts of the shard that a placement round reads and changes.
    pub(super) fn placement_context(&mut self, now: Millis) -> PlacementContext<'_> {
        PlacementContext {
            now: Now {
                monotonic: now,
                wall_clock: self.wall_clock,
            },
            jobs: &mut self.jobs,
            workers: &mut self.workers,
            topology: &self.topology,
            policy: &self.policy,
        }
    }

    /// Stops an attempt that was chosen for preemption. Closes it immediately if it is only planned.
    fn stop_victim(&mut self, now: Millis, attempt_ix: AttemptIx) {
        let Some(attempt) = self.workers.attempts.get_mut(attempt_ix) else {
            return;
        };
        match StopMode::new(attempt, self.jobs.table.get(attempt.job)) {
            StopMode::Withdraw => self.close_attempt(now, attempt_ix, Outcome::Lost),
            StopMode::Command { grace_s } => {
                attempt.stop_grace_s = Some(grace_s);
                self.workers.delivery_due.insert(attempt.machine);
            }
        }
    }
}
