//! Detects connections that have been idle for too long.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// A timer that expires when no request has arrived for the length of the timeout.
///
/// A request only records its time. When the underlying sleep ends, the timer sleeps again for
/// what then remains of the timeout. Resetting the sleep at each request would cost more than
/// the rest of the request's bookkeeping.
pub struct IdleTimer {
    start: Instant,
    timeout: Duration,
    /// Milliseconds from `start` to the last request.
    last_request_ms: AtomicU64,
}

impl IdleTimer {
    /// Creates a timer whose timeout starts now.
    pub fn new(timeout: Duration) -> IdleTimer {
        IdleTimer {
            start: Instant::now(),
            timeout,
            last_request_ms: AtomicU64::new(0),
        }
    }

    /// Restarts the timeout, because a request has arrived.
    pub fn record_request(&self) {
        let elapsed_ms = self.start.elapsed().as_millis() as u64;
        self.last_request_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    /// Waits until the timer expires.
    pub async fn expired(&self) {
        let mut expires_at = self.start + self.timeout;
        while Instant::now() < expires_at {
            sleep_until(expires_at).await;
            let last_request = Duration::from_millis(self.last_request_ms.load(Ordering::Relaxed));
            expires_at = self.start + last_request + self.timeout;
        }
    }
}
