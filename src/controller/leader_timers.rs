//! When the leader last did what it does now and then, and when it last heard anybody.

use crate::Millis;

/// How often all machines are looked over for what time alone has changed.
const MAINTENANCE_INTERVAL_MS: Millis = 200;
/// How often the others are told the task counts of jobs.
const TASK_COUNTS_INTERVAL_MS: Millis = 1_000;
/// How often what nobody waits for is written.
const BACKGROUND_COMMIT_INTERVAL_MS: Millis = 150;
/// After this long without acting (the state service was out, or this process
/// stood still) the silence of machines counts from now on.
const INACTIVITY_TIMEOUT_MS: Millis = 1_500;
/// A leader that hears nobody, no controller and no worker, for this long
/// gives the shard up for another to take.
const ISOLATION_TIMEOUT_MS: Millis = 4_000;

/// Times of the leader's recurring work.
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
    /// The shard was claimed, or its term raised.
    pub(super) fn claimed(&mut self, now: Millis) {
        self.claimed_at = now;
    }

    /// A worker reported.
    pub(super) fn note_worker_contact(&mut self, now: Millis) {
        self.worker_contact_at = now;
    }

    /// Whether nobody was heard for long. `peer_heard_at`: when the last controller was.
    pub(super) fn is_isolated(&self, now: Millis, peer_heard_at: Millis) -> bool {
        now > self.claimed_at + ISOLATION_TIMEOUT_MS
            && now > peer_heard_at + ISOLATION_TIMEOUT_MS
            && now > self.worker_contact_at + ISOLATION_TIMEOUT_MS
    }

    /// Notes that the leader acts. Whether it had not for long.
    pub(super) fn note_acting(&mut self, now: Millis) -> bool {
        let was_inactive = now > self.acted_at + INACTIVITY_TIMEOUT_MS;
        self.acted_at = now;
        was_inactive
    }

    /// Whether maintenance is due, which then counts as done.
    pub(super) fn take_maintenance_due(&mut self, now: Millis) -> bool {
        take_due(&mut self.maintained_at, now, MAINTENANCE_INTERVAL_MS)
    }

    /// Whether task counts are due, which then count as sent.
    pub(super) fn take_task_counts_due(&mut self, now: Millis) -> bool {
        take_due(&mut self.task_counts_sent_at, now, TASK_COUNTS_INTERVAL_MS)
    }

    /// Whether to write also what nobody waits for.
    pub(super) fn is_commit_due(&self, now: Millis) -> bool {
        now >= self.commit_attempted_at + BACKGROUND_COMMIT_INTERVAL_MS
    }

    /// A transaction was looked for.
    pub(super) fn commit_attempted(&mut self, now: Millis) {
        self.commit_attempted_at = now;
    }
}

fn take_due(last_at: &mut Millis, now: Millis, every: Millis) -> bool {
    let due = now >= *last_at + every;
    if due {
        *last_at = now;
    }
    due
}
