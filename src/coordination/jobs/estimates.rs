//! Estimates of how long tasks run: the users' estimates, corrected by the observed run times of each class and job.

use crate::coordination::jobs::job::Job;
use crate::coordination::{ClusterView, Scheduler};
use crate::ids::{AttemptKey, MachineId};
use crate::protocol::users::JobSpec;
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The minimum number of measured tasks of a job for statements about its other tasks.
const MIN_MEASURED_TASKS: u32 = 3;
/// The run times of a job's tasks differ by up to this factor.
const MAX_SPREAD_WITHIN_JOB: f64 = 1.4;
/// The estimated remaining run time of a task past its estimate, as a fraction of the time that it has run, while
/// too few other tasks of the job are measured.
const TAIL_FRACTION: f64 = 0.35;
/// The minimum number of measured tasks of a class for a correction of the users' estimates.
const MIN_MEASURED_TASKS_OF_CLASS: u32 = 5;
/// Bounds of the factor that corrects the users' estimates.
const MIN_CORRECTION: f64 = 0.25;
const MAX_CORRECTION: f64 = 4.0;
/// The weight of the latest job in the moving average of `longest_over_mean`.
const LONGEST_TASK_WEIGHT: f64 = 0.1;
/// The minimum estimated remaining run time of a running task.
const MIN_REMAINING_SECS: f64 = 2.0;

/// The observed run times of one class, and the users' estimates of them.
#[derive(Debug, Default, Clone, Copy, Serialize, Deserialize)]
pub struct ObservedRunTimes {
    #[serde(rename = "ran_s")]
    total_s: f64,
    #[serde(rename = "guessed_s")]
    total_estimated_s: f64,
    count: u32,
    /// How far the longest run time in a job exceeds the job's mean, as a fraction of the mean: a moving average.
    #[serde(default, rename = "longer")]
    longest_over_mean: Option<f64>,
}

impl ObservedRunTimes {
    fn task_completed(&mut self, run_time_s: f64, estimate_s: f64) {
        self.total_s += run_time_s;
        self.total_estimated_s += plausible_estimate_s(run_time_s, estimate_s);
        self.count += 1;
    }

    /// Returns the observations without estimates that no correction would follow, such as those that a former leader
    /// added up from a mistaken amount.
    fn plausible(mut self) -> ObservedRunTimes {
        self.total_s = self.total_s.max(0.0);
        self.total_estimated_s = plausible_estimate_s(self.total_s, self.total_estimated_s);
        self
    }

    fn job_completed(&mut self, longest_over_mean: f64) {
        let before = self.longest_over_mean.unwrap_or(longest_over_mean);
        let change = (longest_over_mean - before) * LONGEST_TASK_WEIGHT;
        self.longest_over_mean = Some(before + change);
    }

    /// Returns the factor that corrects the users' estimates, once enough tasks are measured.
    fn correction(&self) -> Option<f64> {
        let is_known = self.count >= MIN_MEASURED_TASKS_OF_CLASS && self.total_estimated_s > 0.0;
        is_known
            .then(|| (self.total_s / self.total_estimated_s).clamp(MIN_CORRECTION, MAX_CORRECTION))
    }
}

/// Returns a user's estimate, or the nearest value that a correction within its bounds leads to the run time from, both
/// in seconds. Guards against one mistaken estimate that outweighs all others of its class.
fn plausible_estimate_s(run_time_s: f64, estimate_s: f64) -> f64 {
    estimate_s
        .max(run_time_s / MAX_CORRECTION)
        .min(run_time_s / MIN_CORRECTION)
}

/// Run time estimates, based on the observed run times of each class.
#[derive(Debug, Default)]
pub struct RunTimeEstimates {
    by_class: BTreeMap<String, ObservedRunTimes>,
}

impl RunTimeEstimates {
    /// Returns the observed run times by class.
    pub fn observed(&self) -> &BTreeMap<String, ObservedRunTimes> {
        &self.by_class
    }

    /// Loads the observations of a former leader.
    pub fn load(&mut self, by_class: BTreeMap<String, ObservedRunTimes>) {
        let by_class = by_class.into_iter();
        self.by_class = by_class
            .map(|(class, observed)| (class, observed.plausible()))
            .collect();
    }

