//! Assigns tasks that have not arrived yet: what should arrive in the time that it takes to have another
//! machine with an image.

use super::assignment::{TaskBatch, TaskOrigin};
use super::simulated_cluster::SimulatedCluster;
use super::{ExpectedLoad, ForecastInputs};
use crate::coordination::autoscaler::arrivals::ArrivalRate;
use crate::protocol::users::{JobSpec, Shape};

impl ForecastInputs<'_> {
    /// Assigns expected tasks of every job class.
    pub(super) fn assign_expected_arrivals(
        &self,
        load: ExpectedLoad,
        cluster: &mut SimulatedCluster,
    ) {
        for (_, arrivals) in self.scheduler.autoscaler.arrivals.iter() {
            self.assign_expected_of_class(arrivals, load, cluster);
        }
    }

    /// Assigns expected tasks of one class: they are taken to be like its recent jobs, in equal parts, and
    /// to arrive evenly spread.
    fn assign_expected_of_class(
        &self,
        arrivals: &ArrivalRate,
        load: ExpectedLoad,
        cluster: &mut SimulatedCluster,
    ) {
        let jobs_per_s = arrivals.jobs_per_s(self.now);
        let parts = arrivals.recent_jobs().len() as f64;
        for (part, recent) in arrivals.recent_jobs().enumerate() {
            let Some(lead_time_s) = self.lead_time_s(recent, cluster) else {
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
                    in_s: lead_time_s * (part as f64 + 0.5) / parts,
                },
            };
            self.assign(&batch, cluster);
        }
    }

    /// Seconds that it takes to have another machine with a job's image; None if none can be rented.
    fn lead_time_s(&self, spec: &JobSpec, cluster: &SimulatedCluster) -> Option<f64> {
        let offer = self.cheapest_offer(spec, u32::MAX, cluster.machines_by_zone())?;
        let fetch_s = self.fetch_s(&offer.machine_type, spec);
        Some(self.boot_s(&offer.machine_type) + fetch_s)
    }
}

/// A job whose tasks are like those of another, but need not run at once or in one zone.
fn single_tasks_like(job: &JobSpec) -> JobSpec {
    let mut spec = job.clone();
    spec.shape = Shape::Array;
    spec.together = false;
    spec
}
