//! The warm pool: machines held ready for classes whose tasks should start sooner than a machine can be
//! rented and their image fetched. How many follows from the arrival rate: what comes in the time that
//! a rental would take, and a little for chance.

use super::view::AutoscalerView;
use crate::coordination::machines::machine::Machine;
use crate::coordination::placement::request::{allows_machine, allows_machine_type};
use crate::coordination::Scheduler;
use crate::ids::MachineId;
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::time::Instant;
use std::collections::BTreeMap;

/// Nothing is held ready for a class of which fewer jobs are expected in the time that a rental takes.
const MIN_EXPECTED_JOBS: f64 = 0.2;
/// By how many standard deviations of the expected number of jobs the pool is larger than it.
const EXTRA_DEVIATIONS: f64 = 0.5;
/// A machine type that does not say how quickly it fetches images is taken to do so at least.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// The machines held ready.
#[derive(Debug, Default)]
pub(crate) struct WarmPool {
    class_by_machine: BTreeMap<MachineId, String>,
    missing: Vec<WarmPoolDemand>,
}

/// Room for tasks of a class that should be held ready.
#[derive(Debug)]
pub(super) struct WarmPoolDemand {
    /// A job of the class.
    pub(super) spec: JobSpec,
    /// How many of its tasks there should be room for at once.
    pub(super) tasks: u32,
}

impl WarmPool {
    /// The job class that the machine is held ready for, if it is.
    pub(crate) fn class_of(&self, machine: &MachineId) -> Option<&String> {
        self.class_by_machine.get(machine)
    }

    /// Whether the machine is held ready.
    pub(super) fn contains(&self, machine: &MachineId) -> bool {
        self.class_by_machine.contains_key(machine)
    }

    /// How many machines are held ready.
    pub(super) fn len(&self) -> usize {
        self.class_by_machine.len()
    }

    /// Room that should be held ready, and for which there is no machine.
    pub(super) fn missing(&self) -> &[WarmPoolDemand] {
        &self.missing
    }
}

impl Scheduler {
    /// Chooses anew which machines are held ready.
    pub(crate) fn update_warm_pool(&mut self, now: Instant) {
        self.autoscaler.warm_pool = choose(&self.autoscaler_view(now));
    }
}

/// Chooses the machines to be held ready.
fn choose(view: &AutoscalerView<'_>) -> WarmPool {
    let mut pool = WarmPool::default();
    for demand in demand(view) {
        let machines = candidates(view, &demand.spec, &pool);
        let missing = demand.tasks.saturating_sub(machines.len() as u32);
        for machine in machines.into_iter().take(demand.tasks as usize) {
            let class = demand.spec.class.clone();
            pool.class_by_machine.insert(machine.clone(), class);
        }
        if missing > 0 {
            pool.missing.push(WarmPoolDemand {
                tasks: missing,
                ..demand
            });
        }
    }
    pool
}

/// Machines with room for a task now that are not in the pool, those with its image first.
fn candidates<'a>(
    view: &AutoscalerView<'a>,
    spec: &JobSpec,
    pool: &WarmPool,
) -> Vec<&'a MachineId> {
    let request = Resources::of(spec);
    let with_free_capacity = view.machines().index.with_free_capacity.iter();
    let (mut candidates, others): (Vec<&Machine>, Vec<&Machine>) = with_free_capacity
        .filter_map(|id| view.machines().get(id))
        .filter(|machine| request.fits(machine.free()) && allows_machine(spec, machine))
        .filter(|machine| view.is_schedulable(machine) && !pool.contains(&machine.id))
        .partition(|machine| machine.has_image(&spec.image));
    candidates.extend(others);
    candidates.into_iter().map(|machine| &machine.id).collect()
}

/// For how many tasks of each class there should be room at once, beyond what runs.
fn demand(view: &AutoscalerView<'_>) -> Vec<WarmPoolDemand> {
    let classes = view.autoscaler().arrivals.iter();
    let demand = classes.filter_map(|(class, rate)| {
        let max_wait_s = view.policy().max_start_delay_s(class)?;
        let spec = rate.last_job()?;
        let rental_s = shortest_rental_s(view, spec);
        if !rental_s.is_finite() || rental_s <= max_wait_s || !view.is_large_task(spec) {
            return None;
        }
        let jobs = rate.jobs_per_s(view.now()) * rental_s;
        if jobs < MIN_EXPECTED_JOBS {
            return None;
        }
        let jobs = jobs + EXTRA_DEVIATIONS * jobs.sqrt();
        let tasks = (jobs * rate.tasks_per_job()).ceil() as u32;
        let headroom = view.headroom(
            spec,
            view.policy().team_index(&spec.team),
            view.team_usage(),
        );
        let tasks = tasks.min(headroom);
        (tasks > 0).then(|| WarmPoolDemand {
            spec: spec.clone(),
            tasks,
        })
    });
    demand.collect()
}

/// Seconds that it takes to have another machine with a job's image, of the type that is quickest at it;
/// infinite if there is none.
fn shortest_rental_s(view: &AutoscalerView<'_>, spec: &JobSpec) -> f64 {
    let request = Resources::of(spec);
    let types = view.machines().types.values();
    types
        .filter(|info| allows_machine_type(spec, &info.name))
        .filter(|info| request.fits(&view.machines().capacity(&info.name)))
        .map(|info| info.boot_s + spec.image_gb / info.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S))
        .fold(f64::INFINITY, f64::min)
}
