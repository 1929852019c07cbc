//! Arrivals seen, class by class: what is to be expected next.

use crate::coordination::jobs::estimates::Observed;
use crate::coordination::Scheduler;
use crate::protocol::users::JobSpec;
use crate::time::{Instant, TimeSpan};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What is kept on the state service for a new leader.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Hints {
    #[serde(default)]
    observed: BTreeMap<String, Observed>,
    /// Jobs a second, tasks a job, and the last job.
    #[serde(default)]
    demand: BTreeMap<String, (f64, f64, JobSpec)>,
}

/// What has been seen of one class.
#[derive(Debug, Clone)]
pub struct ArrivalRate {
    /// Jobs that arrived in each of the last intervals of time, by the interval's number; the oldest
    /// first, without gaps.
    intervals: VecDeque<(i64, u32)>,
    /// What a former leader had seen, and until when it is all that is known.
    told: Option<(f64, Instant)>,
    /// Tasks of a job, on average of late.
    tasks: f64,
    /// The last jobs: the next ones are taken to look like them.
    last: VecDeque<JobSpec>,
}

/// One interval, and how many are remembered.
const INTERVAL: TimeSpan = TimeSpan(10_000);
const INTERVALS_KEPT: i64 = 12;
/// Jobs remembered for what they need.
const LAST: usize = 12;
/// How much the last job counts in the average size.
const SIZE_NEW: f64 = 0.06;
/// So many of the latest intervals may tell that arrivals have ebbed.
const LULL: usize = 4;
/// An interval with so many more jobs than the others is a burst of its own.
const OUTLIER: f64 = 3.0;

impl ArrivalRate {
    /// What the first job of a class tells.
    pub fn new(spec: &JobSpec) -> ArrivalRate {
        ArrivalRate {
            intervals: VecDeque::new(),
            told: None,
            tasks: f64::from(spec.tasks),
            last: VecDeque::from([spec.clone()]),
        }
    }

    fn interval(at: Instant) -> i64 {
        at.0.div_euclid(INTERVAL.0)
    }

    /// A job of the class has arrived.
    pub fn note(&mut self, spec: &JobSpec, at: Instant) {
        let n = ArrivalRate::interval(at);
        match self.intervals.iter_mut().find(|(m, _)| *m == n) {
            Some((_, jobs)) => *jobs += 1,
            None => {
                // Jobs of before a takeover come in no order.
                let place = self.intervals.partition_point(|(m, _)| *m < n);
                self.intervals.insert(place, (n, 1));
            }
        }
        while let (Some((first, _)), Some((last, _))) =
            (self.intervals.front(), self.intervals.back())
        {
            if last - first <= INTERVALS_KEPT {
                break;
            }
            self.intervals.pop_front();
        }
        self.tasks += (f64::from(spec.tasks) - self.tasks) * SIZE_NEW;
        self.last.push_back(spec.clone());
        if self.last.len() > LAST {
            self.last.pop_front();
        }
    }

    /// The last jobs, of which there is always one.
    pub fn last(&self) -> impl ExactSizeIterator<Item = &JobSpec> {
        self.last.iter()
    }

    /// Jobs to be expected each second. One interval that stands out counts for nothing by itself (at
    /// the start of a day, all that had gathered arrives at once); two in a row are a burst.
    pub fn jobs_per_s(&self, now: Instant) -> f64 {
        let now_n = ArrivalRate::interval(now);
        let seen = self.seen_per_s(now_n);
        match self.told {
            Some((told, at)) if now_n - ArrivalRate::interval(at) <= INTERVALS_KEPT / 2 => {
                told.max(seen)
            }
            _ => seen,
        }
    }

    fn seen_per_s(&self, now_n: i64) -> f64 {
        let Some((first, _)) = self.intervals.front() else {
            return 0.0;
        };
        let from = (*first).max(now_n - INTERVALS_KEPT);
        let mut counts: Vec<u32> = (from..now_n).map(|n| self.jobs_in(n)).collect();
        let latest: Vec<u32> = counts.iter().rev().take(LULL).copied().collect();
        let last_two = match counts.as_slice() {
            [.., a, b] => f64::from(*a.min(b)),
            _ => 0.0,
        };
        counts.sort_unstable();
        let n = counts.len();
        let Some(largest) = counts.pop() else {
            return 0.0;
        };
        let rest: f64 = counts.iter().copied().map(f64::from).sum();
        let largest = f64::from(largest);
        let mean = if n > 1 { rest / (n - 1) as f64 } else { 0.0 };
        let usual = if largest > OUTLIER * mean + OUTLIER {
            mean
        } else {
            (rest + largest) / n as f64
        };
        // Two intervals well above what chance makes of the usual.
        let burst = last_two > usual + 2.0 * usual.sqrt() + 1.0;
        if burst {
            return last_two / INTERVAL.secs();
        }
        // The latest intervals hold less than chance makes of the usual: arrivals have ebbed. Guards
        // against machines kept for minutes for jobs that no longer come.
        let ebbed = (2..=latest.len()).map(|k| {
            let sum: f64 = latest.iter().take(k).copied().map(f64::from).sum();
            (sum, k as f64)
        });
        let ebbed = ebbed.filter(|(sum, k)| *sum < usual * k - 2.5 * (usual * k).sqrt());
        let least = ebbed.map(|(sum, k)| sum / k).fold(usual, f64::min);
        least / INTERVAL.secs()
    }

    fn jobs_in(&self, n: i64) -> u32 {
        let found = self.intervals.iter().find(|(m, _)| *m == n);
        found.map_or(0, |(_, jobs)| *jobs)
    }

    /// Tasks of a job, on average.
    pub fn tasks_per_job(&self) -> f64 {
        self.tasks
    }
}

impl Scheduler {
    pub(crate) fn hints(&self, now: Instant) -> Hints {
        let demand = self.autoscaler.arrivals.iter();
        Hints {
            observed: self.estimates.observed.clone(),
            demand: demand
                .filter_map(|(c, d)| {
                    let told = (d.jobs_per_s(now), d.tasks, d.last.back()?.clone());
                    Some((c.clone(), told))
                })
                .collect(),
        }
    }

    pub(crate) fn load_hints(&mut self, now: Instant, hints: Hints) {
        self.estimates.observed = hints.observed;
        for (class, (rate, tasks, spec)) in hints.demand {
            let d = self
                .autoscaler
                .arrivals
                .entry(class)
                .or_insert_with(|| ArrivalRate::new(&spec));
            d.told = Some((rate, now));
            d.tasks = tasks;
        }
    }

    /// Whether nothing is to be expected, of any class; never while too little has been seen to tell.
    pub(crate) fn ebbed(&self, now: Instant) -> bool {
        let mut all = self.autoscaler.arrivals.values();
        all.any(|d| d.intervals.len() > LULL)
            && self
                .autoscaler
                .arrivals
                .values()
                .all(|d| d.jobs_per_s(now) <= 0.0)
    }

    /// Notes the arrival of a job.
    pub(crate) fn note_arrival(&mut self, spec: &JobSpec, at: Instant) {
        let d = self
            .autoscaler
            .arrivals
            .entry(spec.class.clone())
            .or_insert_with(|| ArrivalRate::new(spec));
        d.note(spec, at);
        self.writer.hints_changed();
    }
}
