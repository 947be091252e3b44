use crate::Millis;

/// A token bucket that holds at most half a second's worth, so that the sum of
/// all controllers' bursts stays within the service's own allowance.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    level: f64,
    filled_at: Millis,
}

impl TokenBucket {
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            level: rate / 2.0,
            filled_at: 0,
        }
    }

    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    fn fill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.filled_at) as f64 / 1000.0;
        self.filled_at = now;
        self.level = (self.level + elapsed * self.rate).min((self.rate / 2.0).max(1.0));
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

    pub fn spend(&mut self, amount: f64) {
        self.level -= amount;
    }
}

#[cfg(test)]
mod tests;
