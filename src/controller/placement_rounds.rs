//! When the leader looks for machines for the tasks that wait.

use crate::Millis;

/// Pause between two rounds, if something has changed.
const INTERVAL_AFTER_CHANGE_MS: Millis = 25;
/// Pause between two rounds without any change.
const INTERVAL_WITHOUT_CHANGE_MS: Millis = 400;
/// Machines and jobs that make the pause a millisecond longer: what a round costs
/// grows with them.
const SIZE_PER_EXTRA_MS: usize = 20;

/// The leader's rounds of placement.
#[derive(Debug, Default)]
pub(super) struct PlacementRounds {
    last_at: Millis,
    is_requested: bool,
}

impl PlacementRounds {
    /// Something has changed: a round may place what the last could not.
    pub(super) fn request(&mut self) {
        self.is_requested = true;
    }

    /// Whether a round is due, which then counts as begun. `size`: machines and jobs.
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
