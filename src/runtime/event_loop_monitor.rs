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
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A tick later than this means that it does not.
const MAX_TICK_DELAY: Duration = Duration::from_millis(100);

/// Knows when the event loop last ticked.
pub struct EventLoopMonitor {
    start: Instant,
    /// Since `start`.
    last_tick_ms: AtomicU64,
}

impl EventLoopMonitor {
    /// Counts the loop as on time for now.
    pub fn new() -> EventLoopMonitor {
        EventLoopMonitor {
            start: Instant::now(),
            last_tick_ms: AtomicU64::new(0),
        }
    }

    /// Notes that the loop ticks now.
    pub fn record_tick(&self) {
        let elapsed_ms = self.start.elapsed().as_millis() as u64;
        self.last_tick_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    /// Whether the next tick is late by now.
    pub fn is_behind(&self) -> bool {
        self.is_behind_at(self.start.elapsed())
    }

    fn is_behind_at(&self, since_start: Duration) -> bool {
        let last_tick = Duration::from_millis(self.last_tick_ms.load(Ordering::Relaxed));
        since_start > last_tick + TICK_INTERVAL + MAX_TICK_DELAY
    }
}

#[cfg(test)]
mod tests;
