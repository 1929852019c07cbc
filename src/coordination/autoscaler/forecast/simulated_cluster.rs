//! The simulated cluster of a forecast: machines that are up, booting or requested, and those that the forecast
//! adds.

use super::assignment::TaskOrigin;
use super::simulated_machine::{Release, SimulatedMachine, UpMachine};
use super::ForecastResult;
use crate::coordination::attempts::ledger::TaskAttempt;
use crate::coordination::autoscaler::requests::ScaleOutRequest;
use crate::coordination::autoscaler::view::AutoscalerView;
use crate::coordination::autoscaler::MachineOffer;
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::placement::candidates::free_fraction;
use crate::ids::Zone;
use crate::protocol::users::Shape;
use std::collections::BTreeMap;

/// A machine that has been booting for this multiple of its boot time is no longer expected to come up.
const MAX_BOOT_TIME_FACTOR: f64 = 2.0;
/// Least remaining boot time assumed for a booting machine, as a share of its boot time.
const MIN_BOOT_SHARE_LEFT: f64 = 0.1;
/// Least remaining time, in seconds, assumed until a requested machine is up.
const MIN_REQUESTED_BOOT_SECS: f64 = 1.0;
/// Factor by which estimated remaining run times are extended: they are less certain than the boot time of a new
/// machine.
const RUN_TIME_MARGIN: f64 = 1.25;
/// Most starts that a forecast simulates, for each machine of the simulated cluster. A start is that of all tasks that
/// begin on one machine at the same time.
pub(super) const MAX_STARTS_PER_MACHINE: usize = 64;
/// Most of these starts that one batch may take: no batch uses up the starts of all others.
const MAX_STARTS_PER_MACHINE_AND_BATCH: usize = MAX_STARTS_PER_MACHINE / 2;

/// The machines that a forecast simulates.
pub(super) struct SimulatedCluster {
    /// First the machines that are up, booting or requested, then those that the forecast adds.
    machines: Vec<SimulatedMachine>,
    /// The number of machines that the forecast did not add.
    existing_count: usize,
    /// Machines may be added as long as there are fewer than this.
    max_machines: usize,
    /// The number of machines in each zone.
    machines_by_zone: BTreeMap<Zone, usize>,
    /// The number of starts simulated so far.
    start_count: usize,
    /// The most machines that the cluster may have with all that could be added.
    max_size: usize,
}

impl SimulatedCluster {
    /// Creates the cluster with the machines that are up, booting or requested; at most `max_new_machines` may be
    /// added.
    pub(super) fn new(view: &AutoscalerView<'_>, max_new_machines: usize) -> SimulatedCluster {
        let mut machines_by_zone: BTreeMap<Zone, usize> = BTreeMap::new();
        let mut machines = Vec::new();
        for machine in view.machines().values() {
            *machines_by_zone.entry(machine.zone.clone()).or_default() += 1;
            machines.extend(simulated(view, machine));
        }
        for request in view.autoscaler().requests.iter() {
            for _ in 0..request.count {
                machines.push(simulated_requested(view, request));
            }
        }
        let max_machines = machines.len() + max_new_machines;
        SimulatedCluster {
            existing_count: machines.len(),
            max_machines,
            machines,
            machines_by_zone,
            start_count: 0,
            max_size: max_machines,
        }
    }

    /// Returns all machines of the cluster.
    pub(super) fn machines(&self) -> &[SimulatedMachine] {
        &self.machines
    }

    /// Returns a machine by its index in [`SimulatedCluster::machines`].
    pub(super) fn machine_mut(&mut self, index: usize) -> &mut SimulatedMachine {
        &mut self.machines[index]
    }

    /// Returns the number of machines in each zone, those that the forecast added included.
    pub(super) fn machines_by_zone(&self) -> &BTreeMap<Zone, usize> {
        &self.machines_by_zone
    }

    /// Whether no more machines may be added.
    pub(super) fn is_full(&self) -> bool {
        self.machines.len() >= self.max_machines
    }

    /// Prevents the addition of further machines.
    pub(super) fn forbid_new_machines(&mut self) {
        self.max_machines = 0;
    }

    /// Counts a start that was simulated.
    pub(super) fn count_start(&mut self) {
        self.start_count += 1;
    }

    /// Returns how many starts may be simulated for the next batch. They are proportional to the number of machines,
    /// however many tasks the batch has and however short they are, since one forecast is one step of the leader.
    /// Waiting tasks always get one start per machine; tasks that are only expected get what is left.
    pub(super) fn max_starts(&self, origin: TaskOrigin) -> usize {
        let left = (self.max_size * MAX_STARTS_PER_MACHINE).saturating_sub(self.start_count);
        let min = match origin {
            TaskOrigin::Expected { .. } => 0,
            TaskOrigin::WarmPool | TaskOrigin::Waiting => self.max_size,
        };
        left.clamp(min, self.max_size * MAX_STARTS_PER_MACHINE_AND_BATCH)
    }

