//! Whether the event loop keeps up.
//!
//! Connection tasks and the event loop share one thread. When thousands of workers
//! connect anew at once, as after a crash of all controllers, serving them as fast as
//! they come would leave no time for the lease and for taking over, and without a
//! leader they come again a second later. So connections are accepted only while the
//! loop keeps up; the others wait in the listener's queue.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The loop ticks this often when it keeps up.
pub const TICK: Duration = Duration::from_millis(50);
/// A tick later than this means that it does not.
const LATE: Duration = Duration::from_millis(100);

/// When the event loop last ticked.
pub struct Pace {
    start: Instant,
    ticked_ms: AtomicU64,
}

impl Pace {
    /// Counts the loop as on time for now.
    pub fn new() -> Pace {
        Pace {
            start: Instant::now(),
            ticked_ms: AtomicU64::new(0),
        }
    }

    /// The loop ticks.
    pub fn tick(&self) {
        self.ticked_ms
            .store(self.start.elapsed().as_millis() as u64, Ordering::Relaxed);
    }

    /// Whether the next tick is late by now.
    pub fn is_behind(&self) -> bool {
        self.is_behind_at(self.start.elapsed())
    }

    fn is_behind_at(&self, since_start: Duration) -> bool {
        let ticked = Duration::from_millis(self.ticked_ms.load(Ordering::Relaxed));
        since_start > ticked + TICK + LATE
    }
}

#[cfg(test)]
mod tests;
