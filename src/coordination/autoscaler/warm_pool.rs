//! The warm pool: machines kept ready for job classes whose tasks should start sooner than a machine can be
//! rented and their image fetched. Its size follows from the arrival rate: the jobs expected in the time that
//! renting a machine takes, and a margin for random variation.

use super::arrivals::ArrivalRate;
use super::view::AutoscalerView;
use crate::coordination::machines::machine::Machine;
use crate::coordination::placement::request::{allows_machine, allows_machine_type};
use crate::coordination::Scheduler;
use crate::ids::MachineId;
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::time::Instant;
use std::collections::BTreeMap;

/// No machine is kept ready for a class of which fewer jobs are expected in the time that renting one takes.
const MIN_EXPECTED_JOBS: f64 = 0.2;
/// Margin of the pool above the expected number of jobs, in standard deviations.
const EXTRA_DEVIATIONS: f64 = 0.5;

/// The machines kept ready.
#[derive(Debug, Default)]
pub(crate) struct WarmPool {
    class_by_machine: BTreeMap<MachineId, String>,
    missing: Vec<WarmPoolDemand>,
}

/// Capacity to keep ready for tasks of one class.
#[derive(Debug)]
pub(super) struct WarmPoolDemand {
    /// A job of the class.
    pub(super) spec: JobSpec,
    /// The number of its tasks that should fit at the same time.
    pub(super) tasks: u32,
}

impl WarmPool {
    /// Returns the job class that the machine is kept ready for, if any.
    pub(crate) fn class_of(&self, machine: &MachineId) -> Option<&String> {
        self.class_by_machine.get(machine)
    }

    /// Whether the machine is in the pool.
    pub(super) fn contains(&self, machine: &MachineId) -> bool {
        self.class_by_machine.contains_key(machine)
    }

    pub(super) fn len(&self) -> usize {
        self.class_by_machine.len()
    }

    /// Returns the capacity to keep ready for which there is no machine.
    pub(super) fn missing(&self) -> &[WarmPoolDemand] {
        &self.missing
    }
}

impl Scheduler {
    /// Updates the selection of machines in the warm pool.
    pub(crate) fn update_warm_pool(&mut self, now: Instant) {
        self.autoscaler.warm_pool = select_machines(&self.autoscaler_view(now));
    }
}

/// Selects the machines of the warm pool, and determines the missing ones.
fn select_machines(view: &AutoscalerView<'_>) -> WarmPool {
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

/// Returns the machines outside the pool with free capacity for a task now, those with its image first.
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

/// Returns for how many tasks of each class free capacity should be kept.
fn demand(view: &AutoscalerView<'_>) -> Vec<WarmPoolDemand> {
    let classes = view.autoscaler().arrivals.iter();
    let demand = classes.filter_map(|(class, rate)| {
        let max_wait_s = view.policy().max_start_delay_s(class)?;
        let spec = newest_sound_job(view, rate)?;
        let lead_time_s = min_lead_time_s(view, spec);
        if lead_time_s <= max_wait_s || !view.is_large_task(spec) {
            return None;
        }
        let jobs = rate.jobs_per_s(view.now()) * lead_time_s;
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

/// Returns the newest job of a class that some machine type can run. A job whose image no machine can hold was submitted
/// with a mistake.
fn newest_sound_job<'a>(view: &AutoscalerView<'_>, rate: &'a ArrivalRate) -> Option<&'a JobSpec> {
    let mut newest_first = rate.recent_jobs().rev();
    newest_first.find(|spec| min_lead_time_s(view, spec).is_finite())
}

/// Returns the shortest time, in seconds, to boot a machine and fetch a job's image, over the machine types that
/// fit the job; infinite if there is none.
fn min_lead_time_s(view: &AutoscalerView<'_>, spec: &JobSpec) -> f64 {
    let request = Resources::of(spec);
    let types = view.machines().types.values();
    types
        .filter(|info| allows_machine_type(spec, &info.name))
        .filter(|info| request.fits(&view.machines().capacity(&info.name)))
        .filter(|info| view.can_cache(&info.name, spec.image_gb))
        .map(|info| info.boot_s + view.fetch_s(&info.name, spec.image_gb))
        .fold(f64::INFINITY, f64::min)
}
