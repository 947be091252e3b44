//! Tracks whether a new leader's loading of the shard makes progress.

use crate::Millis;

/// Loading is aborted after this long without a reply that contains data. There is no limit on the
/// total time, since a full and slow store may need long and a new attempt would take just as long.
const STALL_TIMEOUT_MS: Millis = 5_000;

/// The times of the start of loading and of the last reply with data.
#[derive(Debug, Default)]
pub(super) struct LoadProgress {
    started_at: Millis,
    last_reply_at: Millis,
}

impl LoadProgress {
    /// Records the start of loading.
    pub(super) fn start(&mut self, now: Millis) {
        self.started_at = now;
        self.last_reply_at = now;
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
