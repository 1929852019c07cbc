//! Rate limits of placement and preemption: when they run, and how many tasks a pass may place. The processor
//! has to keep up with the work that follows from each placed task.

use super::pass::PassState;
use crate::time::{Instant, TimeSpan};
use crate::transport::token_bucket::TokenBucket;

/// The rate limit in tasks a second for each core of this process's CPU quota.
///
/// Without it, one huge job could make the leader lose its lease: some 24,000 tasks of a few seconds each were
/// placed within 6 s, the work that followed took all of a twelfth of a core, and the lease expired before the
/// responses to its renewals had been read.
const PLACED_TASKS_PER_CORE_SECOND: f64 = 7_500.0;
/// The burst size, in seconds at the rate limit.
const PLACEMENT_BURST_S: f64 = 5.0;
/// The lowest rate limit, so that placement goes on however small the CPU quota is, even 0.
const MIN_PLACED_TASKS_PER_SECOND: f64 = 100.0;
/// A pass waits until it may place this many tasks, since it has to sort the whole queue.
const MIN_TASKS_PER_PASS: usize = 20;
/// The most tasks placed in one pass. The rest is left for later passes, so that heartbeats and the renewal of
/// the leader's lease don't wait for a large batch.
const MAX_TASKS_PER_PASS: usize = 400;
/// The shortest time between two passes: events in between are handled by one pass.
const PASS_INTERVAL: TimeSpan = TimeSpan(40);
/// The shortest time between two rounds of preemption, so that the effect of one is seen before the next.
const PREEMPTION_INTERVAL: TimeSpan = TimeSpan(200);

/// When placement and preemption last ran, and the rate limit of placement.
#[derive(Debug)]
pub struct PlacementState {
    /// Whether something has changed that calls for a pass.
    is_due: bool,
    /// The rate limit, one token for each task.
    budget: TokenBucket,
    /// When the last pass started.
    last_pass_at: Instant,
    /// When the last round of preemption started.
    last_preemption_at: Instant,
}

impl PlacementState {
    /// Creates the state for a process with a CPU quota of `cores`. The first pass is due at once.
    pub fn new(cores: f64) -> PlacementState {
        PlacementState {
            is_due: true,
            budget: placement_budget(cores),
            last_pass_at: Instant::LONG_AGO,
            last_preemption_at: Instant::LONG_AGO,
        }
    }

    /// Requests a pass after a change that can affect placement.
    pub(crate) fn request_pass(&mut self) {
        self.is_due = true;
    }

    /// Starts a pass if one has been requested and the last one is long enough ago. Returns whether it did.
    pub(crate) fn start_pass_if_due(&mut self, now: Instant) -> bool {
        if !self.is_due || now - self.last_pass_at < PASS_INTERVAL {
            return false;
        }
        self.last_pass_at = now;
        self.is_due = false;
        true
    }

    /// Starts a round of preemption if the last one is long enough ago. Returns whether it did.
    pub(super) fn start_preemption_if_due(&mut self, now: Instant) -> bool {
        if now - self.last_preemption_at < PREEMPTION_INTERVAL {
            return false;
        }
        self.last_preemption_at = now;
        true
    }

    /// How many tasks a pass may place now; `None` if they are too few for a pass.
    pub(super) fn task_limit(&self, now: Instant) -> Option<usize> {
        let limit = MAX_TASKS_PER_PASS.min(self.budget.available(now) as usize);
        (limit >= MIN_TASKS_PER_PASS).then_some(limit)
    }

    /// Charges the tasks placed by a pass to the rate limit. Requests another pass if this one placed as many
    /// as it may.
    pub(super) fn finish_pass(&mut self, now: Instant, pass: &PassState) {
        self.is_due |= pass.has_reached_limit();
        // A gang is placed as a whole, even if that is slightly more than the rate limit allows.
        let spent = self.budget.available(now).min(pass.placed_count() as f64);
        // `spent` is at most what is available; if it is still refused because of rounding, nothing is charged.
        let _ = self.budget.try_take(now, spent);
    }
}

/// The rate limit at which a process with a CPU quota of `cores` keeps up with the tasks that it places.
fn placement_budget(cores: f64) -> TokenBucket {
    let per_second = (cores * PLACED_TASKS_PER_CORE_SECOND).max(MIN_PLACED_TASKS_PER_SECOND);
    let burst = (per_second * PLACEMENT_BURST_S).max(MAX_TASKS_PER_PASS as f64);
    TokenBucket::new(per_second, burst)
}
