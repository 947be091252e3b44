//! Tracks whether a new leader's loading of the shard makes progress.

use crate::Millis;

/// Loading is aborted after this long without a reply. There is no limit on the total time, since
/// a full and slow store may need long and a new attempt would take just as long.
const STALL_TIMEOUT_MS: Millis = 5_000;

/// The times of the start of loading and of its last reply.
#[derive(Debug, Default)]
pub(super) struct LoadProgress {
    started_at: Millis,
    last_answer_at: Millis,
}

impl LoadProgress {
    /// Records the start of loading.
    pub(super) fn start(&mut self, now: Millis) {
        self.started_at = now;
        self.last_answer_at = now;
    }

    /// Records a reply with data.
    pub(super) fn answered(&mut self, now: Millis) {
        self.last_answer_at = now;
    }

    /// The time since the start of loading, in milliseconds.
    pub(super) fn took_ms(&self, now: Millis) -> Millis {
        now - self.started_at
    }

    /// Whether no reply has arrived within the stall timeout.
    pub(super) fn is_stalled(&self, now: Millis) -> bool {
        now > self.last_answer_at + STALL_TIMEOUT_MS
    }
}
