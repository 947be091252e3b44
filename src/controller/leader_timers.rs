//! Timers of the leader's periodic work and of its last contact with workers.

use crate::Millis;

/// How often all machines and attempts are checked for the effects of elapsed time.
const MAINTENANCE_INTERVAL_MS: Millis = 200;
/// How often the task counts of jobs are sent to the other controllers.
const TASK_COUNTS_INTERVAL_MS: Millis = 1_000;
/// How often changes are written that no work or user waits for.
const BACKGROUND_COMMIT_INTERVAL_MS: Millis = 150;
/// After this long without acting (because of an outage of the state service or a stalled
/// process), the time without reports is measured for all machines from when the leader acts
/// again.
const INACTIVITY_TIMEOUT_MS: Millis = 1_500;
/// A leader that has heard from neither a controller nor a worker for this long resigns, so that
/// another controller can take over.
const ISOLATION_TIMEOUT_MS: Millis = 4_000;

/// The times at which the leader's periodic work was last done.
#[derive(Debug, Default)]
pub(super) struct LeaderTimers {
    claimed_at: Millis,
    worker_contact_at: Millis,
    acted_at: Millis,
    maintained_at: Millis,
    task_counts_sent_at: Millis,
    commit_attempted_at: Millis,
}

impl LeaderTimers {
    /// Records that the shard was claimed or its term raised.
    pub(super) fn claimed(&mut self, now: Millis) {
        self.claimed_at = now;
    }

    /// Records that a worker was heard from. Also called when loading starts, to restart the
    /// isolation timeout.
    pub(super) fn note_worker_contact(&mut self, now: Millis) {
        self.worker_contact_at = now;
    }

    /// Whether neither a controller nor a worker has been heard from within the isolation timeout,
    /// counted from the last claim at the earliest. `peer_heartbeat_at` is the time of the last
    /// heartbeat of any other controller.
    pub(super) fn is_isolated(&self, now: Millis, peer_heartbeat_at: Millis) -> bool {
        now > self.claimed_at + ISOLATION_TIMEOUT_MS
            && now > peer_heartbeat_at + ISOLATION_TIMEOUT_MS
            && now > self.worker_contact_at + ISOLATION_TIMEOUT_MS
    }

    /// Records that the leader is acting. Returns whether it was inactive for longer than the
    /// inactivity timeout before.
    pub(super) fn note_acting(&mut self, now: Millis) -> bool {
        let was_inactive = now > self.acted_at + INACTIVITY_TIMEOUT_MS;
        self.acted_at = now;
        was_inactive
    }

    /// Returns whether maintenance is due, and if so marks it as done.
    pub(super) fn take_maintenance_due(&mut self, now: Millis) -> bool {
        take_due(&mut self.maintained_at, now, MAINTENANCE_INTERVAL_MS)
    }

    /// Returns whether task counts are due, and if so marks them as sent.
    pub(super) fn take_task_counts_due(&mut self, now: Millis) -> bool {
        take_due(&mut self.task_counts_sent_at, now, TASK_COUNTS_INTERVAL_MS)
    }

    /// Whether changes that no work or user waits for are due to be written.
    pub(super) fn is_commit_due(&self, now: Millis) -> bool {
        now >= self.commit_attempted_at + BACKGROUND_COMMIT_INTERVAL_MS
    }

    /// Records that the pending changes were checked for a transaction to send.
    pub(super) fn commit_attempted(&mut self, now: Millis) {
        self.commit_attempted_at = now;
    }
}

/// Returns whether `interval_ms` have passed since `last_at`, and if so sets it to `now`.
fn take_due(last_at: &mut Millis, now: Millis, interval_ms: Millis) -> bool {
    let due = now >= *last_at + interval_ms;
    if due {
        *last_at = now;
    }
    due
}
