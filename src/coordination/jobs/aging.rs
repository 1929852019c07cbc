//! Which jobs go ahead of all others because they have waited for too long without beginning.
//!
//! Whatever ranks work (guarantees, priorities, shortest first) may let some job wait for ever. Aims
//! are lost by then; what remains is that most of each class, of each team and of a class's largest
//! jobs must begin in time. So a job past its time goes first only if its kind is in danger:
//! otherwise it would only make others late that can still meet their aims.

use crate::coordination::jobs::job::Job;
use crate::coordination::Scheduler;
use crate::ids::{JobId, TeamIndex};
use crate::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Jobs of which most must begin in time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Class(String),
    Team(TeamIndex),
    /// Those of a class with more tasks than most.
    Largest(String),
}

/// How many of a group began in time and late, counting less with age.
#[derive(Clone, Copy, Debug)]
struct Begun {
    in_time: f64,
    late: f64,
    at: Instant,
}

impl Begun {
    fn at(self, now: Instant) -> Begun {
        let keep = (-(now - self.at).secs().max(0.0) / MEMORY_S).exp();
        Begun {
            in_time: self.in_time * keep,
            late: self.late * keep,
            at: now,
        }
    }
}

/// What is remembered of beginnings.
#[derive(Debug, Default)]
pub struct Aging {
    has_run: BTreeMap<Group, Begun>,
    /// Task counts of the last jobs of each class.
    sizes: BTreeMap<String, VecDeque<u32>>,
    endangered: BTreeSet<Group>,
}

/// A job not begun after this part of the time in which all should is late: what is left must do
/// for a rental and a fetch.
const LATE: f64 = 0.67;
/// The part of a group that may be late before its jobs go first.
const LATE_SHARE_LIMIT: f64 = 0.25;
/// Beginnings count less with age, by this time constant.
const MEMORY_S: f64 = 300.0;
/// Sizes remembered of each class.
const SIZES: usize = 99;

impl Scheduler {
    fn late_after(&self) -> TimeSpan {
        TimeSpan::from_secs(self.policy.operator.begin_within_s * LATE)
    }

    fn groups_of(&self, job: &Job) -> Vec<Group> {
        let class = &job.spec().class;
        let mut groups = vec![Group::Class(class.clone())];
        groups.extend(job.team().map(Group::Team));
        let larger = self.aging.sizes.get(class).is_some_and(|s| {
            let mut s: Vec<u32> = s.iter().copied().collect();
            s.sort_unstable();
            s.get(s.len() / 2).is_some_and(|m| job.spec().tasks > *m)
        });
        if larger {
            groups.push(Group::Largest(class.clone()));
        }
        groups
    }

    /// Notes the size of a job that was opened.
    pub(crate) fn note_size(&mut self, class: &str, tasks: u32) {
        let sizes = self.aging.sizes.entry(class.to_string()).or_default();
        sizes.push_back(tasks);
        if sizes.len() > SIZES {
            sizes.pop_front();
        }
    }

    /// A job has begun.
    pub(crate) fn note_begun(&mut self, now: Instant, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let late = now - job.ready_at() > self.late_after();
        for group in self.groups_of(job) {
            let none = Begun {
                in_time: 0.0,
                late: 0.0,
                at: now,
            };
            let b = self.aging.has_run.entry(group).or_insert(none);
            *b = b.at(now);
            if late {
                b.late += 1.0;
            } else {
                b.in_time += 1.0;
            }
        }
    }

    /// Once a second: which groups are in danger, those that still wait counted as late.
    pub(crate) fn recheck_aging(&mut self, now: Instant) {
        let bound = self.late_after();
        let mut sums: BTreeMap<Group, (f64, f64)> = BTreeMap::new();
        for (_, job) in self.jobs.pending() {
            if !job.has_run() && now - job.ready_at() > bound {
                for group in self.groups_of(job) {
                    sums.entry(group).or_default().1 += 1.0;
                }
            }
        }
        let begun = &self.aging.has_run;
        let endangered = sums.into_iter().filter(|(group, (_, waiting))| {
            let b = begun.get(group).map(|b| b.at(now));
            let (in_time, late) = b.map_or((0.0, 0.0), |b| (b.in_time, b.late));
            let late = late + waiting;
            late > (in_time + late) * LATE_SHARE_LIMIT
        });
        self.aging.endangered = endangered.map(|(group, _)| group).collect();
    }

    /// Whether a job goes ahead of all others.
    pub(crate) fn aged(&self, job: &Job, now: Instant) -> bool {
        !self.aging.endangered.is_empty()
            && !job.has_run()
            && now - job.ready_at() > self.late_after()
            && self
                .groups_of(job)
                .iter()
                .any(|g| self.aging.endangered.contains(g))
    }
}
