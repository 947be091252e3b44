//! How long a connection has been without a request.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Expires when no request has come for some time.
///
/// A request only stores the time; the timer is set again when it fires. Setting it
/// with each request would cost more than the request's other bookkeeping.
pub struct IdleTimer {
    start: Instant,
    timeout: Duration,
    /// Since `start`.
    last_request_ms: AtomicU64,
}

impl IdleTimer {
    /// Counts from now.
    pub fn new(timeout: Duration) -> IdleTimer {
        IdleTimer {
            start: Instant::now(),
            timeout,
            last_request_ms: AtomicU64::new(0),
        }
    }

    /// Counts from now again.
    pub fn record_request(&self) {
        let elapsed_ms = self.start.elapsed().as_millis() as u64;
        self.last_request_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    /// Waits until no request has come for the timeout.
    pub async fn expired(&self) {
        let mut expires_at = self.start + self.timeout;
        while Instant::now() < expires_at {
            sleep_until(expires_at).await;
            let last_request = Duration::from_millis(self.last_request_ms.load(Ordering::Relaxed));
            expires_at = self.start + last_request + self.timeout;
        }
    }
}
