//! The clocks of this process.

use crate::{Millis, Now};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Where the monotonic clock starts: well above 0, so that "long ago" can be told.
const MONOTONIC_START_MS: Millis = 1_000_000;

/// Reads the monotonic clock and the wall clock.
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock whose monotonic time starts now.
    pub fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    /// The time on both clocks.
    pub fn now(&self) -> Now {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            monotonic: MONOTONIC_START_MS + self.start.elapsed().as_millis() as Millis,
            wall_clock: since_epoch.map_or(0, |time| time.as_millis() as Millis),
        }
    }
}
