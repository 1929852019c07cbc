//! Run times of the completed tasks of one job.

/// Statistics of the run times of a job's completed tasks, as far as this leader saw them start.
#[derive(Clone, Copy, Debug, Default)]
pub struct TaskRunTimes {
    total_s: f64,
    longest_s: f64,
    count: u32,
}

impl TaskRunTimes {
    /// Adds the run time of a task, in seconds.
    pub fn add(&mut self, run_time_s: f64) {
        self.total_s += run_time_s;
        self.longest_s = self.longest_s.max(run_time_s);
        self.count += 1;
    }

    /// Returns the number of measured tasks.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the mean run time in seconds; the estimate counts as one more task.
    pub fn mean_with_estimate_s(&self, estimate_s: f64) -> f64 {
        (estimate_s + self.total_s) / f64::from(1 + self.count)
    }

    /// Returns how far the longest run time exceeds the mean, as a fraction of the mean; `None` if no run time was
    /// measured.
    pub fn longest_over_mean(&self) -> Option<f64> {
        let measured = self.total_s > 0.0;
        measured.then(|| self.longest_s * f64::from(self.count) / self.total_s - 1.0)
    }
}
