//! Which tasks would have to be stopped to make room for a job on one machine, and what that costs.
//!
//! The cost of an eviction is in seconds: the work that is lost of each task stopped, counted for every
//! member of a gang (all of them stop with one), and the wait for the image of the job that room is made for.

use super::start_check::StartCheck;
use super::view::PlacementView;
use crate::coordination::attempts::ledger::TaskAttempt;
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::Machine;
use crate::ids::{AttemptKey, JobId, MachineId};
use crate::protocol::users::{JobSpec, Priority};
use crate::resources::Resources;
use crate::time::TimeSpan;
use std::collections::BTreeSet;

/// What stopping a task costs beyond the work lost, if it has only just started: its start was in vain then.
const RECENT_START_COST_S: f64 = 20.0;
/// For this long a start is recent.
const RECENT_START: TimeSpan = TimeSpan(30_000);
/// A task may take this much longer than its job says to write its checkpoint.
const CHECKPOINT_GRACE_MARGIN_S: f64 = 2.0;

/// A task attempt to be stopped.
#[derive(Debug)]
pub(super) struct Victim {
    /// Which attempt of which task.
    pub(super) attempt: AttemptKey,
    /// Seconds that it gets to write a checkpoint.
    pub(super) grace_s: f64,
}

/// The task attempts to be stopped on one machine to make room, and what that costs.
#[derive(Debug)]
pub(super) struct Eviction {
    /// The machine.
    pub(super) machine_id: MachineId,
    /// The attempts to be stopped on it; at least one.
    pub(super) victims: Vec<Victim>,
    /// Seconds of work lost, and of waiting for the image.
    pub(super) cost_s: f64,
}

/// The job that room is to be made for.
pub(super) struct Preemptor<'a> {
    pub(super) id: &'a JobId,
    pub(super) job: &'a Job,
    /// Where one more of its tasks may start.
    pub(super) start_check: StartCheck<'a>,
    priority: Priority,
    /// Jobs inside their team's guaranteed share, which are stopped for higher priority only. None of them
    /// is known if only tasks of lower priority may go.
    guaranteed_jobs: &'a BTreeSet<JobId>,
}

impl<'a> Preemptor<'a> {
    /// The job with that id, if it is held.
    pub(super) fn new(
        view: &PlacementView<'a>,
        id: &'a JobId,
        guaranteed_jobs: &'a BTreeSet<JobId>,
    ) -> Option<Preemptor<'a>> {
        let job = view.jobs().get(id)?;
        Some(Preemptor {
            id,
            job,
            start_check: StartCheck::of_pending_tasks(job),
            priority: view.effective_priority(id, job.spec()),
            guaranteed_jobs,
        })
    }

    /// Whether anything may be stopped for the job at all: it is above the lowest priority of all jobs, or
    /// inside its team's guaranteed share.
    pub(super) fn may_preempt(&self, lowest_priority: Option<Priority>) -> bool {
        Some(self.priority) > lowest_priority || self.guaranteed_jobs.contains(self.id)
    }
}

/// A task attempt that may be stopped.
struct Stoppable<'a> {
    attempt: &'a TaskAttempt,
    cost_s: f64,
    grace_s: f64,
}

/// The cheapest evictions that make as much room as is wanted; empty if there are not enough.
pub(super) fn cheapest(mut evictions: Vec<Eviction>, wanted: usize) -> Vec<Eviction> {
    if evictions.len() < wanted {
        return Vec::new();
    }
    evictions.sort_by(|left, right| {
        left.cost_s
            .total_cmp(&right.cost_s)
            .then_with(|| left.machine_id.cmp(&right.machine_id))
    });
    evictions.truncate(wanted);
    evictions
}

