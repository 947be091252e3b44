//! Tracks whether a new leader's loading of the shard makes progress.

use crate::Millis;

/// Loading is aborted after this long without a reply that contains data. There is no limit on the
/// total time, since a full and slow store may need long and a new attempt would take just as long.
const STALL_TIMEOUT_MS: Millis = 5_000;

/// The times of the start of loading and of the last reply with data, and when the jobs are loaded.
#[derive(Debug, Default)]
pub(super) struct LoadProgress {
    started_at: Millis,
    last_reply_at: Millis,
    /// From when on the jobs are to be loaded from the watch cache, once it is complete.
    jobs_due: Option<Millis>,
}

impl LoadProgress {
    /// Records the start of loading.
    pub(super) fn start(&mut self, now: Millis) {
        self.started_at = now;
        self.last_reply_at = now;
        self.jobs_due = None;
    }

    /// Schedules the loading of the jobs from the watch cache.
    pub(super) fn schedule_jobs(&mut self, not_before: Millis) {
        self.jobs_due = Some(not_before);
    }

    /// Returns whether the jobs are to be loaded now, and if so marks that as begun.
    pub(super) fn take_jobs_due(&mut self, now: Millis) -> bool {
        self.jobs_due.take_if(|not_before| now >= *not_before).is_some()
    }

    /// Records a reply that contains data.
    pub(super) fn reply_received(&mut self, now: Millis) {
        self.last_reply_at = now;
    }

    /// The time since the start of loading, in milliseconds.
    pub(super) fn elapsed_ms(&self, now: Millis) -> Millis {
        now - self.started_at
    }

    /// Whether no reply with data has arrived within the stall timeout.
    pub(super) fn is_stalled(&self, now: Millis) -> bool {
        now > self.last_reply_at + STALL_TIMEOUT_MS
    }
}
