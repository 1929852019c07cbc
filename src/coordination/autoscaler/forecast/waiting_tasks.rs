//! Assigns the current demand: capacity that the warm pool lacks, then unplaced tasks in queue order.

use super::assignment::{assign, TaskBatch, TaskOrigin};
use super::simulated_cluster::SimulatedCluster;
use crate::coordination::autoscaler::view::AutoscalerView;
use crate::coordination::placement::UnplacedTasks;
use crate::ids::Zone;
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Assigns tasks that stand for the capacity that the warm pool lacks.
pub(super) fn assign_warm_pool(view: &AutoscalerView<'_>, cluster: &mut SimulatedCluster) {
    for missing in view.autoscaler().warm_pool.missing() {
        let batch = TaskBatch {
            spec: &missing.spec,
            count: missing.tasks,
            origin: TaskOrigin::WarmPool,
        };
        assign(view, &batch, cluster);
    }
}

/// Assigns the unplaced tasks, as far as the limits of their teams allow.
pub(super) fn assign_unplaced_tasks(
    view: &AutoscalerView<'_>,
    unplaced: &[UnplacedTasks],
    cluster: &mut SimulatedCluster,
) {
    let mut team_usage = view.team_usage().clone();
    for tasks in unplaced {
        let Some(job) = view.jobs().get(&tasks.job) else {
            continue;
        };
        let headroom = view.headroom(job.spec(), job.team(), &team_usage);
        let count = tasks.count.min(headroom);
        if count == 0 || cluster.is_full() {
            continue;
        }
        let mut spec = job.spec().clone();
        if spec.zone_affinity && job.needs_gang_scheduling() && spec.zone.is_none() {
            spec.zone = zone_for_gang(view, cluster, &spec);
        }
        let batch = TaskBatch {
            spec: &spec,
            count,
            origin: TaskOrigin::Waiting,
        };
        let assigned = assign(view, &batch, cluster);
        team_usage.charge(
            job.team(),
            &Resources::of(job.spec()).times(f64::from(assigned)),
        );
    }
}

/// Returns the zone for a gang that has to run in one zone. Zones where the whole gang fits or another machine can be
/// rented come first, then those with free capacity for more members, then those with fewer machines.
fn zone_for_gang(
    view: &AutoscalerView<'_>,
    cluster: &SimulatedCluster,
    spec: &JobSpec,
) -> Option<Zone> {
    let types = view.machines().types.values();
    let zones: BTreeSet<&Zone> = types.flat_map(|info| &info.zones).collect();
    let rank = |zone: &Zone| {
        let startable = startable_tasks(zone, cluster, spec);
        let can_start_all = startable >= spec.tasks || can_rent_in(view, zone, cluster, spec);
        let machines = cluster.machines_by_zone().get(zone).copied().unwrap_or(0);
        (can_start_all, startable, Reverse(machines))
    };
    zones.into_iter().max_by_key(|zone| rank(zone)).cloned()
}

/// Returns how many tasks of a job could start in a zone on the free capacity there.
fn startable_tasks(zone: &Zone, cluster: &SimulatedCluster, spec: &JobSpec) -> u32 {
    let request = Resources::of(spec);
    cluster
        .machines()
        .iter()
        .filter(|machine| machine.offer.zone == *zone && machine.is_allowed_by(spec))
        .map(|machine| machine.task_capacity(&request, spec.tasks))
        .fold(0, u32::saturating_add)
        .min(spec.tasks)
}

fn can_rent_in(
    view: &AutoscalerView<'_>,
    zone: &Zone,
    cluster: &SimulatedCluster,
    spec: &JobSpec,
) -> bool {
    let mut in_zone = spec.clone();
    in_zone.zone = Some(zone.clone());
    let offer = view.cheapest_offer(&in_zone, 1, cluster.machines_by_zone());
    offer.is_some()
}
