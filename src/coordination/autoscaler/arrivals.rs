//! Arrival rates of the job classes, from which the autoscaler derives the jobs to expect.

use crate::protocol::users::JobSpec;
use crate::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, VecDeque};

/// Length of the intervals in which arrivals are counted.
const INTERVAL: TimeSpan = TimeSpan(10_000);
/// Number of past intervals from which the rate is estimated.
const MAX_INTERVALS: i64 = 12;
/// Number of intervals for which a rate recovered from the previous leader applies.
const MAX_INTERVALS_RECOVERED_RATE: i64 = MAX_INTERVALS / 2;
/// Number of recent jobs kept per class.
const MAX_RECENT_JOBS: usize = 12;
/// Weight of the newest job in the moving average of tasks per job.
const LAST_JOB_WEIGHT: f64 = 0.06;
/// Longest run of the last intervals that is examined as a quiet period, which shows that arrivals have subsided.
const MAX_QUIET_INTERVALS: usize = 4;
/// Shortest quiet period, in intervals: one interval without arrivals may be chance.
const MIN_QUIET_INTERVALS: usize = 2;
/// A count is an outlier if it exceeds the mean of the others times this factor, plus this many jobs.
const OUTLIER_FACTOR: f64 = 3.0;
/// Two consecutive counts are a burst if both exceed the baseline by this many standard deviations plus one job.
const BURST_DEVIATIONS: f64 = 2.0;
/// A period is quiet if its count is more than this many standard deviations below the expected one.
const QUIET_DEVIATIONS: f64 = 2.5;

/// The observed arrivals of one job class.
#[derive(Debug, Clone)]
pub struct ArrivalRate {
    /// The last intervals in which jobs arrived, oldest first.
    intervals: VecDeque<Interval>,
    /// The rate that the previous leader recorded.
    recovered: Option<RecoveredRate>,
    /// Moving average of the number of tasks per job.
    tasks_per_job: f64,
    /// The most recent jobs, newest last. Expected jobs are assumed to resemble them.
    recent_jobs: VecDeque<JobSpec>,
}

/// The number of arrivals in one interval.
#[derive(Debug, Clone, Copy)]
struct Interval {
    /// Index of the interval, counted from the clock's zero.
    number: i64,
    jobs: u32,
}

/// An arrival rate that the previous leader recorded.
#[derive(Debug, Clone, Copy)]
struct RecoveredRate {
    jobs_per_s: f64,
    recovered_at: Instant,
}

impl ArrivalRate {
    /// Creates the rate of a class from one of its jobs, which is not counted as an arrival.
    pub fn new(spec: &JobSpec) -> ArrivalRate {
        ArrivalRate {
            intervals: VecDeque::new(),
            recovered: None,
            tasks_per_job: f64::from(spec.tasks),
            recent_jobs: VecDeque::from([spec.clone()]),
        }
    }

    /// Records the arrival of a job of the class.
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
                // After a failover, earlier jobs are recorded in any order.
                let index = self.intervals.partition_point(|i| i.number < number);
                self.intervals.insert(index, Interval { number, jobs: 1 });
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

    /// Adopts the rate that the previous leader recorded.
    pub(super) fn recover(&mut self, now: Instant, jobs_per_s: f64, tasks_per_job: f64) {
        self.recovered = Some(RecoveredRate {
            jobs_per_s,
            recovered_at: now,
        });
        self.tasks_per_job = tasks_per_job;
    }

    /// Returns the most recent jobs, newest last; there is always at least one.
    pub fn recent_jobs(&self) -> impl ExactSizeIterator<Item = &JobSpec> + DoubleEndedIterator {
        self.recent_jobs.iter()
    }

    /// Returns the most recent job.
    pub fn last_job(&self) -> Option<&JobSpec> {
        self.recent_jobs.back()
    }

    /// Returns the average number of tasks per job.
    pub fn tasks_per_job(&self) -> f64 {
        self.tasks_per_job
    }

    /// Returns the expected number of jobs per second. A single outlier interval is ignored, since a backlog
    /// may arrive at once; two in a row are a burst.
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

