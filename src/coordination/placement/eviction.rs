//! Selection of the tasks to stop on one machine to make room for a job, and the cost of stopping them.
//!
//! The cost of an eviction is in seconds: the work lost by each task stopped, multiplied by the number of tasks
//! if it is a gang (all members stop with one), and the wait of the preempting job for its image.

use super::start_check::StartCheck;
use super::view::PlacementView;
use crate::coordination::attempts::ledger::TaskAttempt;
use crate::coordination::attempts::stops::checkpoint_grace_s;
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::Machine;
use crate::ids::{AttemptKey, JobId, MachineId};
use crate::protocol::users::Priority;
use crate::resources::Resources;
use crate::time::TimeSpan;
use std::collections::BTreeSet;

/// The additional cost of stopping a task that started recently, because its start is wasted.
const RECENT_START_COST_S: f64 = 20.0;
/// A start counts as recent for this long.
const RECENT_START: TimeSpan = TimeSpan(30_000);

/// A task attempt to be stopped.
#[derive(Debug)]
pub(super) struct Victim {
    /// The attempt.
    pub(super) attempt: AttemptKey,
    /// The time that the task gets to write a checkpoint, in seconds.
    pub(super) grace_s: f64,
}

/// The task attempts to be stopped on one machine to make room for a job, and their cost.
#[derive(Debug)]
pub(super) struct Eviction {
    /// The machine.
    pub(super) machine_id: MachineId,
    /// The attempts to be stopped on the machine; at least one.
    pub(super) victims: Vec<Victim>,
    /// The work lost and the wait for the image, in seconds.
    pub(super) cost_s: f64,
}

/// The job that other tasks are stopped for.
pub(super) struct Preemptor<'a> {
    pub(super) id: &'a JobId,
    pub(super) job: &'a Job,
    /// The check of where one more task of the job may start.
    pub(super) start_check: StartCheck<'a>,
    priority: Priority,
    /// Jobs inside their team's guaranteed share, which are stopped for jobs of higher priority only. Empty if
    /// only tasks of lower priority may be stopped.
    guaranteed_jobs: &'a BTreeSet<JobId>,
}

impl<'a> Preemptor<'a> {
    /// Returns the job with that id as a preemptor, if the job is known.
    pub(super) fn new(
        view: &PlacementView<'a>,
        id: &'a JobId,
        guaranteed_jobs: &'a BTreeSet<JobId>,
    ) -> Option<Preemptor<'a>> {
        let job = view.jobs().get(id)?;
        Some(Preemptor {
            id,
            job,
            start_check: StartCheck::for_pending_tasks(job),
            priority: view.effective_priority(id, job.spec()),
            guaranteed_jobs,
        })
    }

    /// Whether any tasks may be stopped for the job: its priority is above the lowest one of the released jobs,
    /// or the job is inside its team's guaranteed share.
    pub(super) fn may_preempt(&self, lowest_priority: Option<Priority>) -> bool {
        Some(self.priority) > lowest_priority || self.guaranteed_jobs.contains(self.id)
    }
}

/// A task attempt that may be stopped.
struct VictimCandidate<'a> {
    attempt: &'a TaskAttempt,
    cost_s: f64,
    grace_s: f64,
}

/// Returns the `count` cheapest evictions; none if there are fewer.
pub(super) fn cheapest(mut evictions: Vec<Eviction>, count: usize) -> Vec<Eviction> {
    if evictions.len() < count {
        return Vec::new();
    }
    evictions.sort_by(|left, right| {
        left.cost_s
            .total_cmp(&right.cost_s)
            .then_with(|| left.machine_id.cmp(&right.machine_id))
    });
    evictions.truncate(count);
    evictions
}

