//! A token bucket, which keeps a controller within its part of a service's rate.

use crate::Millis;

const MILLIS_PER_SECOND: f64 = 1000.0;
/// A full bucket holds what the rate gives in this time.
const BURST_S: f64 = 0.5;
/// A full bucket holds at least this much, so that a low rate still lets requests pass.
const MIN_BURST: f64 = 1.0;

/// A token bucket that holds at most half a second's worth, so that the sum of
/// all controllers' bursts stays within the service's own allowance.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens that come in each second.
    rate: f64,
    /// Tokens in the bucket; negative while a debt is being paid off.
    level: f64,
    filled_at: Millis,
}

impl TokenBucket {
    /// A bucket for this rate a second, filled with half a second's worth.
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            level: rate * BURST_S,
            filled_at: 0,
        }
    }

    /// Sets the rate a second; what is in the bucket stays.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    fn fill(&mut self, now: Millis) {
        let elapsed_s = now.saturating_sub(self.filled_at) as f64 / MILLIS_PER_SECOND;
        self.filled_at = now;
        let capacity = (self.rate * BURST_S).max(MIN_BURST);
        self.level = (self.level + elapsed_s * self.rate).min(capacity);
    }

    /// True while anything is left; a large request may overdraw, and the debt
    /// is paid off before the next one.
    pub fn ready(&mut self, now: Millis) -> bool {
        self.fill(now);
        self.level > 0.0
    }

    /// What may be spent now without going into debt.
    pub fn level(&mut self, now: Millis) -> f64 {
        self.fill(now);
        self.level.max(0.0)
    }

    /// Takes tokens out, also more than there are.
    pub fn spend(&mut self, amount: f64) {
        self.level -= amount;
    }
}

#[cfg(test)]
mod tests;
