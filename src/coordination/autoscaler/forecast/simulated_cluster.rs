//! The cluster as a forecast simulates it: machines that are up, booting or requested, and those that the
//! forecast adds.

use super::slot::{MachineInUse, MachineSlot, Release};
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

/// A booting machine counts as coming for this many boot times.
const MAX_BOOT_TIMES: f64 = 2.0;
/// A booting machine needs at least this share of its boot time yet.
const MIN_BOOT_SHARE_LEFT: f64 = 0.1;
/// A machine that was requested needs at least so many seconds yet.
const MIN_REQUESTED_BOOT_SECS: f64 = 1.0;
/// By how much the estimated remaining run time of a task may be too short: in favour of a machine whose
/// boot time is known.
const RUN_TIME_MARGIN: f64 = 1.25;

/// The machines of a forecast.
pub(super) struct SimulatedCluster {
    /// First the machines that are there or coming, then those that the forecast adds.
    slots: Vec<MachineSlot>,
    /// How many of the slots the forecast did not add.
    known_slots: usize,
    /// While there are fewer slots than this, more may be added.
    max_slots: usize,
    /// How many machines there are in each zone.
    machines_by_zone: BTreeMap<Zone, usize>,
}

impl SimulatedCluster {
    /// The machines there are and that are coming; at most `max_new_machines` may be added.
    pub(super) fn new(view: &AutoscalerView<'_>, max_new_machines: usize) -> SimulatedCluster {
        let mut machines_by_zone: BTreeMap<Zone, usize> = BTreeMap::new();
        let mut slots = Vec::new();
        for machine in view.machines().values() {
            *machines_by_zone.entry(machine.zone.clone()).or_default() += 1;
            slots.extend(slot_of(view, machine));
        }
        for request in view.autoscaler().requests.iter() {
            for _ in 0..request.count {
                slots.push(slot_of_request(view, request));
            }
        }
        SimulatedCluster {
            known_slots: slots.len(),
            max_slots: slots.len() + max_new_machines,
            slots,
            machines_by_zone,
        }
    }

    /// All machines of the forecast.
    pub(super) fn slots(&self) -> &[MachineSlot] {
        &self.slots
    }

    /// One machine of the forecast, by its place in [`SimulatedCluster::slots`].
    pub(super) fn slot_mut(&mut self, index: usize) -> &mut MachineSlot {
        &mut self.slots[index]
    }

    /// How many machines there are in each zone, those included that the forecast added.
    pub(super) fn machines_by_zone(&self) -> &BTreeMap<Zone, usize> {
        &self.machines_by_zone
    }

    /// Whether no machine may be added any more.
    pub(super) fn is_full(&self) -> bool {
        self.slots.len() >= self.max_slots
    }

    /// No machine may be added from now on.
    pub(super) fn forbid_new_machines(&mut self) {
        self.max_slots = 0;
    }

    /// Adds a machine to be rented, and returns its place in [`SimulatedCluster::slots`].
    pub(super) fn add(&mut self, slot: MachineSlot) -> usize {
        let zone = slot.offer.zone.clone();
        *self.machines_by_zone.entry(zone).or_default() += 1;
        self.slots.push(slot);
        self.slots.len() - 1
    }

    /// What follows: the machines that were added are to be rented, idle ones that stayed so are spare.
    pub(super) fn into_result(mut self) -> ForecastResult {
        let mut scale_out: BTreeMap<MachineOffer, u32> = BTreeMap::new();
        for added in self.slots.drain(self.known_slots..) {
            *scale_out.entry(added.offer).or_default() += 1;
        }
        let spare = self.slots.into_iter().filter_map(MachineSlot::into_spare);
        ForecastResult {
            scale_out,
            spare: spare.collect(),
        }
    }
}

/// The machine as the forecast sees it; None if it can't be counted on.
fn slot_of(view: &AutoscalerView<'_>, machine: &Machine) -> Option<MachineSlot> {
    match machine.state {
        MachineState::Booting if !machine.draining => slot_of_booting(view, machine),
        MachineState::Up if view.is_schedulable(machine) => {
            Some(slot_of_schedulable(view, machine))
        }
        _ => None,
    }
}

fn slot_of_booting(view: &AutoscalerView<'_>, machine: &Machine) -> Option<MachineSlot> {
    let age_s = (view.now() - machine.first_known_at).secs();
    let boot_s = view.boot_s(&machine.machine_type);
    if age_s >= boot_s * MAX_BOOT_TIMES {
        return None;
    }
    let left_s = (boot_s - age_s).max(boot_s * MIN_BOOT_SHARE_LEFT);
    let capacity = view.capacity(&machine.machine_type);
    Some(MachineSlot::coming(
        MachineOffer::of(machine),
        left_s,
        capacity,
    ))
}

fn slot_of_schedulable(view: &AutoscalerView<'_>, machine: &Machine) -> MachineSlot {
    let capacity = view.capacity(&machine.machine_type);
    let warm_pool = &view.autoscaler().warm_pool;
    let attempts = machine.live_attempts();
    MachineSlot::in_use(MachineInUse {
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

/// When a task attempt should free its capacity; None if nothing is known of its job, or if it is of a service,
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
    let left_s = match attempt.running_since {
        Some(since) => view.remaining_run_time_s(job, (view.now() - since).secs()),
        None => view.task_run_time_s(job) + fetch_left_s(view, machine, attempt),
    };
    Some(Release {
        at_s: left_s * RUN_TIME_MARGIN,
        resources: attempt.request,
    })
}

/// Seconds until an attempt that doesn't run yet has its image.
fn fetch_left_s(view: &AutoscalerView<'_>, machine: &Machine, attempt: &TaskAttempt) -> f64 {
    let Some(job) = view.jobs().get(&attempt.task.job) else {
        return 0.0;
    };
    if machine.has_image(&job.spec().image) {
        return 0.0;
    }
    let fetch_s = view.fetch_s(&machine.machine_type, job.spec().image_gb);
    (fetch_s - (view.now() - attempt.placed_at).secs()).max(0.0)
}

fn slot_of_request(view: &AutoscalerView<'_>, request: &ScaleOutRequest) -> MachineSlot {
    let machine_type = &request.offer.machine_type;
    let left_s = view.boot_s(machine_type) - (view.now() - request.requested_at).secs();
    MachineSlot::coming(
        request.offer.clone(),
        left_s.max(MIN_REQUESTED_BOOT_SECS),
        view.capacity(machine_type),
    )
}