impl PlacementView<'_> {
    /// Returns the cheapest tasks to stop on a machine so that one task of the job fits. `None` if the job may
    /// not use the machine, if the task fits already, or if too few tasks may be stopped.
    pub(super) fn eviction(
        &self,
        machine: &Machine,
        preemptor: &Preemptor<'_>,
    ) -> Option<Eviction> {
        let spec = preemptor.job.spec();
        if !self.may_evict_from(machine, preemptor) {
            return None;
        }
        let mut candidates: Vec<VictimCandidate<'_>> = machine
            .live_attempts()
            .filter_map(|attempt| self.victim_candidate(attempt, preemptor))
            .collect();
        candidates.sort_by(|left, right| left.cost_s.total_cmp(&right.cost_s));
        let request = Resources::of(spec);
        let mut free = *machine.free();
        let mut victims = Vec::new();
        let mut cost_s = self.image_wait_s(machine, spec);
        for candidate in candidates {
            if request.fits(&free) {
                break;
            }
            free.add(&candidate.attempt.request);
            cost_s += candidate.cost_s;
            victims.push(Victim {
                attempt: candidate.attempt.key(),
                grace_s: candidate.grace_s,
            });
        }
        (request.fits(&free) && !victims.is_empty()).then(|| Eviction {
            machine_id: machine.id.clone(),
            victims,
            cost_s,
        })
    }

    /// Whether one more task of the job could start on the machine if the machine were empty.
    ///
    /// The start check prevents tasks from being stopped over and over in a zone in which the job may not
    /// start.
    fn may_evict_from(&self, machine: &Machine, preemptor: &Preemptor<'_>) -> bool {
        let spec = preemptor.job.spec();
        self.is_schedulable(machine)
            && preemptor.start_check.check(machine).is_ok()
            && Resources::of(spec).fits(&self.capacity(machine))
            && self.warm_pool_admits(&machine.id, &spec.class)
            && machine.reserved_for(self.now()).is_none()
    }

    /// Returns the attempt with the cost of stopping it for the job; `None` if it may not be stopped or is
    /// being stopped already.
    fn victim_candidate<'m>(
        &self,
        attempt: &'m TaskAttempt,
        preemptor: &Preemptor<'_>,
    ) -> Option<VictimCandidate<'m>> {
        let job = self.jobs().get(&attempt.task.job)?;
        if attempt.stop.is_some() || !self.may_stop(&attempt.task.job, job, preemptor) {
            return None;
        }
        Some(VictimCandidate {
            attempt,
            cost_s: self.stop_cost_s(attempt, job),
            grace_s: self.checkpoint_grace_s(job),
        })
    }

    /// The work lost if an attempt is stopped, in seconds: its run time or, if it writes checkpoints, the time
    /// to write one, for each task that stops with it. A recent start adds [`RECENT_START_COST_S`].
    fn stop_cost_s(&self, attempt: &TaskAttempt, job: &Job) -> f64 {
        let tasks_stopped = if job.needs_gang_scheduling() {
            f64::from(job.spec().tasks)
        } else {
            1.0
        };
        let run_time_s = attempt
            .running_since
            .map_or(0.0, |since| (self.now() - since).secs());
        let work_lost_s = if self.checkpoint_grace_s(job) > 0.0 {
            job.spec().checkpoint_duration_s
        } else {
            run_time_s
        };
        let start_cost_s = if self.now() - attempt.placed_at < RECENT_START {
            RECENT_START_COST_S
        } else {
            0.0
        };
        (start_cost_s + work_lost_s) * tasks_stopped
    }

    /// The time that a task of the job gets to write a checkpoint when it is stopped, in seconds; 0 if it writes none.
    fn checkpoint_grace_s(&self, job: &Job) -> f64 {
        checkpoint_grace_s(job.spec(), self.policy().max_checkpoint_grace_s())
    }

    /// Whether tasks of a job may be stopped for the preemptor: if the job has a lower priority, or if the
    /// preemptor is inside its team's guaranteed share and the job's team uses more than its own.
    fn may_stop(&self, job_id: &JobId, job: &Job, preemptor: &Preemptor<'_>) -> bool {
        let priority = self.effective_priority(job_id, job.spec());
        if priority < preemptor.priority {
            return true;
        }
        // Jobs of the same class are not stopped, since one would only gain what the other loses: a gang
        // was stopped 16 s after its start for another gang of its class. Jobs of higher priority are not
        // stopped either, though the protocol allows it: a hundred tasks of urgent gangs were stopped for
        // single tasks, some gangs five times, although tasks that ended by themselves freed capacity for
        // thousands every second.
        preemptor.guaranteed_jobs.contains(preemptor.id)
            && priority <= preemptor.priority
            && job.spec().class != preemptor.job.spec().class
            && job.team() != preemptor.job.team()
            && !preemptor.guaranteed_jobs.contains(job_id)
            && self.uses_more_than_guaranteed(job)
    }

    /// Whether the job's team uses more than its guaranteed share.
    fn uses_more_than_guaranteed(&self, job: &Job) -> bool {
        let usage = self.usage_of_team(job);
        let exceeds = |used: f64, guaranteed: f64| guaranteed > 0.0 && used > guaranteed;
        self.policy()
            .team(job.team())
            .is_some_and(|team| exceeds(usage.gpus, team.gpus) || exceeds(usage.cpus, team.cpus))
    }
}
