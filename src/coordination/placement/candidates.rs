//! Selection of machines for the tasks of a job: of the machines allowed, the one with the lowest cost comes
//! first. Costs express every preference in seconds of waiting (the paper's `FindEngine`, whose details it
//! leaves open).
//!
//! Nothing is changed here, and quotas are not checked.

use super::pass::{ImageLocality, PlacementPass};
use super::start_check::StartCheck;
use super::zones::ZoneChoice;
use super::Placement;
use crate::coordination::attempts::ledger::MAX_ATTEMPTS_PER_MACHINE;
use crate::coordination::jobs::graph::SchedulingPreference;
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::Machine;
use crate::ids::{JobId, MachineId, TaskId, Zone};
use crate::resources::Resources;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// The cost of a machine that runs tasks of another scheduling preference.
const PREFERENCE_MISMATCH_COST_S: f64 = 1.0;
/// The cost of an on-demand machine for a job that may use spot instances: keeps on-demand machines free for
/// jobs that may not.
const ON_DEMAND_COST_S: f64 = 2.0;
/// The cost of an empty machine compared to a full one: packs tasks, so that whole machines stay free.
const EMPTY_MACHINE_COST_S: f64 = 3.0;
/// A job avoids the machines on which it failed if there are at most this many. Beyond that, the job itself is
/// considered faulty.
const MAX_AVOIDED_MACHINES: usize = 3;

/// The costs of a machine that don't change as tasks are added to it, in seconds of waiting.
#[derive(Clone, Copy, Debug)]
struct FixedCosts {
    /// Time until the image is on the machine.
    image_wait_s: f64,
    /// Cost of using an on-demand machine where a spot instance is allowed.
    on_demand_s: f64,
    /// Cost of running beside tasks of another scheduling preference.
    preference_mismatch_s: f64,
}

impl FixedCosts {
    fn total_s(&self) -> f64 {
        self.image_wait_s + (self.on_demand_s + self.preference_mismatch_s)
    }
}

/// A machine that a task may be placed on, with its free capacity after the tasks chosen so far. The cheapest
/// candidate is the greatest, so that a max-heap yields it first; among equals, the one with the lowest id.
struct Candidate<'a> {
    machine_id: &'a MachineId,
    zone: &'a Zone,
    capacity: Resources,
    free: Resources,
    attempt_count: usize,
    fixed_costs: FixedCosts,
    cost_s: f64,
}

impl Candidate<'_> {
    fn update_cost(&mut self) {
        let packing_cost_s = free_fraction(&self.free, &self.capacity) * EMPTY_MACHINE_COST_S;
        self.cost_s = self.fixed_costs.total_s() + packing_cost_s;
    }

    /// Assigns one more task to the machine.
    fn assign_task(&mut self, request: &Resources) {
        self.free.sub(request);
        self.attempt_count += 1;
        self.update_cost();
    }

    fn has_room_for(&self, request: &Resources) -> bool {
        request.fits(&self.free) && self.attempt_count < MAX_ATTEMPTS_PER_MACHINE
    }
}

impl PartialEq for Candidate<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Candidate<'_> {}
impl PartialOrd for Candidate<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Candidate<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .cost_s
            .total_cmp(&self.cost_s)
            .then_with(|| other.machine_id.cmp(self.machine_id))
    }
}

/// The larger of the fractions of a machine's GPUs and CPUs that are free.
pub(crate) fn free_fraction(free: &Resources, capacity: &Resources) -> f64 {
    let fraction = |free: f64, capacity: f64| if capacity > 0.0 { free / capacity } else { 0.0 };
    fraction(free.gpus, capacity.gpus).max(fraction(free.cpus, capacity.cpus))
}

