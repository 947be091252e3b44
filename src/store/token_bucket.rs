//! A token bucket that keeps a controller within its share of a service's rate limit.

use crate::Millis;

const MILLIS_PER_SECOND: f64 = 1000.0;
/// The capacity of a bucket, in seconds at its rate.
const BURST_S: f64 = 0.5;
/// The minimum capacity of a bucket, in tokens, so that single requests can pass at a low rate.
const MIN_BURST: f64 = 1.0;

/// A token bucket with a capacity of half a second at its rate, so that the bursts of all
/// controllers together stay within the burst that the service allows.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// Tokens in the bucket; negative after an overdraft.
    level: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Returns a bucket with this rate, in tokens per second, filled with the tokens of half a
    /// second.
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            level: rate * BURST_S,
            refilled_at: 0,
        }
    }

    /// Sets the rate, in tokens per second, without changing the tokens in the bucket.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Adds the tokens for the time since the last refill.
    fn refill(&mut self, now: Millis) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / MILLIS_PER_SECOND;
        self.refilled_at = now;
        let capacity = (self.rate * BURST_S).max(MIN_BURST);
        self.level = (self.level + elapsed_s * self.rate).min(capacity);
    }

    /// Returns whether any tokens are left. A large request may overdraw the bucket, and the
    /// next request must wait until the bucket is positive again.
    pub fn ready(&mut self, now: Millis) -> bool {
        self.refill(now);
        self.level > 0.0
    }

    /// Returns the number of tokens that can be spent now without an overdraft, possibly a
    /// fraction.
    pub fn level(&mut self, now: Millis) -> f64 {
        self.refill(now);
        self.level.max(0.0)
    }

    /// Removes tokens from the bucket, possibly more than it contains.
    pub fn spend(&mut self, amount: f64) {
        self.level -= amount;
    }
}

#[cfg(test)]
mod tests;
