//! Aging against starvation: which jobs go ahead of all others because they have waited for too long.
//!
//! Whatever ranks work (guarantees, priorities, shortest first) may let some job wait for ever. Its objectives
//! are lost by then; what remains is that most of each class, of each team and of a class's largest jobs must
//! begin in time. So a job past its time goes first only if one of its groups is endangered: otherwise it
//! would only make others late that can still meet their objectives.

use crate::coordination::jobs::job::Job;
use crate::ids::TeamIndex;
use crate::protocol::users::JobSpec;
use crate::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A job that has not begun after this fraction of the time in which all should is late: what is left must
/// do for a machine to boot and to pull the image.
const LATE_AFTER_FRACTION: f64 = 0.67;
/// The fraction of a group that may be late before its jobs go first.
const MAX_LATE_FRACTION: f64 = 0.25;
/// Beginnings count less with age, by this time constant.
const DECAY_TIME_SECS: f64 = 300.0;
/// Task counts remembered of each class.
const MAX_TASK_COUNTS_PER_CLASS: usize = 99;

/// Jobs of which most must begin in time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Class(String),
    Team(TeamIndex),
    /// Those of a class with more tasks than its median job.
    Largest(String),
}

/// How many jobs of a group began in time and late, counting less with age.
#[derive(Clone, Copy, Debug)]
struct Beginnings {
    in_time: f64,
    late: f64,
    /// When the two were last decayed.
    as_of: Instant,
}

impl Beginnings {
    fn none(now: Instant) -> Beginnings {
        Beginnings {
            in_time: 0.0,
            late: 0.0,
            as_of: now,
        }
    }

    /// What they count at that time.
    fn decayed(self, now: Instant) -> Beginnings {
        let remaining = (-(now - self.as_of).secs().max(0.0) / DECAY_TIME_SECS).exp();
        Beginnings {
            in_time: self.in_time * remaining,
            late: self.late * remaining,
            as_of: now,
        }
    }

    fn add(&mut self, is_late: bool) {
        if is_late {
            self.late += 1.0;
        } else {
            self.in_time += 1.0;
        }
    }

    /// Whether too many are late, if so many jobs that have not begun yet are late too.
    fn endanger_group(&self, late_pending: f64) -> bool {
        let late = self.late + late_pending;
        late > (self.in_time + late) * MAX_LATE_FRACTION
    }
}

/// What is remembered of the beginnings of jobs, and the groups that are endangered.
#[derive(Debug)]
pub struct Aging {
    /// A job that has not begun so long after it became ready is late.
    late_after: TimeSpan,
    beginnings: BTreeMap<Group, Beginnings>,
    /// Task counts of the last jobs of each class.
    task_counts: BTreeMap<String, VecDeque<u32>>,
    endangered: BTreeSet<Group>,
}

impl Aging {
    /// Nothing is remembered. Jobs should begin within so many seconds.
    pub fn new(begin_within_s: f64) -> Aging {
        Aging {
            late_after: TimeSpan::from_secs(begin_within_s * LATE_AFTER_FRACTION),
            beginnings: BTreeMap::new(),
            task_counts: BTreeMap::new(),
            endangered: BTreeSet::new(),
        }
    }

    /// A job was released.
    pub(crate) fn job_released(&mut self, spec: &JobSpec) {
        let counts = self.task_counts.entry(spec.class.clone()).or_default();
        counts.push_back(spec.tasks);
        if counts.len() > MAX_TASK_COUNTS_PER_CLASS {
            counts.pop_front();
        }
    }

    /// The first task of a job began to run.
    pub(crate) fn job_started(&mut self, now: Instant, job: &Job) {
        let is_late = self.is_late(now, job);
        for group in self.groups_of(job) {
            let none = Beginnings::none(now);
            let beginnings = self.beginnings.entry(group).or_insert(none);
            *beginnings = beginnings.decayed(now);
            beginnings.add(is_late);
        }
    }

    /// Finds the endangered groups, counting pending jobs as late that have waited for too long. To be called
    /// about once a second.
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
            let begun = self.beginnings.get(group);
            let begun = begun.map_or(Beginnings::none(now), |begun| begun.decayed(now));
            begun.endanger_group(*late)
        });
        self.endangered = endangered.map(|(group, _)| group).collect();
    }

    /// Whether a job goes ahead of all others: it is late, and one of its groups is endangered.
    pub(crate) fn is_aged(&self, now: Instant, job: &Job) -> bool {
        !self.endangered.is_empty()
            && !job.has_run()
            && self.is_late(now, job)
            && self.is_of_endangered_group(job)
    }

    fn is_late(&self, now: Instant, job: &Job) -> bool {
        now - job.ready_at() > self.late_after
    }

    fn is_of_endangered_group(&self, job: &Job) -> bool {
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
