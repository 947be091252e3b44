//! The monotonic clock and the wall clock of this process.

use crate::{Millis, Now};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Value of the monotonic clock at the start of the process. It is well above 0, so that times
/// before the start can be represented.
const MONOTONIC_START_MS: Millis = 1_000_000;

/// Reads the monotonic clock and the wall clock.
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time starts now.
    pub fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the current time on both clocks.
    pub fn now(&self) -> Now {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            monotonic: MONOTONIC_START_MS + self.start.elapsed().as_millis() as Millis,
            wall_clock: since_epoch.map_or(0, |time| time.as_millis() as Millis),
        }
    }
}
