//! Aging: jobs that have waited too long go ahead of all others, to prevent starvation.
//!
//! Ranking by guarantees, priorities and shortest job first can make a job wait forever. A late job has missed its own
//! objectives, but most jobs of each class, of each team and among a class's largest jobs must still start on time. So
//! a late job goes first only if too many jobs of one of its groups are late: otherwise it would only delay jobs that
//! can still meet their objectives.

use crate::coordination::jobs::job::Job;
use crate::ids::TeamIndex;
use crate::protocol::users::JobSpec;
use crate::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A job that has not started after this fraction of the target time is late. The rest of the target time is for a
/// machine to boot and to fetch the image.
const LATE_AFTER_FRACTION: f64 = 0.67;
/// The fraction of a group's jobs that may be late before its late jobs go first.
const MAX_LATE_FRACTION: f64 = 0.25;
/// The time constant with which counted starts decay.
const DECAY_TIME_SECS: f64 = 300.0;
/// The number of recent jobs of a class whose task counts are recorded.
const MAX_TASK_COUNTS_PER_CLASS: usize = 99;

/// A group of jobs most of which must start on time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Class(String),
    Team(TeamIndex),
    /// Jobs of a class with more tasks than the median.
    Largest(String),
}

/// The numbers of jobs of a group that started on time and late, with exponential decay.
#[derive(Clone, Copy, Debug)]
struct StartCounts {
    on_time: f64,
    late: f64,
    /// When the decay was last applied.
    as_of: Instant,
}

impl StartCounts {
    fn zero(now: Instant) -> StartCounts {
        StartCounts {
            on_time: 0.0,
            late: 0.0,
            as_of: now,
        }
    }

    /// Returns the counts after decay until `now`.
    fn decayed(self, now: Instant) -> StartCounts {
        let remaining = (-(now - self.as_of).secs().max(0.0) / DECAY_TIME_SECS).exp();
        StartCounts {
            on_time: self.on_time * remaining,
            late: self.late * remaining,
            as_of: now,
        }
    }

    fn add(&mut self, is_late: bool) {
        if is_late {
            self.late += 1.0;
        } else {
            self.on_time += 1.0;
        }
    }

    /// Whether too many jobs are late, including `late_pending` jobs that have not started.
    fn exceeds_late_fraction(&self, late_pending: f64) -> bool {
        let late = self.late + late_pending;
        late > (self.on_time + late) * MAX_LATE_FRACTION
    }
}

/// Recent job starts by group, and the groups in which too many jobs are late.
#[derive(Debug)]
pub struct Aging {
    /// The time after becoming ready at which a job that has not started is late.
    late_after: TimeSpan,
    start_counts: BTreeMap<Group, StartCounts>,
    /// Task counts of the most recent jobs of each class.
    task_counts: BTreeMap<String, VecDeque<u32>>,
    endangered: BTreeSet<Group>,
}

impl Aging {
    /// Creates the state without any starts. Jobs should start within `start_target_s` seconds.
    pub fn new(start_target_s: f64) -> Aging {
        Aging {
            late_after: TimeSpan::from_secs(start_target_s * LATE_AFTER_FRACTION),
            start_counts: BTreeMap::new(),
            task_counts: BTreeMap::new(),
            endangered: BTreeSet::new(),
        }
    }

    /// Records the task count of a job that was released.
    pub(crate) fn job_released(&mut self, spec: &JobSpec) {
        let counts = self.task_counts.entry(spec.class.clone()).or_default();
        counts.push_back(spec.tasks);
        if counts.len() > MAX_TASK_COUNTS_PER_CLASS {
            counts.pop_front();
        }
    }

    /// Records that the first task of a job started to run.
    pub(crate) fn job_started(&mut self, now: Instant, job: &Job) {
        let is_late = self.is_late(now, job);
        for group in self.groups_of(job) {
            let zero = StartCounts::zero(now);
            let start_counts = self.start_counts.entry(group).or_insert(zero);
            *start_counts = start_counts.decayed(now);
            start_counts.add(is_late);
        }
    }

    /// Updates the endangered groups, those with too many late jobs. Pending jobs that have waited too long count
    /// as late. To be called about once a second.
    pub(crate) fn update_endangered_groups<'a>(
        &mut self,
        now: Instant,
        pending: impl Iterator<Item = &'a Job>,
    ) {
        let mut late_pending: BTreeMap<Group, f64> = BTreeMap::new();
        for job in pending.filter(|job| !job.has_run() && self.is_late(now, job)) {
            for group in self.groups_of(job) {
                *late_pending.entry(group).or_default() += 1.0;
            }
        }
        let endangered = late_pending.into_iter().filter(|(group, late)| {
            let counts = self.start_counts.get(group);
            let counts = counts.map_or(StartCounts::zero(now), |counts| counts.decayed(now));
            counts.exceeds_late_fraction(*late)
        });
        self.endangered = endangered.map(|(group, _)| group).collect();
    }

    /// Whether a job goes ahead of all others because it is late and one of its groups is endangered.
    pub(crate) fn is_aged(&self, now: Instant, job: &Job) -> bool {
        !self.endangered.is_empty()
            && !job.has_run()
            && self.is_late(now, job)
            && self.is_in_endangered_group(job)
    }

    fn is_late(&self, now: Instant, job: &Job) -> bool {
        now - job.ready_at() > self.late_after
    }

    fn is_in_endangered_group(&self, job: &Job) -> bool {
        let groups = self.groups_of(job);
        groups.iter().any(|group| self.endangered.contains(group))
    }

    fn groups_of(&self, job: &Job) -> Vec<Group> {
        let class = &job.spec().class;
        let mut groups = vec![Group::Class(class.clone())];
        groups.extend(job.team().map(Group::Team));
        let median = self.median_task_count(class);
        if median.is_some_and(|median| job.spec().tasks > median) {
            groups.push(Group::Largest(class.clone()));
        }
        groups
    }

    fn median_task_count(&self, class: &str) -> Option<u32> {
        let counts = self.task_counts.get(class)?;
        let mut counts: Vec<u32> = counts.iter().copied().collect();
        counts.sort_unstable();
        counts.get(counts.len() / 2).copied()
    }
}