impl PlacementPass<'_> {
    /// Chooses a machine for each task, in the order given, until one doesn't fit.
    pub(super) fn choose_machines(
        &self,
        job_id: &JobId,
        job: &Job,
        task_indexes: &[u32],
        zones: &ZoneChoice,
        locality: ImageLocality,
    ) -> Vec<Placement> {
        let request = Resources::of(job.spec());
        let mut start_check = StartCheck::for_pending_tasks(job);
        let mut candidates = self.candidates(job_id, job, zones, locality, &start_check);
        let mut placements = Vec::new();
        for index in task_indexes {
            let Some(mut candidate) = pop_allowed(&mut candidates, &start_check) else {
                break;
            };
            placements.push(Placement {
                task: TaskId {
                    job: job_id.clone(),
                    index: *index,
                },
                machine: candidate.machine_id.clone(),
                image_wait_s: candidate.fixed_costs.image_wait_s,
            });
            start_check.add_task(candidate.zone);
            candidate.assign_task(&request);
            if candidate.has_room_for(&request) {
                candidates.push(candidate);
            }
        }
        placements
    }

    /// Returns the machines that a task of the job may be placed on now.
    fn candidates(
        &self,
        job_id: &JobId,
        job: &Job,
        zones: &ZoneChoice,
        locality: ImageLocality,
        start_check: &StartCheck<'_>,
    ) -> BinaryHeap<Candidate<'_>> {
        let spec = job.spec();
        let request = Resources::of(spec);
        let scheduling_preference = self.view.jobs().graph().scheduling_preference(job_id);
        let avoids_failures = job.retry().failed_on().len() <= MAX_AVOIDED_MACHINES;
        let may_use_warm_pool = self.view.is_aged(job);
        self.view
            .machines()
            .with_free_capacity_for(spec)
            .filter(|machine| {
                request.fits(machine.free()) && machine.attempts.len() < MAX_ATTEMPTS_PER_MACHINE
            })
            .filter(|machine| zones.includes(&machine.zone) && start_check.check(machine).is_ok())
            .filter(|machine| {
                self.view.is_schedulable(machine) && !self.state.is_reserved(&machine.id)
            })
            .filter(|machine| locality.is_met_by(machine, &spec.image))
            .filter(|machine| !(avoids_failures && job.retry().failed_on().contains(&machine.id)))
            .filter(|machine| !self.view.is_reserved_for_another(machine, job_id))
            .filter(|machine| {
                may_use_warm_pool || self.view.warm_pool_admits(&machine.id, &spec.class)
            })
            .map(|machine| self.candidate(machine, job, scheduling_preference))
            .collect()
    }

    fn candidate<'m>(
        &self,
        machine: &'m Machine,
        job: &Job,
        scheduling_preference: SchedulingPreference,
    ) -> Candidate<'m> {
        let mut candidate = Candidate {
            machine_id: &machine.id,
            zone: &machine.zone,
            capacity: self.view.capacity(machine),
            free: *machine.free(),
            attempt_count: machine.attempts.len(),
            fixed_costs: self.fixed_costs(machine, job, scheduling_preference),
            cost_s: 0.0,
        };
        candidate.update_cost();
        candidate
    }

    fn fixed_costs(
        &self,
        machine: &Machine,
        job: &Job,
        scheduling_preference: SchedulingPreference,
    ) -> FixedCosts {
        let cost_if = |applies: bool, cost_s: f64| if applies { cost_s } else { 0.0 };
        let is_latency = scheduling_preference == SchedulingPreference::Latency;
        let runs_other_preference = machine
            .live_attempts()
            .any(|attempt| attempt.is_latency_task != is_latency);
        FixedCosts {
            image_wait_s: self.view.image_wait_s(machine, job.spec()),
            on_demand_s: cost_if(job.spec().spot && !machine.spot, ON_DEMAND_COST_S),
            preference_mismatch_s: cost_if(runs_other_preference, PREFERENCE_MISMATCH_COST_S),
        }
    }
}

/// Removes and returns the cheapest candidate in whose zone one more task of the job may start. Cheaper ones
/// are dropped: a zone that is not allowed now stays so, since each task chosen only restricts the zones
/// further.
fn pop_allowed<'a>(
    candidates: &mut BinaryHeap<Candidate<'a>>,
    start_check: &StartCheck<'_>,
) -> Option<Candidate<'a>> {
    while let Some(candidate) = candidates.pop() {
        if start_check.check_zone(candidate.zone).is_ok() {
            return Some(candidate);
        }
    }
    None
}
