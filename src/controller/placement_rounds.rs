//! Timing of the leader's placement rounds, which assign waiting tasks to machines.

use crate::Millis;

/// Interval between two rounds if something has changed in between.
const INTERVAL_AFTER_CHANGE_MS: Millis = 25;
/// Interval between two rounds without any change.
const INTERVAL_WITHOUT_CHANGE_MS: Millis = 400;
/// The number of machines and jobs that lengthens the interval after a change by one millisecond,
/// since the cost of a round grows with their number.
const SIZE_PER_EXTRA_MS: usize = 20;

/// The time of the last placement round, and whether a new one was requested.
#[derive(Debug, Default)]
pub(super) struct PlacementRounds {
    last_at: Millis,
    is_requested: bool,
}

impl PlacementRounds {
    /// Requests a round after a change that may allow more tasks to be placed.
    pub(super) fn request(&mut self) {
        self.is_requested = true;
    }

    /// Returns whether a round is due, and if so marks it as started. `size` is the number of
    /// machines and jobs.
    pub(super) fn take_due(&mut self, now: Millis, size: usize) -> bool {
        let pause = if self.is_requested {
            INTERVAL_AFTER_CHANGE_MS + (size / SIZE_PER_EXTRA_MS) as Millis
        } else {
            INTERVAL_WITHOUT_CHANGE_MS
        };
        let due = now >= self.last_at + pause;
        if due {
            self.last_at = now;
            self.is_requested = false;
        }
        due
    }
}
