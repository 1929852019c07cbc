//! The read-only view of the cluster for placement and preemption.

use crate::coordination::attempts::ledger::{TeamUsage, MAX_ATTEMPTS_PER_MACHINE};
use crate::coordination::autoscaler::Autoscaler;
use crate::coordination::jobs::aging::Aging;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::table::JobTable;
use crate::coordination::machines::machine::Machine;
use crate::coordination::machines::table::MachineTable;
use crate::coordination::{ClusterView, Policy, Scheduler};
use crate::ids::{JobId, MachineId};
use crate::protocol::users::{JobSpec, Priority};
use crate::resources::Resources;
use crate::time::Instant;

/// A read-only view of the cluster at one moment, for placement and preemption.
#[derive(Clone, Copy)]
pub(crate) struct PlacementView<'a> {
    cluster: ClusterView<'a>,
    aging: &'a Aging,
    autoscaler: &'a Autoscaler,
}

impl Scheduler {
    /// Returns the view that placement and preemption read.
    pub(super) fn placement_view(&self, now: Instant) -> PlacementView<'_> {
        PlacementView {
            cluster: self.view(now),
            aging: &self.aging,
            autoscaler: &self.autoscaler,
        }
    }
}

impl<'a> PlacementView<'a> {
    /// The time of the decision.
    pub(super) fn now(&self) -> Instant {
        self.cluster.now
    }

    /// The settings.
    pub(super) fn policy(&self) -> &'a Policy {
        self.cluster.policy
    }

    /// All jobs.
    pub(super) fn jobs(&self) -> &'a JobTable {
        self.cluster.jobs
    }

    /// All machines, with the task attempts on them.
    pub(super) fn machines(&self) -> &'a MachineTable {
        self.cluster.machines
    }

    /// The most task attempts that all machines may have.
    pub(super) fn max_attempts(&self) -> usize {
        self.machines().len() * MAX_ATTEMPTS_PER_MACHINE
    }

    /// Whether the machine may be given new work.
    pub(super) fn is_schedulable(&self, machine: &Machine) -> bool {
        self.cluster.is_schedulable(machine)
    }

    /// The resources of the machine when it is empty.
    pub(super) fn capacity(&self, machine: &Machine) -> Resources {
        self.machines().capacity(&machine.machine_type)
    }

    /// The job class that the machine is kept ready for, if it belongs to the warm pool.
    pub(super) fn warm_pool_class(&self, machine_id: &MachineId) -> Option<&'a String> {
        self.autoscaler.warm_pool().class_of(machine_id)
    }

    /// Whether a machine for the job is booting or may still be rented.
    pub(super) fn may_scale_out_for(&self, spec: &JobSpec) -> bool {
        self.autoscaler.may_scale_out_for(&self.cluster, spec)
    }

    /// Whether the job goes ahead of all others to prevent starvation.
    pub(super) fn is_aged(&self, job: &Job) -> bool {
        self.aging.is_aged(self.now(), job)
    }

    /// The effective priority of a job: the highest of its own and those of all its downstream jobs.
    pub(super) fn effective_priority(&self, job_id: &JobId, spec: &JobSpec) -> Priority {
        let derived = self.jobs().graph().priority(job_id);
        derived.map_or(spec.priority, |highest| highest.max(spec.priority))
    }

    /// The lowest effective priority among the released jobs.
    pub(super) fn lowest_priority(&self) -> Option<Priority> {
        let may_run = self.jobs().iter().filter(|(_, job)| job.is_released());
        may_run
            .map(|(id, job)| self.effective_priority(id, job.spec()))
            .min()
    }

    /// Whether a task of the job takes most of a machine.
    pub(super) fn is_large_task(&self, spec: &JobSpec) -> bool {
        self.machines().is_large_task(spec)
    }

    /// The resources that the job's team uses, with every task attempt that may be on a machine.
    pub(super) fn usage_of_team(&self, job: &Job) -> Resources {
        self.cluster.team_usage.of(job.team())
    }

    /// How many more tasks of the job its team's limit allows at the given usage.
    pub(super) fn quota_headroom(&self, job: &Job, team_usage: &TeamUsage) -> u32 {
        team_usage.headroom(self.policy(), job.team(), job.spec())
    }

    /// The estimated run time of a task of the job, in seconds.
    pub(super) fn estimated_run_time_s(&self, job: &Job) -> f64 {
        self.cluster.estimates.task_run_time_s(job)
    }

    /// The estimated run time of the longest task of the job, in seconds.
    pub(super) fn longest_task_run_time_s(&self, job: &Job) -> f64 {
        self.cluster.estimates.longest_task_run_time_s(job)
    }

    /// The work of the job that is still to be placed, in machine-seconds.
    pub(super) fn pending_work_s(&self, job: &Job) -> f64 {
        self.cluster.pending_work_s(job)
    }

    /// Seconds until the job's image is on the machine; 0 if it is cached there.
    pub(super) fn image_wait_s(&self, machine: &Machine, spec: &JobSpec) -> f64 {
        self.machines().image_wait_s(self.now(), machine, spec)
    }

    /// Seconds that fetching the job's image takes on the fastest machine type that the job allows.
    pub(super) fn shortest_image_fetch_s(&self, spec: &JobSpec) -> f64 {
        self.machines().shortest_image_fetch_s(spec)
    }
}
