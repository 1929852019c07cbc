//! The forecast: on which machine each waiting task would start first, among the machines there are,
//! those that are coming and those that might be rented; and the same for tasks that have not arrived
//! yet, by the arrival rates. From it follows what to rent and which idle machines are of no use.
//!
//! It only reads, and changes nothing outside of its own [`SimulatedCluster`].
//!
//! Guards against renting for tasks that the machines there are will have taken long before a new one
//! is up (on a day of 58 rentals, 17 machines had never run a task), and against renting too late for
//! a burst, each of whose tasks by itself would not wait longer than for a new machine.

mod assignment;
mod expected_arrivals;
mod simulated_cluster;
mod slot;
mod waiting_tasks;

use super::MachineOffer;
use crate::coordination::placement::UnplacedTasks;
use crate::coordination::{ClusterView, Scheduler};
use crate::ids::{MachineId, MachineType, Zone};
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::time::Instant;
use simulated_cluster::SimulatedCluster;
use std::collections::{BTreeMap, BTreeSet};

/// What follows from a forecast.
#[derive(Debug, Default)]
pub(super) struct ForecastResult {
    /// How many machines of each offer to rent.
    pub(super) scale_out: BTreeMap<MachineOffer, u32>,
    /// Idle machines to which no task was assigned.
    pub(super) spare: BTreeSet<MachineId>,
}

/// Why expected arrivals are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExpectedLoad {
    /// Machines are rented for what is to be expected on average.
    Rent,
    /// Machines that are idle are kept for a little more than that.
    Keep,
}

/// What a forecast reads. Nothing can be changed through it.
#[derive(Clone, Copy)]
struct ForecastInputs<'a> {
    scheduler: &'a Scheduler,
    now: Instant,
}

impl Scheduler {
    /// Forecasts where the unplaced tasks, given in queue order, and expected ones would start, if at most
    /// `max_new_machines` were rented.
    pub(super) fn forecast(
        &self,
        now: Instant,
        unplaced: &[UnplacedTasks],
        max_new_machines: usize,
    ) -> ForecastResult {
        let inputs = ForecastInputs {
            scheduler: self,
            now,
        };
        let mut cluster = SimulatedCluster::new(&inputs, max_new_machines);
        inputs.assign_warm_pool(&mut cluster);
        inputs.assign_waiting_tasks(unplaced, &mut cluster);
        inputs.assign_expected_arrivals(ExpectedLoad::Rent, &mut cluster);
        cluster.forbid_new_machines();
        inputs.assign_expected_arrivals(ExpectedLoad::Keep, &mut cluster);
        cluster.into_result()
    }
}

impl<'a> ForecastInputs<'a> {
    fn view(&self) -> ClusterView<'a> {
        self.scheduler.view(self.now)
    }

    /// Seconds that a machine of the type takes to boot.
    fn boot_s(&self, machine_type: &MachineType) -> f64 {
        self.scheduler.machines.boot_s(machine_type)
    }

    /// Seconds that a machine of the type takes to fetch a job's image.
    fn fetch_s(&self, machine_type: &MachineType, spec: &JobSpec) -> f64 {
        self.scheduler.fetch_s(machine_type, spec.image_gb)
    }

    /// What one machine of the type offers.
    fn capacity(&self, machine_type: &MachineType) -> Resources {
        self.scheduler.machines.capacity(machine_type)
    }

    fn cheapest_offer(
        &self,
        spec: &JobSpec,
        tasks: u32,
        machines_by_zone: &BTreeMap<Zone, usize>,
    ) -> Option<MachineOffer> {
        let autoscaler = &self.scheduler.autoscaler;
        autoscaler.cheapest_offer(&self.view(), spec, tasks, machines_by_zone)
    }
}
