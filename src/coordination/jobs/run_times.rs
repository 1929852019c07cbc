//! How long the completed tasks of one job ran.

/// Sums over the completed tasks of a job of which the leader saw the beginning.
#[derive(Clone, Copy, Debug, Default)]
pub struct TaskRunTimes {
    total_s: f64,
    longest_s: f64,
    count: u32,
}

impl TaskRunTimes {
    /// A task ran for so many seconds.
    pub fn add(&mut self, run_time_s: f64) {
        self.total_s += run_time_s;
        self.longest_s = self.longest_s.max(run_time_s);
        self.count += 1;
    }

    /// How many tasks were measured.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// The mean in seconds, with an estimate that counts as one more task.
    pub fn mean_with_estimate_s(&self, estimate_s: f64) -> f64 {
        (estimate_s + self.total_s) / f64::from(1 + self.count)
    }

    /// By what part of the mean the longest task outlasted it; `None` if nothing was measured.
    pub fn longest_over_mean(&self) -> Option<f64> {
        let measured = self.total_s > 0.0;
        measured.then(|| self.longest_s * f64::from(self.count) / self.total_s - 1.0)
    }
}
