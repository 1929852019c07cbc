//! How long tasks run, and how much work a job is: the owners' guesses, corrected by what was seen.

use crate::coordination::jobs::job::Job;
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, MachineId};
use crate::protocol::users::JobSpec;
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Run times seen against those guessed, for one class.
#[derive(Debug, Default, Clone, Copy, Serialize, Deserialize)]
pub struct Observed {
    ran_s: f64,
    guessed_s: f64,
    count: u32,
    /// By how much the longest task of a job outlasts the average one.
    #[serde(default)]
    longer: Option<f64>,
}

/// What has been learnt of how long tasks run.
#[derive(Debug, Default)]
pub struct Estimates {
    /// Observed against estimated run times, by job class.
    pub(crate) observed: BTreeMap<String, Observed>,
}

/// So many tasks of a job must be done to say how long the others run; they differ by up to this.
const ALIKE: u32 = 3;
const SPREAD: f64 = 1.4;
/// A task past its estimate is taken to run on for this part of what it has run.
const TAIL: f64 = 0.35;

impl Scheduler {
    pub(crate) fn note_run_time(&mut self, now: Instant, machine_id: &MachineId, key: &AttemptKey) {
        let attempt = self
            .machines
            .get(machine_id)
            .and_then(|m| m.attempts.get(key));
        // Guards against estimates that shrink with each takeover: when a start of a former leader began
        // to run is not known, and it seemed to have run only since we saw it.
        let known = attempt.filter(|s| !s.recovered);
        let Some(since) = known.and_then(|s| s.running_since) else {
            return;
        };
        let ran_s = (now - since).secs();
        self.jobs
            .update(&key.task.job, |job| job.run_time_measured(ran_s));
        let Some(job) = self.jobs.get(&key.task.job) else {
            return;
        };
        // All are done but this one, which is about to be.
        let whole =
            job.run_times().count() >= ALIKE && job.completed().count() + 1 >= job.spec().tasks;
        let longer = job.run_times().longest_over_mean().filter(|_| whole);
        if job.spec().guess_s <= 0.0 {
            return;
        }
        let o = self
            .estimates
            .observed
            .entry(job.spec().class.clone())
            .or_default();
        if let Some(l) = longer {
            let before = o.longer.unwrap_or(l);
            o.longer = Some(before + (l - before) * 0.1);
        }
        o.ran_s += ran_s;
        o.guessed_s += job.spec().guess_s;
        o.count += 1;
        self.writer.hints_news = true;
    }

    /// How long a task of the job should run: the owner's guess, corrected by what was seen of its
    /// class once there is enough of it.
    pub(crate) fn estimate_s(&self, spec: &JobSpec) -> f64 {
        let factor = self
            .estimates
            .observed
            .get(&spec.class)
            .filter(|o| o.count >= 5 && o.guessed_s > 0.0)
            .map_or(1.0, |o| (o.ran_s / o.guessed_s).clamp(0.25, 4.0));
        spec.guess_s * factor
    }

    /// How long a task of the job should run: tasks of a job are alike, so what was seen of those that
    /// are done soon counts more than the guess.
    pub(crate) fn estimate_of(&self, job: &Job) -> f64 {
        job.run_times()
            .mean_with_estimate_s(self.estimate_s(job.spec()))
    }

    /// How long a task that has run for so long should still run.
    pub(crate) fn rest_s(&self, job: &Job, ran_s: f64) -> f64 {
        let run = self.estimate_of(job);
        let past = if job.run_times().count() >= ALIKE {
            // Its like took about as long, so it can't be far from its end.
            (run * SPREAD - ran_s) / 2.0
        } else {
            // Guards against a forecast in which whatever is past its guess is about to end: run times
            // have long tails, and during a burst nothing was rented for thousands of tasks.
            ran_s * TAIL
        };
        (run - ran_s).max(past).max(2.0)
    }

    /// How long the longest task of the job should run.
    pub(crate) fn longest_of(&self, job: &Job) -> f64 {
        let longer = self
            .estimates
            .observed
            .get(&job.spec().class)
            .and_then(|o| o.longer)
            .unwrap_or(0.0);
        let part = if job.spec().tasks < ALIKE {
            0.0
        } else {
            longer
        };
        self.estimate_of(job) * (1.0 + part)
    }

    /// What is left to be placed of a job, in machine-seconds.
    ///
    /// Of jobs that can still meet the same aim the least work goes first. When there is enough room
    /// the order matters little; when there is too much to do, going by the least slack made every
    /// job just late: on the grown site's rough day half of all deadlines were missed for hours of
    /// machine time that went to a fifth of the jobs.
    pub(crate) fn work_of(&self, job: &Job) -> f64 {
        let tasks = job.pending().len() as f64;
        self.part_of_machine(job.spec()) * tasks * self.estimate_of(job)
    }

    /// The largest part that a task takes of the machine type which it takes least of.
    pub(crate) fn part_of_machine(&self, spec: &JobSpec) -> f64 {
        let part = |request: f64, have: f64| if have > 0.0 { request / have } else { 0.0 };
        self.machines
            .types
            .values()
            .filter(|r| {
                spec.machine_types
                    .as_ref()
                    .is_none_or(|a| a.contains(&r.name))
            })
            .map(|r| part(spec.gpus, r.gpus).max(part(spec.cpus, r.cpus)))
            .filter(|p| *p <= 1.0)
            .fold(f64::INFINITY, f64::min)
    }
}
