//! Assigns tasks that have not arrived yet: those expected within the lead time of a new machine, that is, the time
//! to boot it and fetch an image.

use super::assignment::{assign, TaskBatch, TaskOrigin};
use super::simulated_cluster::SimulatedCluster;
use crate::coordination::autoscaler::arrivals::ArrivalRate;
use crate::coordination::autoscaler::view::AutoscalerView;
use crate::protocol::users::{JobSpec, Shape};

/// The part of the expected load that is assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpectedLoad {
    /// The mean number of jobs, for which machines are rented.
    Mean,
    /// One standard deviation more, for which idle machines are kept but none rented.
    Deviation,
}

/// Assigns expected tasks of every job class.
pub(super) fn assign_expected_tasks(
    view: &AutoscalerView<'_>,
    load: ExpectedLoad,
    cluster: &mut SimulatedCluster,
) {
    for (_, arrivals) in view.autoscaler().arrivals.iter() {
        assign_expected_of_class(view, arrivals, load, cluster);
    }
}

/// Assigns the expected tasks of one class. They are assumed to resemble its recent jobs in equal shares, and to
/// arrive at evenly spaced times.
fn assign_expected_of_class(
    view: &AutoscalerView<'_>,
    arrivals: &ArrivalRate,
    load: ExpectedLoad,
    cluster: &mut SimulatedCluster,
) {
    let jobs_per_s = arrivals.jobs_per_s(view.now());
    if jobs_per_s <= 0.0 {
        return;
    }
    let recent_count = arrivals.recent_jobs().len() as f64;
    for (index, recent) in arrivals.recent_jobs().enumerate() {
        let Some(lead_time_s) = lead_time_s(view, recent, cluster) else {
            continue;
        };
        let mean_jobs = jobs_per_s * lead_time_s;
        let jobs = match load {
            ExpectedLoad::Mean => mean_jobs,
            // The standard deviation of a Poisson process, at most its mean.
            ExpectedLoad::Deviation => mean_jobs.sqrt().min(mean_jobs),
        };
        let tasks = (jobs * arrivals.tasks_per_job() / recent_count).round() as u32;
        let spec = as_independent_tasks(recent);
        let batch = TaskBatch {
            spec: &spec,
            count: tasks,
            origin: TaskOrigin::Expected {
                arrives_in_s: lead_time_s * (index as f64 + 0.5) / recent_count,
            },
        };
        assign(view, &batch, cluster);
    }
}

/// Returns the time, in seconds, to boot another machine and fetch a job's image; None if no machine can be rented, or if
/// the size of the image is a mistake: it says nothing about jobs to come.
fn lead_time_s(
    view: &AutoscalerView<'_>,
    spec: &JobSpec,
    cluster: &SimulatedCluster,
) -> Option<f64> {
    let offer = view.cheapest_offer(spec, u32::MAX, cluster.machines_by_zone())?;
    if !view.can_cache(&offer.machine_type, spec.image_gb) {
        return None;
    }
    let fetch_s = view.fetch_s(&offer.machine_type, spec.image_gb);
    Some(view.boot_s(&offer.machine_type) + fetch_s)
}

/// Returns a job with the same tasks that need not run at the same time or in one zone.
fn as_independent_tasks(job: &JobSpec) -> JobSpec {
    let mut spec = job.clone();
    if spec.shape == Shape::Gang {
        spec.shape = Shape::Array;
    }
    spec.zone_affinity = false;
    spec
}
