//! The order in which waiting jobs are placed.

use crate::coordination::jobs::job::Job;
use crate::coordination::Scheduler;
use crate::ids::{JobId, TeamIndex};
use crate::protocol::users::{JobSpec, Priority};
use crate::resources::{within_limit, Resources};
use crate::time::{Instant, TimeSpan};
use std::cmp::Reverse;
use std::collections::BTreeSet;

impl Scheduler {
    /// Jobs that fit into their team's guarantee together with the team's earlier unfinished ones.
    pub(crate) fn guaranteed(&self) -> BTreeSet<JobId> {
        let mut inside = BTreeSet::new();
        for index in (0..self.jobs.team_count()).map(TeamIndex) {
            let Some(team) = self.policy.team(Some(index)) else {
                continue;
            };
            let any = team.cpus > 0.0 || team.gpus > 0.0;
            let mut sum = Resources::default();
            for (id, job) in self.jobs.released_of_team(index) {
                sum.add(&job.remaining_request());
                if any && within_limit(sum.cpus, team.cpus) && within_limit(sum.gpus, team.gpus) {
                    inside.insert(id.clone());
                }
            }
        }
        inside
    }

    /// Which of its aims the job can still meet: the sooner ones come first, and one that can't be
    /// met any more gives way to the next. A job past all of them goes last; otherwise, when there is
    /// too much to do, jobs already late would make every other late as well.
    pub(crate) fn aim_of(&self, id: &JobId, job: &Job, now: Instant) -> u8 {
        let class = &job.spec().class;
        let after = |s: f64| job.ready_at() + TimeSpan::from_secs(s);
        let run = TimeSpan::from_secs(self.longest_of(job));
        let attempts = self.policy.of_class("wait", class);
        let mut aims: Vec<Instant> = attempts.filter_map(|o| o.within_s).map(after).collect();
        let finishes = self.policy.of_class("finished", class);
        aims.extend(finishes.filter_map(|o| o.within_s).map(|s| after(s) - run));
        let has_deadline = job.spec().due_s.is_some() || self.jobs.graph.has_consumers(id);
        if let Some(due) = self.jobs.graph.due(id).filter(|_| has_deadline) {
            aims.extend(self.deadline_aims(job, due).map(|t| t - run));
        }
        aims.sort();
        aims.iter().filter(|t| **t < now).count() as u8
    }

    /// The deadline that a job has, of its own or for the jobs that need it, and the multiples of the
    /// time that it allows itself which its class's objectives name.
    pub(crate) fn deadline_aims(&self, job: &Job, due: Instant) -> impl Iterator<Item = Instant> {
        let (submitted, class) = (job.submitted_at(), &job.spec().class);
        let mut times = Vec::new();
        if job.spec().due_s.is_some() {
            let named = self.policy.of_class("deadline", class);
            times.extend(named.filter_map(|o| o.times));
        }
        if times.is_empty() {
            times.push(1.0);
        }
        let allowed_s = (due - submitted).secs();
        let aims = times.into_iter();
        aims.map(move |t| submitted + TimeSpan::from_secs(allowed_s * t))
    }

    /// The priority that a job is treated with: the highest of its own and of all that need it.
    pub(crate) fn urgency_of(&self, id: &JobId, spec: &JobSpec) -> Priority {
        let derived = self.jobs.graph.priority(id);
        derived.map_or(spec.priority, |u| u.max(spec.priority))
    }

    /// Whether a task takes most of a machine: large ones are placed first, small ones fill what is
    /// left.
    pub(crate) fn bulk(&self, spec: &JobSpec) -> bool {
        self.part_of_machine(spec) > 0.5
    }

    pub(crate) fn queue(&self, now: Instant) -> Vec<Vec<JobId>> {
        if !self.jobs.has_pending() {
            return Vec::new();
        }
        let inside = self.guaranteed();
        let mut queue: Vec<_> = self
            .jobs
            .pending()
            .filter(|(_, job)| job.retry().allows_start(now))
            .map(|(id, j)| {
                let aged = self.aged(j, now);
                let class = (
                    // Guards against a job that never begins, whatever ranks it low: oldest first.
                    !aged,
                    aged.then_some(j.ready_at()),
                    self.jobs.graph.depth(id),
                    !inside.contains(id),
                    Reverse::<Priority>(self.urgency_of(id, j.spec())),
                    self.jobs.graph.label(id),
                    self.aim_of(id, j, now),
                    !self.bulk(j.spec()),
                );
                let rank = (class, TimeSpan::from_secs(self.work_of(j)), j.ready_at());
                (rank, id)
            })
            .collect();
        queue.sort();
        // A task group goes in one round: its members follow its first one at once. Jobs that only
        // their work and age tell apart are a round of their own.
        let here: BTreeSet<&JobId> = queue.iter().map(|(_, id)| *id).collect();
        let mut seen = BTreeSet::new();
        let mut rounds: Vec<Vec<JobId>> = Vec::new();
        let mut last = None;
        for ((class, ..), id) in &queue {
            if last != Some(class) {
                rounds.push(Vec::new());
                last = Some(class);
            }
            for member in self.jobs.graph.group(id) {
                if here.contains(&member) && seen.insert(member.clone()) {
                    rounds.extend(rounds.is_empty().then(Vec::new));
                    if let Some(round) = rounds.last_mut() {
                        round.push(member);
                    }
                }
            }
        }
        rounds
    }

    /// The lowest priority among the jobs that may run.
    pub(crate) fn least_urgent(&self) -> Option<Priority> {
        let open = self.jobs.iter().filter(|(_, j)| j.is_released());
        open.map(|(id, j)| self.urgency_of(id, j.spec())).min()
    }
}