    /// Records the run time, in seconds, of a task that is about to be completed. Returns whether the observations
    /// changed.
    pub(crate) fn task_completed(&mut self, job: &Job, run_time_s: f64) -> bool {
        let spec = job.spec();
        if spec.estimated_run_time_s <= 0.0 {
            return false;
        }
        let observed = self.by_class.entry(spec.class.clone()).or_default();
        let is_last_task = job.completed().count() + 1 >= spec.tasks;
        if is_last_task && job.run_times().count() >= MIN_MEASURED_TASKS {
            if let Some(longest_over_mean) = job.run_times().longest_over_mean() {
                observed.job_completed(longest_over_mean);
            }
        }
        observed.task_completed(run_time_s, spec.estimated_run_time_s);
        true
    }

    /// Returns the estimated run time, in seconds, of a task of a job with this specification: the user's estimate,
    /// corrected by the observations of the class.
    pub fn run_time_s(&self, spec: &JobSpec) -> f64 {
        let observed = self.by_class.get(&spec.class);
        let correction = observed.and_then(ObservedRunTimes::correction);
        spec.estimated_run_time_s * correction.unwrap_or(1.0)
    }

    /// Returns the estimated run time, in seconds, of a task of the job. Tasks of a job are alike, so the measured
    /// run times of its completed tasks soon outweigh the user's estimate.
    pub fn task_run_time_s(&self, job: &Job) -> f64 {
        let estimate_s = self.run_time_s(job.spec());
        job.run_times().mean_with_estimate_s(estimate_s)
    }

    /// Returns the estimated remaining run time, in seconds, of a task of the job that has run for `ran_s` seconds.
    pub fn remaining_run_time_s(&self, job: &Job, ran_s: f64) -> f64 {
        let run_time_s = self.task_run_time_s(job);
        let past_estimate_s = if job.run_times().count() >= MIN_MEASURED_TASKS {
            // Other tasks of the job ran for about as long, so the end is near.
            (run_time_s * MAX_SPREAD_WITHIN_JOB - ran_s) / 2.0
        } else {
            // Run times have long tails. When the forecast took every task past its estimate to be about to end, no
            // machine was added for thousands of pending tasks during a burst.
            ran_s * TAIL_FRACTION
        };
        (run_time_s - ran_s)
            .max(past_estimate_s)
            .max(MIN_REMAINING_SECS)
    }

    /// Returns the estimated run time, in seconds, of the longest task of the job.
    pub fn longest_task_run_time_s(&self, job: &Job) -> f64 {
        let observed = self.by_class.get(&job.spec().class);
        let excess = observed.and_then(|observed| observed.longest_over_mean);
        let has_few_tasks = job.spec().tasks < MIN_MEASURED_TASKS;
        let excess = excess.filter(|_| !has_few_tasks).unwrap_or(0.0);
        self.task_run_time_s(job) * (1.0 + excess)
    }
}

impl ClusterView<'_> {
    /// Returns the work of a job's pending tasks, in machine-seconds.
    ///
    /// Among jobs that can still meet the same objective, those with the least work go first. With enough capacity
    /// the order matters little. Under overload, ordering by least slack made every job slightly late: half of all
    /// deadlines were missed, while hours of machine time went to a fifth of the jobs.
    pub(crate) fn pending_work_s(&self, job: &Job) -> f64 {
        let tasks = job.pending().len() as f64;
        let fraction = self.machines.smallest_machine_fraction(job.spec());
        fraction * tasks * self.estimates.task_run_time_s(job)
    }
}

impl Scheduler {
    /// Records the run time of a task that is about to be completed.
    ///
    /// Ignores attempts launched by a former leader: when they started is unknown, and counting only the time since
    /// this leader first saw them would shrink the estimates with each failover.
    pub(crate) fn record_run_time(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &AttemptKey,
    ) {
        let machine = self.machines.get(machine_id);
        let attempt = machine.and_then(|machine| machine.attempts.get(key));
        let launched_here = attempt.filter(|attempt| !attempt.recovered);
        let Some(since) = launched_here.and_then(|attempt| attempt.running_since) else {
            return;
        };
        let run_time_s = (now - since).secs();
        let id = &key.task.job;
        self.jobs
            .update(id, |job| job.run_time_measured(run_time_s));
        if let Some(job) = self.jobs.get(id) {
            if self.estimates.task_completed(job, run_time_s) {
                self.writer.mark_hints_changed();
            }
        }
    }
}
