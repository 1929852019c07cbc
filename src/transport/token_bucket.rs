//! A token bucket: a rate limit that allows bursts.

use crate::time::Instant;

/// Bounds a rate. Takes the time from its caller.
#[derive(Debug)]
pub struct TokenBucket {
    tokens_per_sec: f64,
    capacity: f64,
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// A full bucket that refills at a rate up to its capacity.
    pub fn new(tokens_per_sec: f64, capacity: f64) -> Self {
        TokenBucket {
            tokens_per_sec,
            capacity,
            tokens: capacity,
            updated_at: Instant(0),
        }
    }

    /// How full the bucket is, from 0 to 1; below 0 after a demand above its capacity.
    pub fn fill_ratio(&self, now: Instant) -> f64 {
        self.refilled(now) / self.capacity
    }

    /// How many tokens could be taken now.
    pub fn available(&self, now: Instant) -> f64 {
        self.fill_ratio(now) * self.capacity
    }

    /// Drops all tokens.
    pub fn drain(&mut self, now: Instant) {
        self.tokens = 0.0;
        self.updated_at = now;
    }

    /// Takes `count` tokens, or none if there are too few. True if they were taken.
    ///
    /// A single demand above the capacity could never be met: it is let through on a full bucket, which then
    /// owes the rest.
    #[must_use = "the caller may act only if the tokens were taken"]
    pub fn try_take(&mut self, now: Instant, count: f64) -> bool {
        self.tokens = self.refilled(now);
        self.updated_at = now;
        let enough = self.tokens >= count.min(self.capacity);
        if enough {
            self.tokens -= count;
        }
        enough
    }

    fn refilled(&self, now: Instant) -> f64 {
        let elapsed_secs = (now - self.updated_at).secs().max(0.0);
        (self.tokens + elapsed_secs * self.tokens_per_sec).min(self.capacity)
    }
}
