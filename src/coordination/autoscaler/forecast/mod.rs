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

use super::view::AutoscalerView;
use super::MachineOffer;
use crate::coordination::placement::UnplacedTasks;
use crate::ids::MachineId;
use expected_arrivals::ExpectedLoad;
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

/// Forecasts where the unplaced tasks, given in queue order, and expected ones would start, if at most
/// `max_new_machines` were rented.
pub(super) fn forecast(
    view: &AutoscalerView<'_>,
    unplaced: &[UnplacedTasks],
    max_new_machines: usize,
) -> ForecastResult {
    let mut cluster = SimulatedCluster::new(view, max_new_machines);
    waiting_tasks::assign_warm_pool(view, &mut cluster);
    waiting_tasks::assign_unplaced_tasks(view, unplaced, &mut cluster);
    expected_arrivals::assign_expected_tasks(view, ExpectedLoad::Rent, &mut cluster);
    cluster.forbid_new_machines();
    expected_arrivals::assign_expected_tasks(view, ExpectedLoad::Keep, &mut cluster);
    cluster.into_result()
}
