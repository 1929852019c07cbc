//! Rules on placements: no task runs twice, before its upstream jobs are done, on a machine that its job
//! doesn't allow, or too long after its job's cancellation, and no team exceeds its limit.

use super::{Checker, EPSILON};
use crate::simulation::state_store::StateStore;
use crate::simulation::worker::Worker;
use chalklug::ids::*;
use chalklug::protocol::users::JobPhase;
use chalklug::protocol::workers::Cause;
use chalklug::time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// A task attempt on a machine.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Placement {
    task: TaskId,
    machine_id: MachineId,
    session: Session,
    attempt_id: AttemptId,
}

impl std::fmt::Display for Placement {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} on {}", self.task, self.machine_id)
    }
}

impl Checker {
    pub(super) fn check_placements(
        &mut self,
        now: Instant,
        workers: &BTreeMap<MachineId, Worker>,
        store: &StateStore,
    ) {
        self.record_completed_tasks(workers);
        let placements = current_placements(workers);
        let new: Vec<Placement> = placements.difference(&self.placements).cloned().collect();
        for placement in &new {
            *self.start_counts.entry(placement.task.clone()).or_default() += 1;
            self.check_start(now, placement, &placements, store);
            self.check_place(now, placement, &placements, workers);
        }
        self.check_cancelled(now, &placements);
        self.check_team_limits(now, &placements);
        self.placements = placements;
    }

    /// Records the tasks that workers have completed. Called before messages are delivered as well: a heartbeat reports
    /// a task's end even if its machine is terminated at the same time.
    pub fn record_completed_tasks(&mut self, workers: &BTreeMap<MachineId, Worker>) {
        for ((task, _), attempt) in workers.values().flat_map(|worker| &worker.attempts) {
            if attempt.cause == Some(Cause::Done) {
                let done = self.completed_tasks.entry(task.job.clone()).or_default();
                done.insert(task.index);
            }
        }
    }

    /// Checks that the upstream jobs of a started task are done and that the task is on no other
    /// machine.
    fn check_start(
        &mut self,
        now: Instant,
        new: &Placement,
        placements: &BTreeSet<Placement>,
        store: &StateStore,
    ) {
        let is_done = |id: &JobId| store.phase(id) == Some(JobPhase::Done);
        if !self.upstream[&new.task.job].iter().all(is_done) {
            self.record_violation(now, "too_early", new.to_string());
        }
        let elsewhere = |p: &Placement| p.task == new.task && p.machine_id != new.machine_id;
        if placements.iter().any(elsewhere) {
            self.record_violation(now, "ran_twice", format!("{new} and on another machine"));
        }
    }

    /// Checks that the job allows the machine; with affinity, that the job's tasks share a zone; with
    /// anti-affinity, that the zone has at most half of them, rounded up.
    fn check_place(
        &mut self,
        now: Instant,
        new: &Placement,
        placements: &BTreeSet<Placement>,
        workers: &BTreeMap<MachineId, Worker>,
    ) {
        let worker = &workers[&new.machine_id];
        let spec = &self.jobs[&new.task.job];
        let is_other = |p: &&Placement| {
            p.task.job == new.task.job && (p.task != new.task || p.machine_id != new.machine_id)
        };
        let others = placements.iter().filter(is_other);
        let zones: Vec<&Zone> = others.map(|p| &workers[&p.machine_id].zone).collect();
        let violates_affinity =
            spec.zone_affinity && zones.iter().any(|zone| **zone != worker.zone);
        let tasks_in_zone = zones.iter().filter(|zone| ***zone == worker.zone).count() as u32 + 1;
        let violates_anti_affinity =
            spec.zone_anti_affinity && tasks_in_zone > spec.tasks.div_ceil(2);
        if !worker.allows(spec) || violates_affinity || violates_anti_affinity {
            self.record_violation(now, "wrong_place", new.to_string());
        }
    }

    /// Checks that the tasks of a cancelled job have ended within `cancel_s`.
    fn check_cancelled(&mut self, now: Instant, placements: &BTreeSet<Placement>) {
        let limit_secs = self.facts.workers.cancel_s;
        for placement in placements {
            let cancelled_at = self.cancelled_at.get(&placement.task.job);
            if cancelled_at.is_some_and(|at| (now - *at).secs() > limit_secs) {
                self.record_violation(now, "ran_cancelled", placement.to_string());
            }
        }
    }

    fn check_team_limits(&mut self, now: Instant, placements: &BTreeSet<Placement>) {
        let mut used: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for placement in placements {
            let spec = &self.jobs[&placement.task.job];
            let (cpus, gpus) = used.entry(spec.team.clone()).or_default();
            *cpus += spec.cpus;
            *gpus += spec.gpus;
        }
        for team in self.facts.teams.clone() {
            let (cpus, gpus) = used.get(&team.name).copied().unwrap_or_default();
            let exceeds = |used: f64, max: f64| max > 0.0 && used > max + EPSILON;
            if exceeds(cpus, team.cpus_max) || exceeds(gpus, team.gpus_max) {
                let details = format!("{} uses {cpus} cpus, {gpus} gpus", team.name);
                self.record_violation(now, "quota", details);
            }
        }
    }
}

fn current_placements(workers: &BTreeMap<MachineId, Worker>) -> BTreeSet<Placement> {
    let mut placements = BTreeSet::new();
    for worker in workers.values() {
        for ((task, attempt_id), attempt) in &worker.attempts {
            if attempt.is_on_machine() {
                placements.insert(Placement {
                    task: task.clone(),
                    machine_id: worker.id.clone(),
                    session: worker.session,
                    attempt_id: *attempt_id,
                });
            }
        }
    }
    placements
}