impl PlacementView<'_> {
    /// The cheapest tasks to stop on a machine so that one task of the job fits there; `None` if the job may
    /// not use the machine, if it has room already, or if there is not enough that may be stopped.
    pub(super) fn eviction(
        &self,
        machine: &Machine,
        preemptor: &Preemptor<'_>,
    ) -> Option<Eviction> {
        let spec = preemptor.job.spec();
        if !self.may_evict_from(machine, preemptor) {
            return None;
        }
        let mut stoppable: Vec<Stoppable<'_>> = machine
            .live_attempts()
            .filter_map(|attempt| self.stoppable(attempt, preemptor))
            .collect();
        stoppable.sort_by(|left, right| left.cost_s.total_cmp(&right.cost_s));
        let request = Resources::of(spec);
        let mut free = *machine.free();
        let mut victims = Vec::new();
        let mut cost_s = self.image_wait_s(machine, spec);
        for candidate in stoppable {
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

    /// Whether one more task of the job could start on the machine if it were empty.
    ///
    /// Guards against tasks stopped in vain, again and again, in a zone in which the job may not start.
    fn may_evict_from(&self, machine: &Machine, preemptor: &Preemptor<'_>) -> bool {
        let spec = preemptor.job.spec();
        self.is_usable(machine)
            && preemptor.start_check.check(machine).is_ok()
            && Resources::of(spec).fits(&self.capacity(machine))
            && self.warm_pool_admits(&machine.id, &spec.class)
            && machine.reserved_for(self.now()).is_none()
    }

    /// What it costs to stop an attempt for the job; `None` if that may not be, or is being done already.
    fn stoppable<'m>(
        &self,
        attempt: &'m TaskAttempt,
        preemptor: &Preemptor<'_>,
    ) -> Option<Stoppable<'m>> {
        let job = self.jobs().get(&attempt.task.job)?;
        if attempt.stop.is_some() || !self.may_stop(&attempt.task.job, job, preemptor) {
            return None;
        }
        Some(Stoppable {
            attempt,
            cost_s: self.stop_cost_s(attempt, job),
            grace_s: stop_grace_s(job.spec()),
        })
    }

    /// Seconds of work lost if an attempt is stopped: all that it has run since its start, or what it takes
    /// to write a checkpoint, for each task that stops with it.
    fn stop_cost_s(&self, attempt: &TaskAttempt, job: &Job) -> f64 {
        let tasks_stopped = if job.needs_gang_scheduling() {
            f64::from(job.spec().tasks)
        } else {
            1.0
        };
        let run_time_s = attempt
            .running_since
            .map_or(0.0, |since| (self.now() - since).secs());
        let work_lost_s = if writes_checkpoints(job.spec()) {
            job.spec().checkpoint_duration_s
        } else {
            run_time_s
        };
        let start_lost_s = if self.now() - attempt.placed_at < RECENT_START {
            RECENT_START_COST_S
        } else {
            0.0
        };
        (start_lost_s + work_lost_s) * tasks_stopped
    }

    /// Whether tasks of a job may be stopped for the preemptor: those of lower priority, and to give a team
    /// its guaranteed share those of a team that runs beyond its own.
    fn may_stop(&self, job_id: &JobId, job: &Job, preemptor: &Preemptor<'_>) -> bool {
        let priority = self.effective_priority(job_id, job.spec());
        if priority < preemptor.priority {
            return true;
        }
        // Within a class the one would only be served at the other's cost: on a recorded day a gang
        // was stopped 16 s after its start for another of its own kind. Nor is what is more urgent
        // stopped, though the protocol allows it: on a calm day of the fleet a hundred tasks of
        // urgent gangs were stopped for single tasks, some gangs five times, while what ends by
        // itself every second had room for thousands.
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

/// Seconds that a task gets to write a checkpoint when it is stopped; 0 if it writes none.
fn stop_grace_s(spec: &JobSpec) -> f64 {
    if writes_checkpoints(spec) {
        spec.checkpoint_duration_s + CHECKPOINT_GRACE_MARGIN_S
    } else {
        0.0
    }
}

fn writes_checkpoints(spec: &JobSpec) -> bool {
    spec.checkpoint_interval_s > 0.0
}
