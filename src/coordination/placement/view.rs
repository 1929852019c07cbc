//! What placement and preemption read: the cluster, and what the other parts know of jobs and machines.

use crate::coordination::attempts::ledger::TeamUsage;
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

/// The cluster as placement sees it at one moment. Nothing can be changed through it.
#[derive(Clone, Copy)]
pub(crate) struct PlacementView<'a> {
    cluster: ClusterView<'a>,
    aging: &'a Aging,
    autoscaler: &'a Autoscaler,
}

impl Scheduler {
    /// The cluster at that moment, for placement and preemption to read.
    pub(super) fn placement_view(&self, now: Instant) -> PlacementView<'_> {
        PlacementView {
            cluster: self.view(now),
            aging: &self.aging,
            autoscaler: &self.autoscaler,
        }
    }
}

impl<'a> PlacementView<'a> {
    /// The moment of the decision.
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

    /// Whether a machine may be given new work at all.
    pub(super) fn is_usable(&self, machine: &Machine) -> bool {
        self.cluster.is_schedulable(machine)
    }

    /// What a machine offers when it is empty.
    pub(super) fn capacity(&self, machine: &Machine) -> Resources {
        self.machines().capacity(&machine.machine_type)
    }

    /// The class for which a machine is held ready, if it belongs to the warm pool.
    pub(super) fn warm_pool_class(&self, machine_id: &MachineId) -> Option<&'a String> {
        self.autoscaler.warm_pool().class_of(machine_id)
    }

    /// Whether a machine for the job is booting, or may yet be had by scaling out.
    pub(super) fn may_scale_out_for(&self, spec: &JobSpec) -> bool {
        self.autoscaler.may_scale_out_for(&self.cluster, spec)
    }

    /// Whether a job goes ahead of all others, lest it or its kind starve.
    pub(super) fn is_aged(&self, job: &Job) -> bool {
        self.aging.is_aged(self.now(), job)
    }

    /// The priority that a job is treated with: the highest of its own and of all downstream jobs.
    pub(super) fn effective_priority(&self, job_id: &JobId, spec: &JobSpec) -> Priority {
        let derived = self.jobs().graph().priority(job_id);
        derived.map_or(spec.priority, |highest| highest.max(spec.priority))
    }

    /// The lowest effective priority among the jobs that may run.
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

    /// What the job's team uses: everything that may be on a machine.
    pub(super) fn usage_of_team(&self, job: &Job) -> Resources {
        self.cluster.team_usage.of(job.team())
    }

    /// How many more tasks of the job its team's limit lets start, when the teams use so much.
    pub(super) fn quota_headroom(&self, job: &Job, team_usage: &TeamUsage) -> u32 {
        team_usage.headroom(self.policy(), job.team(), job.spec())
    }

    /// Seconds that a task of the job should run.
    pub(super) fn estimated_run_time_s(&self, job: &Job) -> f64 {
        self.cluster.estimates.task_run_time_s(job)
    }

    /// Seconds that the longest task of the job should run.
    pub(super) fn longest_task_run_time_s(&self, job: &Job) -> f64 {
        self.cluster.estimates.longest_task_run_time_s(job)
    }

    /// What is left to be placed of a job, in machine-seconds.
    pub(super) fn pending_work_s(&self, job: &Job) -> f64 {
        self.cluster.pending_work_s(job)
    }

    /// Seconds until the job's image would be on the machine: 0 if it is cached there.
    pub(super) fn image_wait_s(&self, machine: &Machine, spec: &JobSpec) -> f64 {
        self.machines().image_wait_s(self.now(), machine, spec)
    }

    /// Seconds that a pull of the job's image takes on the machine type that is quickest at it.
    pub(super) fn shortest_image_fetch_s(&self, spec: &JobSpec) -> f64 {
        self.machines().shortest_image_fetch_s(spec)
    }
}
