//! The request rate limit of the fake state stores.

use std::time::Instant;

/// A limit on requests per second, with bursts of one second's worth.
pub struct RequestLimit {
    requests_per_sec: f64,
    available: f64,
    updated_at: Instant,
}

impl RequestLimit {
    pub fn new(requests_per_sec: f64) -> RequestLimit {
        RequestLimit {
            requests_per_sec,
            available: requests_per_sec,
            updated_at: Instant::now(),
        }
    }

    /// Counts a request if it is within the limit. Returns whether it is.
    pub fn try_take(&mut self) -> bool {
        let refilled = self.updated_at.elapsed().as_secs_f64() * self.requests_per_sec;
        self.available = (self.available + refilled).min(self.requests_per_sec);
        self.updated_at = Instant::now();
        let is_granted = self.available >= 1.0;
        if is_granted {
            self.available -= 1.0;
        }
        is_granted
    }
}
