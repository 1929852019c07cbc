//! Rule on starvation: without active faults, no job that could start waits for long.

use super::{Checker, EPSILON};
use crate::simulation::attempt::Attempt;
use crate::simulation::state_store::StateStore;
use crate::simulation::worker::Worker;
use chalklug::ids::*;
use chalklug::protocol::users::{JobPhase, JobSpec, Shape};
use chalklug::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum time that a job may wait while it could start and no fault is active.
const MAX_WAIT: TimeSpan = TimeSpan(90_000);
/// Maximum number of tasks counted per machine; tasks that request neither CPUs nor GPUs fit without
/// limit.
const MAX_TASKS_PER_MACHINE: u32 = 1_000;

/// A responsive machine that is neither faulty nor about to be reclaimed, and its free capacity.
struct UsableMachine<'a> {
    worker: &'a Worker,
    cpus: f64,
    gpus: f64,
}

impl UsableMachine<'_> {
    /// Returns how many tasks of the job fit on the machine.
    fn tasks_that_fit(&self, spec: &JobSpec) -> u32 {
        let fitting = |free: f64, need: f64| match need > 0.0 {
            true => ((free + EPSILON) / need).floor().max(0.0) as u32,
            false => u32::MAX,
        };
        fitting(self.cpus, spec.cpus)
            .min(fitting(self.gpus, spec.gpus))
            .min(MAX_TASKS_PER_MACHINE)
    }
}

/// Used and free capacity of all machines.
struct Usage<'a> {
    gpus_by_team: BTreeMap<&'a str, f64>,
    /// Tasks with an attempt that hasn't ended, on any machine.
    placed_tasks: BTreeSet<&'a TaskId>,
    usable_machines: Vec<UsableMachine<'a>>,
}

impl Checker {
    pub(super) fn check_starvation(
        &mut self,
        now: Instant,
        workers: &BTreeMap<MachineId, Worker>,
        store: &StateStore,
    ) {
        let usage = self.usage(now, workers);
        let mut startable_since = BTreeMap::new();
        let mut starving = Vec::new();
        for (id, spec) in &self.jobs {
            if !self.could_start(spec, &usage, workers, store) {
                continue;
            }
            let since = self.startable_since.get(id).copied().unwrap_or(now);
            if now - since.max(self.last_fault_at) > MAX_WAIT {
                starving.push(id.to_string());
            }
            startable_since.insert(id.clone(), since);
        }
        self.startable_since = startable_since;
        for id in starving {
            self.record_violation(now, "left_waiting", id);
        }
    }

    fn usage<'a>(&'a self, now: Instant, workers: &'a BTreeMap<MachineId, Worker>) -> Usage<'a> {
        let mut usage = Usage {
            gpus_by_team: BTreeMap::new(),
            placed_tasks: BTreeSet::new(),
            usable_machines: Vec::new(),
        };
        for worker in workers.values() {
            let (mut cpus, mut gpus) = (worker.machine_type.cpus, worker.machine_type.gpus);
            for ((task, _), attempt) in &worker.attempts {
                if attempt.has_ended() {
                    continue;
                }
                let spec = &self.jobs[&task.job];
                cpus -= spec.cpus;
                gpus -= spec.gpus;
                *usage.gpus_by_team.entry(&spec.team).or_default() += spec.gpus;
                usage.placed_tasks.insert(task);
            }
            let usable = !worker.faults.faulty && !worker.preemption_noticed;
            if worker.is_responsive(now) && usable {
                usage
                    .usable_machines
                    .push(UsableMachine { worker, cpus, gpus });
            }
        }
        usage
    }

    /// Whether a task of the job, or for a gang all of them, could start: the job is released, below
    /// its team's limit, and fits on the usable machines. Jobs with anti-affinity are left out.
    fn could_start(
        &self,
        spec: &JobSpec,
        usage: &Usage,
        workers: &BTreeMap<MachineId, Worker>,
        store: &StateStore,
    ) -> bool {
        let is_done = |id: &JobId| store.phase(id) == Some(JobPhase::Done);
        let is_open = store.phase(&spec.id) == Some(JobPhase::Queued);
        let is_released = self.upstream[&spec.id].iter().all(is_done);
        if !is_open || !is_released || spec.zone_anti_affinity {
            return false;
        }
        let unplaced_tasks = self.count_unplaced_tasks(spec, usage);
        let is_gang = spec.shape == Shape::Gang;
        if unplaced_tasks == 0 || (is_gang && self.completed_tasks.contains_key(&spec.id)) {
            return false;
        }
        let concurrent_tasks = if is_gang { unplaced_tasks } else { 1 };
        self.is_under_team_limit(spec, usage, concurrent_tasks)
            && count_fitting_tasks(spec, usage, workers) >= concurrent_tasks
    }

    /// Returns the number of tasks that are neither done nor placed.
    fn count_unplaced_tasks(&self, spec: &JobSpec, usage: &Usage) -> u32 {
        let done = self.completed_tasks.get(&spec.id);
        let is_unplaced = |index: &u32| {
            let job = spec.id.clone();
            let task = TaskId { job, index: *index };
            done.is_none_or(|done| !done.contains(index)) && !usage.placed_tasks.contains(&task)
        };
        (0..spec.tasks).filter(is_unplaced).count() as u32
    }

    fn is_under_team_limit(&self, spec: &JobSpec, usage: &Usage, concurrent_tasks: u32) -> bool {
        let max = self.team(&spec.team).map_or(0.0, |team| team.gpus_max);
        let used = usage.gpus_by_team.get(spec.team.as_str());
        let used = used.copied().unwrap_or(0.0);
        max <= 0.0 || used + spec.gpus * f64::from(concurrent_tasks) <= max + EPSILON
    }
}

/// Returns how many more tasks of the job fit on the machines that it allows; with affinity, in a
/// single zone.
fn count_fitting_tasks(
    spec: &JobSpec,
    usage: &Usage,
    workers: &BTreeMap<MachineId, Worker>,
) -> u32 {
    let zones_in_use = zones_of(spec, workers);
    let mut fitting_tasks: BTreeMap<&Zone, u32> = BTreeMap::new();
    for machine in &usage.usable_machines {
        let zone = &machine.worker.zone;
        let satisfies_affinity =
            !spec.zone_affinity || zones_in_use.iter().all(|in_use| *in_use == zone);
        if machine.worker.allows(spec) && satisfies_affinity {
            *fitting_tasks.entry(zone).or_default() += machine.tasks_that_fit(spec);
        }
    }
    match spec.zone_affinity {
        true => fitting_tasks.values().copied().max().unwrap_or(0),
        false => fitting_tasks.values().sum(),
    }
}

/// Returns the zones in which the job has task attempts that haven't ended.
fn zones_of<'a>(spec: &JobSpec, workers: &'a BTreeMap<MachineId, Worker>) -> BTreeSet<&'a Zone> {
    let is_live = |((task, _), attempt): (&(TaskId, AttemptId), &Attempt)| {
        task.job == spec.id && !attempt.has_ended()
    };
    let workers = workers.values();
    workers
        .filter(|worker| worker.attempts.iter().any(is_live))
        .map(|worker| &worker.zone)
        .collect()
}
