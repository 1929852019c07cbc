//! A token bucket: a rate limiter that allows bursts.

use crate::time::Instant;

/// A token bucket. The caller supplies the current time.
#[derive(Debug)]
pub struct TokenBucket {
    tokens_per_sec: f64,
    capacity: f64,
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled at `tokens_per_sec`, up to `capacity`.
    pub fn new(tokens_per_sec: f64, capacity: f64) -> Self {
        TokenBucket {
            tokens_per_sec,
            capacity,
            tokens: capacity,
            updated_at: Instant(0),
        }
    }

    /// Returns the fill level, from 0 to 1. Negative after a request for more tokens than the capacity.
    pub fn fill_ratio(&self, now: Instant) -> f64 {
        self.tokens_at(now) / self.capacity
    }

    /// Returns the number of tokens that are available.
    pub fn available(&self, now: Instant) -> f64 {
        self.fill_ratio(now) * self.capacity
    }

    /// Removes all tokens.
    pub fn drain(&mut self, now: Instant) {
        self.tokens = 0.0;
        self.updated_at = now;
    }

    /// Takes `count` tokens, or none if too few are available. Returns whether the tokens were taken.
    ///
    /// A request for more tokens than the capacity could never be met otherwise: a full bucket grants the request and
    /// ends up with a negative number of tokens.
    #[must_use = "the caller may act only if the tokens were taken"]
    pub fn try_take(&mut self, now: Instant, count: f64) -> bool {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
        let is_granted = self.tokens >= count.min(self.capacity);
        if is_granted {
            self.tokens -= count;
        }
        is_granted
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed_secs = (now - self.updated_at).secs().max(0.0);
        (self.tokens + elapsed_secs * self.tokens_per_sec).min(self.capacity)
    }
}
