//! Arrival rates of the job classes: how many jobs, and of what kind, are to be expected next.

use crate::protocol::users::JobSpec;
use crate::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, VecDeque};

/// Arrivals are counted in intervals of this length.
const INTERVAL: TimeSpan = TimeSpan(10_000);
/// How many intervals are remembered.
const MAX_INTERVALS: i64 = 12;
/// A rate recovered from a former leader counts for so many intervals.
const MAX_INTERVALS_RECOVERED_RATE: i64 = MAX_INTERVALS / 2;
/// How many of the last jobs are remembered.
const MAX_RECENT_JOBS: usize = 12;
/// The weight of the last job in the average number of tasks.
const LAST_JOB_WEIGHT: f64 = 0.06;
/// A quiet period of up to so many of the last intervals may show that arrivals have subsided.
const MAX_QUIET_INTERVALS: usize = 4;
/// The shortest such period: one interval without arrivals may be chance.
const MIN_QUIET_INTERVALS: usize = 2;
/// An interval with more than so many times the jobs of the others, and so many more, counts for nothing.
const OUTLIER_FACTOR: f64 = 3.0;
/// Two intervals in a row are a burst if they are so many standard deviations above the usual, and one job.
const BURST_DEVIATIONS: f64 = 2.0;
/// A period is quiet if it is so many standard deviations below the usual.
const QUIET_DEVIATIONS: f64 = 2.5;

/// The jobs of one class that arrived.
#[derive(Debug, Clone)]
pub struct ArrivalRate {
    /// The last intervals in which jobs arrived, the oldest first.
    intervals: VecDeque<Interval>,
    /// What a former leader had seen.
    recovered: Option<RecoveredRate>,
    /// Tasks of a job: a moving average.
    tasks_per_job: f64,
    /// The last jobs, the newest last: the next ones are taken to look like them.
    recent_jobs: VecDeque<JobSpec>,
}

/// Arrivals in one interval.
#[derive(Debug, Clone, Copy)]
struct Interval {
    /// How many intervals have passed since the clock's zero.
    number: i64,
    jobs: u32,
}

/// A rate that a former leader had seen.
#[derive(Debug, Clone, Copy)]
struct RecoveredRate {
    jobs_per_s: f64,
    recovered_at: Instant,
}

impl ArrivalRate {
    /// A class of which one job is known, none of whose arrivals has been counted.
    pub fn new(spec: &JobSpec) -> ArrivalRate {
        ArrivalRate {
            intervals: VecDeque::new(),
            recovered: None,
            tasks_per_job: f64::from(spec.tasks),
            recent_jobs: VecDeque::from([spec.clone()]),
        }
    }

    /// A job of the class has arrived.
    pub fn record(&mut self, spec: &JobSpec, at: Instant) {
        self.count_job(interval_number(at));
        self.tasks_per_job += (f64::from(spec.tasks) - self.tasks_per_job) * LAST_JOB_WEIGHT;
        self.recent_jobs.push_back(spec.clone());
        if self.recent_jobs.len() > MAX_RECENT_JOBS {
            self.recent_jobs.pop_front();
        }
    }

    fn count_job(&mut self, number: i64) {
        let counted = self.intervals.iter_mut().find(|i| i.number == number);
        match counted {
            Some(interval) => interval.jobs += 1,
            None => {
                // Jobs from before a failover come in no order.
                let place = self.intervals.partition_point(|i| i.number < number);
                self.intervals.insert(place, Interval { number, jobs: 1 });
            }
        }
        let newest = self.intervals.back().map_or(number, |i| i.number);
        while let Some(oldest) = self.intervals.front() {
            if newest - oldest.number <= MAX_INTERVALS {
                break;
            }
            self.intervals.pop_front();
        }
    }

    /// Takes over what a former leader had seen.
    pub(super) fn recover(&mut self, now: Instant, jobs_per_s: f64, tasks_per_job: f64) {
        self.recovered = Some(RecoveredRate {
            jobs_per_s,
            recovered_at: now,
        });
        self.tasks_per_job = tasks_per_job;
    }

    /// The last jobs, the newest last. There is always one.
    pub fn recent_jobs(&self) -> impl ExactSizeIterator<Item = &JobSpec> {
        self.recent_jobs.iter()
    }

    /// The last job.
    pub fn last_job(&self) -> Option<&JobSpec> {
        self.recent_jobs.back()
    }

    /// Tasks of a job, on average.
    pub fn tasks_per_job(&self) -> f64 {
        self.tasks_per_job
    }