    /// Adds a machine to be rented, and returns its index in [`SimulatedCluster::machines`].
    pub(super) fn add(&mut self, machine: SimulatedMachine) -> usize {
        let zone = machine.offer.zone.clone();
        *self.machines_by_zone.entry(zone).or_default() += 1;
        self.machines.push(machine);
        self.machines.len() - 1
    }

    /// Returns the result: the added machines are to be rented, and machines that stayed idle are spare.
    pub(super) fn into_result(mut self) -> ForecastResult {
        let mut scale_out: BTreeMap<MachineOffer, u32> = BTreeMap::new();
        for added in self.machines.drain(self.existing_count..) {
            *scale_out.entry(added.offer).or_default() += 1;
        }
        let machines = self.machines.into_iter();
        let spare = machines.filter_map(SimulatedMachine::into_spare);
        ForecastResult {
            scale_out,
            spare: spare.collect(),
            starts: self.start_count,
        }
    }
}

/// Returns the simulation of a machine; None if the forecast can't rely on the machine.
fn simulated(view: &AutoscalerView<'_>, machine: &Machine) -> Option<SimulatedMachine> {
    match machine.state {
        MachineState::Booting if !machine.draining => simulated_booting(view, machine),
        MachineState::Up if view.is_schedulable(machine) => {
            Some(simulated_schedulable(view, machine))
        }
        _ => None,
    }
}

fn simulated_booting(view: &AutoscalerView<'_>, machine: &Machine) -> Option<SimulatedMachine> {
    let age_s = (view.now() - machine.first_known_at).secs();
    let boot_s = view.boot_s(&machine.machine_type);
    if age_s >= boot_s * MAX_BOOT_TIME_FACTOR {
        return None;
    }
    let remaining_s = (boot_s - age_s).max(boot_s * MIN_BOOT_SHARE_LEFT);
    let capacity = view.capacity(&machine.machine_type);
    Some(SimulatedMachine::starting(
        MachineOffer::of(machine),
        remaining_s,
        capacity,
    ))
}

fn simulated_schedulable(view: &AutoscalerView<'_>, machine: &Machine) -> SimulatedMachine {
    let capacity = view.capacity(&machine.machine_type);
    let warm_pool = &view.autoscaler().warm_pool;
    let attempts = machine.live_attempts();
    SimulatedMachine::up(UpMachine {
        offer: MachineOffer::of(machine),
        idle_machine: (machine.attempts.live_count() == 0).then(|| machine.id.clone()),
        free_share: free_fraction(machine.free(), &capacity),
        free: *machine.free(),
        releases: attempts
            .filter_map(|attempt| release_of(view, machine, attempt))
            .collect(),
        cached_images: machine
            .images
            .iter()
            .map(|cached| cached.image.clone())
            .collect(),
        warm_pool_class: warm_pool.class_of(&machine.id).cloned(),
    })
}

/// Returns when a task attempt is expected to release its capacity; None if its job is unknown, or is a service,
/// which has no end.
fn release_of(
    view: &AutoscalerView<'_>,
    machine: &Machine,
    attempt: &TaskAttempt,
) -> Option<Release> {
    let job = view.jobs().get(&attempt.task.job)?;
    if job.spec().shape == Shape::Service {
        return None;
    }
    let remaining_s = match attempt.running_since {
        Some(since) => view.remaining_run_time_s(job, (view.now() - since).secs()),
        None => view.task_run_time_s(job) + remaining_fetch_s(view, machine, attempt),
    };
    Some(Release {
        at_s: remaining_s * RUN_TIME_MARGIN,
        resources: attempt.request,
        tasks: 1,
    })
}

/// Returns the time, in seconds, until an attempt that is not running yet has its image.
fn remaining_fetch_s(view: &AutoscalerView<'_>, machine: &Machine, attempt: &TaskAttempt) -> f64 {
    let Some(job) = view.jobs().get(&attempt.task.job) else {
        return 0.0;
    };
    if machine.has_image(&job.spec().image) {
        return 0.0;
    }
    let fetch_s = view.fetch_s(&machine.machine_type, job.spec().image_gb);
    (fetch_s - (view.now() - attempt.placed_at).secs()).max(0.0)
}

fn simulated_requested(view: &AutoscalerView<'_>, request: &ScaleOutRequest) -> SimulatedMachine {
    let machine_type = &request.offer.machine_type;
    let remaining_s = view.boot_s(machine_type) - (view.now() - request.requested_at).secs();
    SimulatedMachine::starting(
        request.offer.clone(),
        remaining_s.max(MIN_REQUESTED_BOOT_SECS),
        view.capacity(machine_type),
    )
}
