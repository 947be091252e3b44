//! How far a new leader has come in reading what the former one left.

use crate::Millis;

/// Loading is given up when nothing was read for this long: a full store that
/// answers slowly takes its time, and beginning anew would take as long again.
const STALL_TIMEOUT_MS: Millis = 5_000;

/// The progress of loading.
#[derive(Debug, Default)]
pub(super) struct LoadProgress {
    started_at: Millis,
    last_answer_at: Millis,
}

impl LoadProgress {
    pub(super) fn start(&mut self, now: Millis) {
        self.started_at = now;
        self.last_answer_at = now;
    }

    pub(super) fn answered(&mut self, now: Millis) {
        self.last_answer_at = now;
    }

    pub(super) fn took_ms(&self, now: Millis) -> Millis {
        now - self.started_at
    }

    /// Whether no answer came for long.
    pub(super) fn is_stalled(&self, now: Millis) -> bool {
        now > self.last_answer_at + STALL_TIMEOUT_MS
    }
}
