//! How long tasks run: the users' estimates, corrected by what was observed of each class and of each job.

use crate::coordination::jobs::job::Job;
use crate::coordination::{ClusterView, Scheduler};
use crate::ids::{AttemptKey, MachineId};
use crate::protocol::users::JobSpec;
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// So many tasks of a job must be measured to say how long the others run.
const MIN_MEASURED_TASKS: u32 = 3;
/// Tasks of one job differ by up to this factor.
const MAX_SPREAD_WITHIN_JOB: f64 = 1.4;
/// A task past its estimate is taken to run on for this fraction of what it has run, while nothing is known
/// of the others.
const TAIL_FRACTION: f64 = 0.35;
/// So many tasks of a class must be measured to correct the users' estimates.
const MIN_MEASURED_TASKS_OF_CLASS: u32 = 5;
/// The users' estimates are corrected by a factor within these bounds.
const MIN_CORRECTION: f64 = 0.25;
const MAX_CORRECTION: f64 = 4.0;
/// How much the last job counts in what is known of the longest tasks of a class.
const LONGEST_TASK_WEIGHT: f64 = 0.1;
/// No running task is taken to end in less than this.
const MIN_REMAINING_SECS: f64 = 2.0;

/// Run times observed of one class, against those that the users estimated.
#[derive(Debug, Default, Clone, Copy, Serialize, Deserialize)]
pub struct ObservedRunTimes {
    #[serde(rename = "ran_s")]
    total_s: f64,
    #[serde(rename = "guessed_s")]
    total_estimated_s: f64,
    count: u32,
    /// By what part of a job's mean its longest task outlasts it.
    #[serde(default, rename = "longer")]
    longest_over_mean: Option<f64>,
}

impl ObservedRunTimes {
    fn task_completed(&mut self, run_time_s: f64, estimate_s: f64) {
        self.total_s += run_time_s;
        self.total_estimated_s += estimate_s;
        self.count += 1;
    }

    fn job_completed(&mut self, longest_over_mean: f64) {
        let before = self.longest_over_mean.unwrap_or(longest_over_mean);
        let change = (longest_over_mean - before) * LONGEST_TASK_WEIGHT;
        self.longest_over_mean = Some(before + change);
    }

    /// The factor by which the users' estimates are corrected, once enough is known.
    fn correction(&self) -> Option<f64> {
        let is_known = self.count >= MIN_MEASURED_TASKS_OF_CLASS && self.total_estimated_s > 0.0;
        is_known
            .then(|| (self.total_s / self.total_estimated_s).clamp(MIN_CORRECTION, MAX_CORRECTION))
    }
}

/// What has been learnt of how long tasks run.
#[derive(Debug, Default)]
pub struct RunTimeEstimates {
    by_class: BTreeMap<String, ObservedRunTimes>,
}

impl RunTimeEstimates {
    /// What was observed, by class.
    pub fn observed(&self) -> &BTreeMap<String, ObservedRunTimes> {
        &self.by_class
    }

    /// Takes over what a former leader observed.
    pub fn load(&mut self, by_class: BTreeMap<String, ObservedRunTimes>) {
        self.by_class = by_class;
    }

    /// A task of the job ran for so many seconds and is about to be completed. Returns whether anything was
    /// learnt from it.
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

    /// Seconds that a task of a job like this should run: the user's estimate, corrected by what was observed
    /// of the class.
    pub fn run_time_s(&self, spec: &JobSpec) -> f64 {
        let observed = self.by_class.get(&spec.class);
        let correction = observed.and_then(ObservedRunTimes::correction);
        spec.estimated_run_time_s * correction.unwrap_or(1.0)
    }

    /// Seconds that a task of the job should run: tasks of a job are alike, so what was measured of those that
    /// are completed soon counts more than the estimate.
    pub fn task_run_time_s(&self, job: &Job) -> f64 {
        let estimate_s = self.run_time_s(job.spec());
        job.run_times().mean_with_estimate_s(estimate_s)
    }

    /// Seconds that a task of the job which has run for so long should still run.
    pub fn remaining_run_time_s(&self, job: &Job, ran_s: f64) -> f64 {
        let run_time_s = self.task_run_time_s(job);
        let past_estimate_s = if job.run_times().count() >= MIN_MEASURED_TASKS {
            // Its like took about as long, so it can't be far from its end.
            (run_time_s * MAX_SPREAD_WITHIN_JOB - ran_s) / 2.0
        } else {
            // Guards against a forecast in which whatever is past its estimate is about to end: run times
            // have long tails, and during a burst no machine was added for thousands of tasks.
            ran_s * TAIL_FRACTION
        };
        (run_time_s - ran_s)
            .max(past_estimate_s)
            .max(MIN_REMAINING_SECS)
    }

    /// Seconds that the longest task of the job should run.
    pub fn longest_task_run_time_s(&self, job: &Job) -> f64 {
        let observed = self.by_class.get(&job.spec().class);
        let excess = observed.and_then(|observed| observed.longest_over_mean);
        let has_few_tasks = job.spec().tasks < MIN_MEASURED_TASKS;
        let excess = excess.filter(|_| !has_few_tasks).unwrap_or(0.0);
        self.task_run_time_s(job) * (1.0 + excess)
    }
}

impl ClusterView<'_> {
    /// The work that is left to be placed of a job, in machine-seconds.
    ///
    /// Of jobs that can still meet the same objective the least work goes first. When there is enough room
    /// the order matters little; when there is too much to do, going by the least slack made every job just
    /// late: on the grown site's rough day half of all deadlines were missed for hours of machine time that
    /// went to a fifth of the jobs.
    pub(crate) fn pending_work_s(&self, job: &Job) -> f64 {
        let tasks = job.pending().len() as f64;
        let fraction = self.machines.smallest_machine_fraction(job.spec());
        fraction * tasks * self.estimates.task_run_time_s(job)
    }
}

impl Scheduler {
    /// A task is about to be completed: what its attempt says of run times is learnt.
    ///
    /// Guards against estimates that shrink with each failover: when an attempt of a former leader began to
    /// run is not known, and it seemed to have run only since this leader saw it.
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
