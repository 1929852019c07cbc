//! The order in which pending jobs are placed (Algorithm 1, line 1: the queue is sorted in topological order),
//! and the rounds in which jobs are placed together (lines 3 to 7: task groups, and requests in the queue
//! that share a prefix, for which images stand here).

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

/// Jobs that are placed in one round: first all of them on machines that have their images, then what is left
/// of each on any machine.
pub(super) type Round = Vec<JobId>;

/// Whether a job goes ahead of all others because it has waited for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AgingRank {
    /// Guards against a job that never begins, whatever ranks it low: oldest first.
    Aged {
        ready: Instant,
    },
    NotAged,
}

/// What tells one round of jobs from the next. The fields are in the order of precedence, and the least key
/// goes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RoundKey {
    aging: AgingRank,
    /// The job's place in topological order.
    depth: u32,
    is_outside_guarantee: bool,
    priority: Reverse<Priority>,
    scheduling_preference: SchedulingPreference,
    missed_objectives: u8,
    is_small_task: bool,
}

/// Where a job stands in the queue: by round, then the least work first, then the oldest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey<'a> {
    round: RoundKey,
    pending_work: TimeSpan,
    ready: Instant,
    job_id: &'a JobId,
}

impl<'a> PlacementView<'a> {
    /// The pending jobs in the order in which they are placed.
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
                ready: job.ready_at(),
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
            ready: job.ready_at(),
            job_id: id,
        }
    }

    /// Divides the sorted queue into rounds. A task group goes in one round: its members follow its first
    /// one at once. Jobs that only their work and age tell apart are a round of their own, in which those
    /// that share an image are placed together.
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

    /// Jobs that fit into their team's guaranteed share together with the team's earlier unfinished ones.
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

    /// How many of its service-level objectives the job can't meet any more: one that can still meet its
    /// first goes ahead, and a job past all of them goes last. Otherwise, when there is too much to do,
    /// jobs already late would make every other late as well.
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

    /// The deadline that a job has, of its own or for its downstream jobs, and the multiples of the time
    /// that it allows itself which its class's objectives name.
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
