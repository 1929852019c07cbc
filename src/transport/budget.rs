//! A token bucket: so many a second, bursts of one second's worth.

use crate::time::Instant;

/// Bounds a rate. Takes the time from its caller.
#[derive(Debug)]
pub struct Budget {
    per_s: f64,
    burst: f64,
    left: f64,
    at: Instant,
}

impl Budget {
    /// A full bucket.
    pub fn new(per_s: f64, burst: f64) -> Self {
        Budget {
            per_s,
            burst,
            left: burst,
            at: Instant(0),
        }
    }

    /// The part of a burst that could be taken now.
    pub fn left(&self, now: Instant) -> f64 {
        let passed = (now - self.at).secs().max(0.0);
        (self.left + passed * self.per_s).min(self.burst) / self.burst
    }

    /// How much could be taken now.
    pub fn available(&self, now: Instant) -> f64 {
        self.left(now) * self.burst
    }

    /// Gives up what could be taken now.
    pub fn empty(&mut self, now: Instant) {
        self.left = 0.0;
        self.at = now;
    }

    /// Takes `n`, or nothing.
    pub fn take(&mut self, now: Instant, n: f64) -> bool {
        let passed = (now - self.at).secs().max(0.0);
        self.at = now;
        self.left = (self.left + passed * self.per_s).min(self.burst);
        // A single demand above the burst could never be met: it is let through on a full bucket.
        if self.left >= n.min(self.burst) {
            self.left -= n;
            true
        } else {
            false
        }
    }
}