    /// Jobs to be expected each second. One interval that stands out counts for nothing by itself (at
    /// the start of a day, all that had gathered arrives at once); two in a row are a burst.
    pub fn jobs_per_s(&self, now: Instant) -> f64 {
        let current = interval_number(now);
        let observed = self.jobs_per_interval(current) / INTERVAL.secs();
        match self.recovered {
            Some(rate)
                if current - interval_number(rate.recovered_at) <= MAX_INTERVALS_RECOVERED_RATE =>
            {
                rate.jobs_per_s.max(observed)
            }
            _ => observed,
        }
    }

    /// Jobs to be expected in an interval, by those counted before the current one.
    fn jobs_per_interval(&self, current: i64) -> f64 {
        let counts = self.counts_before(current);
        if counts.is_empty() {
            return 0.0;
        }
        let usual = usual_count(&counts);
        if let Some(burst) = burst_count(&counts, usual) {
            return burst;
        }
        // Guards against machines kept for minutes for jobs that no longer come.
        subsided_count(&counts, usual)
    }

    /// Jobs in each of the intervals remembered, those without any included, the oldest first.
    fn counts_before(&self, current: i64) -> Vec<u32> {
        let Some(oldest) = self.intervals.front() else {
            return Vec::new();
        };
        let first = oldest.number.max(current - MAX_INTERVALS);
        (first..current).map(|n| self.jobs_in(n)).collect()
    }

    fn jobs_in(&self, number: i64) -> u32 {
        let found = self.intervals.iter().find(|i| i.number == number);
        found.map_or(0, |interval| interval.jobs)
    }

    /// Whether it has been observed for long enough to tell that arrivals have subsided.
    fn can_detect_quiet_period(&self) -> bool {
        self.intervals.len() > MAX_QUIET_INTERVALS
    }
}

fn interval_number(at: Instant) -> i64 {
    at.0.div_euclid(INTERVAL.0)
}

/// The mean of the counts, without the largest one if that stands out.
fn usual_count(counts: &[u32]) -> f64 {
    let mut sorted = counts.to_vec();
    sorted.sort_unstable();
    let intervals = sorted.len();
    let Some(largest) = sorted.pop().map(f64::from) else {
        return 0.0;
    };
    let sum_of_others: f64 = sorted.iter().copied().map(f64::from).sum();
    let mean_of_others = if intervals > 1 {
        sum_of_others / (intervals - 1) as f64
    } else {
        0.0
    };
    if largest > OUTLIER_FACTOR * mean_of_others + OUTLIER_FACTOR {
        mean_of_others
    } else {
        (sum_of_others + largest) / intervals as f64
    }
}

/// The lesser of the last two counts, if both are well above what chance makes of the usual one.
fn burst_count(counts: &[u32], usual: f64) -> Option<f64> {
    let lesser_of_last_two = match counts {
        [.., before, last] => f64::from(*before.min(last)),
        _ => 0.0,
    };
    let is_burst = lesser_of_last_two > usual + BURST_DEVIATIONS * usual.sqrt() + 1.0;
    is_burst.then_some(lesser_of_last_two)
}

/// The usual count, or that of a quiet period: the last intervals, if they hold less than chance makes of
/// the usual one.
fn subsided_count(counts: &[u32], usual: f64) -> f64 {
    let longest = counts.len().min(MAX_QUIET_INTERVALS);
    (MIN_QUIET_INTERVALS..=longest)
        .map(|intervals| {
            let last = counts.iter().rev().take(intervals).copied();
            let jobs: f64 = last.map(f64::from).sum();
            (jobs, intervals as f64)
        })
        .filter(|(jobs, intervals)| {
            let expected = usual * intervals;
            *jobs < expected - QUIET_DEVIATIONS * expected.sqrt()
        })
        .map(|(jobs, intervals)| jobs / intervals)
        .fold(usual, f64::min)
}

/// The arrival rates of all job classes seen.
#[derive(Debug, Default)]
pub(super) struct ArrivalRates {
    by_class: BTreeMap<String, ArrivalRate>,
}

impl ArrivalRates {
    /// A job has arrived.
    pub(super) fn record(&mut self, spec: &JobSpec, at: Instant) {
        self.rate_of(spec.class.clone(), spec).record(spec, at);
    }

    /// The rate of a class; if the class is new, it begins with a job of it.
    pub(super) fn rate_of(&mut self, class: String, job: &JobSpec) -> &mut ArrivalRate {
        let rate = self.by_class.entry(class);
        rate.or_insert_with(|| ArrivalRate::new(job))
    }

    /// Each class with its rate, in the order of the classes' names.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, &ArrivalRate)> {
        self.by_class.iter()
    }

    /// Whether arrivals have subsided, of every class; never while too little has been seen to tell.
    pub(super) fn have_subsided(&self, now: Instant) -> bool {
        self.by_class
            .values()
            .any(ArrivalRate::can_detect_quiet_period)
            && self
                .by_class
                .values()
                .all(|rate| rate.jobs_per_s(now) <= 0.0)
    }
}