    /// Returns the expected number of jobs per interval, estimated from the intervals before the current one.
    fn jobs_per_interval(&self, current: i64) -> f64 {
        let counts = self.counts_before(current);
        if counts.is_empty() {
            return 0.0;
        }
        let baseline = baseline_count(&counts);
        if let Some(burst) = burst_count(&counts, baseline) {
            return burst;
        }
        // Guards against keeping machines for minutes for jobs that no longer arrive.
        subsided_count(&counts, baseline)
    }

    /// Returns the count of each interval before the current one, empty ones included, oldest first.
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

    /// Returns the number of the last interval in which a job arrived, if one did under this leader.
    fn last_arrival_interval(&self) -> Option<i64> {
        self.intervals.back().map(|interval| interval.number)
    }

    /// Whether the class has been observed for long enough to tell that its arrivals have subsided.
    fn can_detect_quiet_period(&self) -> bool {
        self.intervals.len() > MAX_QUIET_INTERVALS
    }
}

fn interval_number(at: Instant) -> i64 {
    at.0.div_euclid(INTERVAL.0)
}

/// Returns the mean of the counts, without the largest one if that is an outlier.
fn baseline_count(counts: &[u32]) -> f64 {
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

/// Returns the lower of the last two counts, if both exceed the baseline by more than chance explains.
fn burst_count(counts: &[u32], baseline: f64) -> Option<f64> {
    let lesser_of_last_two = match counts {
        [.., before, last] => f64::from(*before.min(last)),
        _ => 0.0,
    };
    let is_burst = lesser_of_last_two > baseline + BURST_DEVIATIONS * baseline.sqrt() + 1.0;
    is_burst.then_some(lesser_of_last_two)
}

/// Returns the lowest mean count of the quiet periods that end with the last interval; without one, the
/// baseline. A period is quiet if its count is lower than chance explains.
fn subsided_count(counts: &[u32], baseline: f64) -> f64 {
    let longest = counts.len().min(MAX_QUIET_INTERVALS);
    (MIN_QUIET_INTERVALS..=longest)
        .map(|intervals| {
            let last = counts.iter().rev().take(intervals).copied();
            let jobs: f64 = last.map(f64::from).sum();
            (jobs, intervals as f64)
        })
        .filter(|(jobs, intervals)| {
            let expected = baseline * intervals;
            *jobs < expected - QUIET_DEVIATIONS * expected.sqrt()
        })
        .map(|(jobs, intervals)| jobs / intervals)
        .fold(baseline, f64::min)
}

/// Most classes whose arrivals are kept: users name the classes.
const MAX_CLASSES: usize = 500;

/// The arrival rates of the job classes observed last.
#[derive(Debug, Default)]
pub(super) struct ArrivalRates {
    by_class: BTreeMap<String, ArrivalRate>,
}

impl ArrivalRates {
    /// Records the arrival of a job.
    pub(super) fn record(&mut self, spec: &JobSpec, at: Instant) {
        self.rate_of(spec.class.clone(), spec).record(spec, at);
    }

    /// Returns the rate of a class, created from `job` if the class is new.
    pub(super) fn rate_of(&mut self, class: String, job: &JobSpec) -> &mut ArrivalRate {
        if self.by_class.len() >= MAX_CLASSES && !self.by_class.contains_key(&class) {
            self.forget_quietest_class();
        }
        let rate = self.by_class.entry(class);
        rate.or_insert_with(|| ArrivalRate::new(job))
    }

    fn forget_quietest_class(&mut self) {
        let classes = self.by_class.iter();
        let quietest = classes.min_by_key(|(_, rate)| rate.last_arrival_interval());
        if let Some(class) = quietest.map(|(class, _)| class.clone()) {
            self.by_class.remove(&class);
        }
    }

    /// Returns each class with its rate, ordered by class name.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, &ArrivalRate)> {
        self.by_class.iter()
    }

    /// Whether the arrivals of every class have subsided. False until some class has been observed for long enough.
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
