//! The forecast determines on which machine each waiting task would start first: one that is up, one that is
//! starting, or one that could be rented. It does the same for tasks that are expected to arrive, by the arrival
//! rates. The result is which machines to rent and which idle machines are spare.
//!
//! It changes nothing but its own [`SimulatedCluster`]. Its cost is proportional to the number of machines for each job,
//! whatever the numbers and sizes in the job's specification: see [`SimulatedCluster::max_starts`].
//!
//! Guards against renting for tasks that existing machines will start long before a new one is up (17 of 58 rented
//! machines never ran a task), and against renting too late for a burst in which no single task would wait longer
//! than a new machine takes to start.

mod assignment;
mod expected_arrivals;
mod simulated_cluster;
mod simulated_machine;
mod waiting_tasks;

use super::view::AutoscalerView;
use super::MachineOffer;
use crate::coordination::placement::UnplacedTasks;
use crate::ids::MachineId;
use expected_arrivals::ExpectedLoad;
use simulated_cluster::SimulatedCluster;
use std::collections::{BTreeMap, BTreeSet};

/// The result of a forecast.
#[derive(Debug, Default)]
pub(super) struct ForecastResult {
    /// The number of machines to rent, by offer.
    pub(super) scale_out: BTreeMap<MachineOffer, u32>,
    /// Idle machines to which no task was assigned.
    pub(super) spare: BTreeSet<MachineId>,
    /// The number of starts that were simulated, which the cost of the forecast depends on.
    pub(super) starts: usize,
}

/// Forecasts where the unplaced tasks, given in queue order, and expected tasks would start if at most
/// `max_new_machines` machines were rented.
pub(super) fn forecast(
    view: &AutoscalerView<'_>,
    unplaced: &[UnplacedTasks],
    max_new_machines: usize,
) -> ForecastResult {
    let mut cluster = SimulatedCluster::new(view, max_new_machines);
    waiting_tasks::assign_warm_pool(view, &mut cluster);
    waiting_tasks::assign_unplaced_tasks(view, unplaced, &mut cluster);
    expected_arrivals::assign_expected_tasks(view, ExpectedLoad::Mean, &mut cluster);
    cluster.forbid_new_machines();
    expected_arrivals::assign_expected_tasks(view, ExpectedLoad::Deviation, &mut cluster);
    cluster.into_result()
}
