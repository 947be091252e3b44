//! Detects when the event loop falls behind.
//!
//! Connection tasks and the event loop share one thread. When thousands of workers
//! reconnect at once, as after a crash of all controllers, serving them as fast as they
//! connect would leave no time for renewing the lease or taking over leadership, and
//! without a leader the workers reconnect a second later. Connections are therefore
//! accepted only while the event loop keeps up; the others wait in the listener's backlog.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Interval between two ticks of an event loop that keeps up.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum delay of a tick. After a longer delay, the event loop is considered behind.
const MAX_TICK_DELAY: Duration = Duration::from_millis(100);

/// Records when the event loop last ticked.
pub struct EventLoopMonitor {
    start: Instant,
    /// Milliseconds from `start` to the last tick.
    last_tick_ms: AtomicU64,
}

impl EventLoopMonitor {
    /// Creates a monitor that considers the event loop on time at first.
    pub fn new() -> EventLoopMonitor {
        EventLoopMonitor {
            start: Instant::now(),
            last_tick_ms: AtomicU64::new(0),
        }
    }

    /// Records that the event loop ticks now.
    pub fn record_tick(&self) {
        let elapsed_ms = self.start.elapsed().as_millis() as u64;
        self.last_tick_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    /// Whether the next tick is overdue.
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
