//! Assigns tasks that have not arrived yet: what should arrive in the time that it takes to have another
//! machine with an image.

use super::assignment::{assign, TaskBatch, TaskOrigin};
use super::simulated_cluster::SimulatedCluster;
use crate::coordination::autoscaler::arrivals::ArrivalRate;
use crate::coordination::autoscaler::view::AutoscalerView;
use crate::protocol::users::{JobSpec, Shape};

/// Why expected tasks are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpectedLoad {
    /// Machines are rented for what is to be expected on average.
    Rent,
    /// Idle machines are kept for a little more than that.
    Keep,
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

/// Assigns expected tasks of one class: they are taken to be like its recent jobs, in equal parts, and
/// to arrive evenly spread.
fn assign_expected_of_class(
    view: &AutoscalerView<'_>,
    arrivals: &ArrivalRate,
    load: ExpectedLoad,
    cluster: &mut SimulatedCluster,
) {
    let jobs_per_s = arrivals.jobs_per_s(view.now());
    let parts = arrivals.recent_jobs().len() as f64;
    for (part, recent) in arrivals.recent_jobs().enumerate() {
        let Some(lead_time_s) = lead_time_s(view, recent, cluster) else {
            continue;
        };
        let mean_jobs = jobs_per_s * lead_time_s;
        let jobs = match load {
            ExpectedLoad::Rent => mean_jobs,
            // The standard deviation of arrivals by chance.
            ExpectedLoad::Keep => mean_jobs.sqrt().min(mean_jobs),
        };
        let tasks = (jobs * arrivals.tasks_per_job() / parts).round() as u32;
        let spec = single_tasks_like(recent);
        let batch = TaskBatch {
            spec: &spec,
            count: tasks,
            origin: TaskOrigin::Expected {
                arrives_in_s: lead_time_s * (part as f64 + 0.5) / parts,
            },
        };
        assign(view, &batch, cluster);
    }
}

/// Seconds that it takes to have another machine with a job's image; None if none can be rented.
fn lead_time_s(
    view: &AutoscalerView<'_>,
    spec: &JobSpec,
    cluster: &SimulatedCluster,
) -> Option<f64> {
    let offer = view.cheapest_offer(spec, u32::MAX, cluster.machines_by_zone())?;
    let fetch_s = view.fetch_s(&offer.machine_type, spec.image_gb);
    Some(view.boot_s(&offer.machine_type) + fetch_s)
}

/// A job whose tasks are like those of another, but need not run at once or in one zone.
fn single_tasks_like(job: &JobSpec) -> JobSpec {
    let mut spec = job.clone();
    if spec.shape == Shape::Gang {
        spec.shape = Shape::Array;
    }
    spec.zone_affinity = false;
    spec
}
