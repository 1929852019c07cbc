//! Pacing of reads that need many requests, such as the listings of a failover.
//!
//! The state store's request rate is shared by all controllers and by every kind of request. A failover reads more the
//! more jobs are open. Unpaced, these reads would use up the rate, and with it what the leader's lease, the polls and
//! the reads themselves depend on.

use crate::config::StateStoreLimits;
use crate::runtime::lock;
use crate::time::{Instant, TimeSpan};
use crate::transport::token_bucket::TokenBucket;
use rand::Rng;
use std::sync::Mutex;
use std::time::Duration;

/// The fraction of the state store's request rate limit that all controllers together use for reads of many requests.
const REQUEST_RATE_SHARE: f64 = 0.3;
/// How many seconds' worth of requests may be sent at once.
const BURST_SECS: f64 = 1.0;
/// The longest time between two looks at the budget, however low the rate is.
const MAX_BUDGET_POLL_SECS: f64 = 1.0;
/// Pause before a request that was refused for the rate limit is sent again, plus a random jitter of at most the same
/// length. Doubled with each further refusal, up to the maximum.
const FIRST_RETRY_PAUSE_MS: u64 = 100;
const MAX_RETRY_PAUSE_MS: u64 = 1_600;

/// Paces the requests of one controller that belong to reads of many requests.
pub struct ReadPacer {
    budget: Mutex<TokenBucket>,
    requests_per_sec: f64,
    started: std::time::Instant,
}

impl ReadPacer {
    /// Creates a pacer for one of `controllers` controllers, which share the state store's request rate.
    pub fn new(limits: &StateStoreLimits, controllers: usize) -> ReadPacer {
        let shared_rate = limits.effective().rps * REQUEST_RATE_SHARE;
        let requests_per_sec = shared_rate / controllers.max(1) as f64;
        let burst = (requests_per_sec * BURST_SECS).max(1.0);
        ReadPacer {
            budget: Mutex::new(TokenBucket::new(requests_per_sec, burst)),
            requests_per_sec,
            started: std::time::Instant::now(),
        }
    }

    /// Waits until the next request may be sent.
    pub async fn wait(&self) {
        let spacing_secs = (1.0 / self.requests_per_sec).min(MAX_BUDGET_POLL_SECS);
        let spacing = Duration::from_secs_f64(spacing_secs);
        while !self.try_take() {
            tokio::time::sleep(spacing).await;
        }
    }

    fn try_take(&self) -> bool {
        let now = Instant::ZERO + TimeSpan(self.started.elapsed().as_millis() as i64);
        lock(&self.budget).try_take(now, 1.0)
    }
}

/// The growing pauses between attempts of a request that the state store refuses for its rate limit.
pub struct RetryBackoff {
    pause_ms: u64,
}

impl Default for RetryBackoff {
    fn default() -> RetryBackoff {
        RetryBackoff {
            pause_ms: FIRST_RETRY_PAUSE_MS,
        }
    }
}

impl RetryBackoff {
    /// Pauses before the next attempt.
    pub async fn pause(&mut self) {
        let jitter_ms = rand::rng().random_range(0..self.pause_ms);
        tokio::time::sleep(Duration::from_millis(self.pause_ms + jitter_ms)).await;
        self.pause_ms = (self.pause_ms * 2).min(MAX_RETRY_PAUSE_MS);
    }
}
