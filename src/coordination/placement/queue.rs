//! The order in which pending jobs are placed (Algorithm 1 of Parrot, line 1: the queue is sorted in topological
//! order), and the rounds in which jobs are placed together (lines 3 to 7: task groups, and queued requests that
//! share a prefix; here, jobs that share an image).

use super::view::PlacementView;
use crate::config::SloKind;
use crate::coordination::jobs::graph::SchedulingPreference;
use crate::coordination::jobs::job::Job;
use crate::ids::{JobId, TeamIndex};
use crate::protocol::users::Priority;
use crate::resources::{within_limit, Resources};
use crate::time::{Instant, TimeSpan};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Jobs that are placed in one round: first all of them on machines that have their images, then the remaining
/// tasks of each on any machine.
pub(super) type Round = Vec<JobId>;

/// Whether a job goes ahead of all others because of aging.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AgingRank {
    /// Prevents starvation of jobs that all other criteria rank low; the oldest job goes first.
    Aged {
        ready_at: Instant,
    },
    NotAged,
}

/// The sort key of a round: jobs with the same key are placed in one round. The fields are in the order of
/// precedence, and the lowest key goes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RoundKey {
    aging: AgingRank,
    /// The job's depth in the dependency graph, which gives the topological order.
    depth: u32,
    is_outside_guarantee: bool,
    priority: Reverse<Priority>,
    scheduling_preference: SchedulingPreference,
    missed_objectives: u8,
    is_small_task: bool,
}

/// The sort key of a job: by round, then by least pending work, then by age.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey<'a> {
    round: RoundKey,
    pending_work: TimeSpan,
    ready_at: Instant,
    job_id: &'a JobId,
}

impl<'a> PlacementView<'a> {
    /// Returns the pending jobs in the order in which they are placed.
    pub(super) fn queue(&self) -> Vec<Round> {
        if !self.jobs().has_pending() {
            return Vec::new();
        }
        let guaranteed = self.guaranteed_jobs();
        let mut queue: Vec<QueueKey<'a>> = self
            .jobs()
            .pending()
            .filter(|(_, job)| job.retry().allows_start(self.now()))
            .map(|(id, job)| self.queue_key(id, job, &guaranteed))
            .collect();
        queue.sort();
        self.rounds(&queue)
    }

    fn queue_key(&self, id: &'a JobId, job: &Job, guaranteed: &BTreeSet<JobId>) -> QueueKey<'a> {
        let aging = if self.is_aged(job) {
            AgingRank::Aged {
                ready_at: job.ready_at(),
            }
        } else {
            AgingRank::NotAged
        };
        let graph = &self.jobs().graph();
        QueueKey {
            round: RoundKey {
                aging,
                depth: graph.depth(id),
                is_outside_guarantee: !guaranteed.contains(id),
                priority: Reverse(self.effective_priority(id, job.spec())),
                scheduling_preference: graph.scheduling_preference(id),
                missed_objectives: self.missed_objectives(id, job),
                is_small_task: !self.is_large_task(job.spec()),
            },
            pending_work: TimeSpan::from_secs(self.pending_work_s(job)),
            ready_at: job.ready_at(),
            job_id: id,
        }
    }

    /// Divides the sorted queue into rounds. Jobs that differ only in pending work and age form one round, in
    /// which jobs that share an image are placed together. All members of a task group join the round of its
    /// first member.
    fn rounds(&self, queue: &[QueueKey<'_>]) -> Vec<Round> {
        let queued: BTreeSet<&JobId> = queue.iter().map(|key| key.job_id).collect();
        let mut assigned = BTreeSet::new();
        let mut rounds = Vec::new();
        for keys in queue.chunk_by(|left, right| left.round == right.round) {
            let mut round = Round::new();
            for member in keys
                .iter()
                .flat_map(|key| self.jobs().graph().task_group(key.job_id))
            {
                if queued.contains(&member) && assigned.insert(member.clone()) {
                    round.push(member);
                }
            }
            rounds.push(round);
        }
        rounds
    }

    /// Returns the jobs that are inside their team's guaranteed share: the remaining requests of the team's
    /// jobs up to and including this one, in the order in which they became ready, fit into it.
    pub(super) fn guaranteed_jobs(&self) -> BTreeSet<JobId> {
        let mut guaranteed = BTreeSet::new();
        for index in (0..self.jobs().team_count()).map(TeamIndex) {
            let Some(team) = self.policy().team(Some(index)) else {
                continue;
            };
            if team.cpus <= 0.0 && team.gpus <= 0.0 {
                continue;
            }
            let mut unfinished = Resources::default();
            for (id, job) in self.jobs().released_of_team(index) {
                unfinished.add(&job.remaining_request());
                if within_limit(unfinished.cpus, team.cpus)
                    && within_limit(unfinished.gpus, team.gpus)
                {
                    guaranteed.insert(id.clone());
                }
            }
        }
        guaranteed
    }

    /// The number of service-level objectives that the job can no longer meet: jobs that can meet all of theirs
    /// go first. Otherwise, under overload, jobs that are late already would make all others late as well.
    fn missed_objectives(&self, id: &JobId, job: &Job) -> u8 {
        let class = &job.spec().class;
        let after_ready = |seconds: f64| job.ready_at() + TimeSpan::from_secs(seconds);
        let run_time = TimeSpan::from_secs(self.longest_task_run_time_s(job));
        let mut latest_starts: Vec<Instant> = self
            .policy()
            .objectives(SloKind::StartDelay, class)
            .filter_map(|objective| objective.within_s)
            .map(after_ready)
            .collect();
        latest_starts.extend(
            self.policy()
                .objectives(SloKind::Completion, class)
                .filter_map(|objective| objective.within_s)
                .map(|seconds| after_ready(seconds) - run_time),
        );
        let graph = &self.jobs().graph();
        let has_deadline = job.spec().deadline_s.is_some() || graph.has_downstream(id);
        if let Some(deadline) = graph.deadline(id).filter(|_| has_deadline) {
            let deadlines = self.deadline_objectives(job, deadline);
            latest_starts.extend(deadlines.map(|deadline| deadline - run_time));
        }
        let missed = latest_starts.iter().filter(|start| **start < self.now());
        missed.count() as u8
    }

    /// The times by which the job should be completed. The time from its submission to its deadline (its own,
    /// or one derived from its downstream jobs) is multiplied by each factor that the deadline objectives of
    /// its class name. The factor is 1 if there is none, or if the job has no deadline of its own.
    fn deadline_objectives(&self, job: &Job, deadline: Instant) -> impl Iterator<Item = Instant> {
        let submitted = job.submitted_at();
        let mut multiples = Vec::new();
        if job.spec().deadline_s.is_some() {
            let objectives = self
                .policy()
                .objectives(SloKind::Deadline, &job.spec().class);
            multiples.extend(objectives.filter_map(|objective| objective.deadline_factor));
        }
        if multiples.is_empty() {
            multiples.push(1.0);
        }
        let allowed_s = (deadline - submitted).secs();
        multiples
            .into_iter()
            .map(move |multiple| submitted + TimeSpan::from_secs(allowed_s * multiple))
    }
}
