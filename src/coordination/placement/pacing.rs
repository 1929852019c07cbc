//! When placement and preemption run, and how many tasks a pass may place: the processor has to keep up with
//! what comes of them.

use super::pass::PassState;
use crate::time::{Instant, TimeSpan};
use crate::transport::token_bucket::TokenBucket;

/// Tasks placed each second for each core of this process's quota, and seconds' worth of them at once.
///
/// Guards against a leader that one huge job deposes: on the recorded day de36 some 24,000 tasks of a few
/// seconds were placed within 6 s; what came of them took all of a twelfth of a core, and the leader's lease
/// was over before the answers to its renewals had been read.
const PLACED_TASKS_PER_CORE_SECOND: f64 = 7_500.0;
const PLACEMENT_BURST_S: f64 = 5.0;
/// However small the quota, or if it is none: placement never stops.
const MIN_PLACED_TASKS_PER_SECOND: f64 = 100.0;
/// A pass for fewer tasks than this is not worth the look at the whole queue.
const MIN_TASKS_PER_PASS: usize = 20;
/// Tasks placed in one pass: what is left is placed in the next one, so that heartbeats and the
/// lease's renewal never wait for a whole wave.
const MAX_TASKS_PER_PASS: usize = 400;
/// Passes are at least this far apart: what happens in between is decided together.
const PASS_INTERVAL: TimeSpan = TimeSpan(40);
/// Rounds of preemption are at least this far apart: the effect of one is seen before the next.
const PREEMPTION_INTERVAL: TimeSpan = TimeSpan(200);

/// When placement and preemption last ran, and what holds them back.
#[derive(Debug)]
pub struct PlacementState {
    /// Something changed that placement should look at.
    is_due: bool,
    /// Tasks that may be placed: the processor must keep up with what comes of them.
    budget: TokenBucket,
    /// When the last pass began.
    last_pass_at: Instant,
    /// When ways to make room were last looked for.
    last_preemption_at: Instant,
}

impl PlacementState {
    /// For a process with so many cores. The first pass is due at once.
    pub fn new(cores: f64) -> PlacementState {
        PlacementState {
            is_due: true,
            budget: placement_budget(cores),
            last_pass_at: Instant::LONG_AGO,
            last_preemption_at: Instant::LONG_AGO,
        }
    }

    /// Asks for a pass, for something changed that it should look at.
    pub(crate) fn request_pass(&mut self) {
        self.is_due = true;
    }

    /// Begins a pass if one has been asked for and the last one is long enough ago; says whether it does.
    pub(crate) fn start_pass_if_due(&mut self, now: Instant) -> bool {
        if !self.is_due || now - self.last_pass_at < PASS_INTERVAL {
            return false;
        }
        self.last_pass_at = now;
        self.is_due = false;
        true
    }

    /// Begins a round of preemption if the last one is long enough ago; says whether it does.
    pub(super) fn start_preemption_if_due(&mut self, now: Instant) -> bool {
        if now - self.last_preemption_at < PREEMPTION_INTERVAL {
            return false;
        }
        self.last_preemption_at = now;
        true
    }

    /// How many tasks a pass may place now; `None` if too few to be worth one.
    pub(super) fn task_limit(&self, now: Instant) -> Option<usize> {
        let limit = MAX_TASKS_PER_PASS.min(self.budget.available(now) as usize);
        (limit >= MIN_TASKS_PER_PASS).then_some(limit)
    }

    /// A pass has ended. What is left of a job of many tasks has its turn in the next one.
    pub(super) fn finish_pass(&mut self, now: Instant, pass: &PassState) {
        self.is_due |= pass.has_reached_limit();
        // A gang is placed as a whole, even if that is a little more than the rate allows.
        let spent = self.budget.available(now).min(pass.placed_count() as f64);
        // No more is asked for than is available; if rounding refuses it all the same, nothing is charged.
        let _ = self.budget.try_take(now, spent);
    }
}

/// The rate at which a process with so many cores can place tasks and keep up with what comes of them.
fn placement_budget(cores: f64) -> TokenBucket {
    let per_second = (cores * PLACED_TASKS_PER_CORE_SECOND).max(MIN_PLACED_TASKS_PER_SECOND);
    let burst = (per_second * PLACEMENT_BURST_S).max(MAX_TASKS_PER_PASS as f64);
    TokenBucket::new(per_second, burst)
}
