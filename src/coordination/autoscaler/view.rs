//! Read-only view of the cluster for the autoscaler's decisions.

use super::{Autoscaler, MachineOffer};
use crate::coordination::attempts::ledger::TeamUsage;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::table::JobTable;
use crate::coordination::machines::machine::Machine;
use crate::coordination::machines::table::MachineTable;
use crate::coordination::{ClusterView, Policy, Scheduler};
use crate::ids::{MachineType, TeamIndex, Zone};
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::time::Instant;
use std::collections::BTreeMap;

/// A read-only view of the cluster and of the autoscaler's state at one moment.
#[derive(Clone, Copy)]
pub(super) struct AutoscalerView<'a> {
    cluster: ClusterView<'a>,
    autoscaler: &'a Autoscaler,
}

impl Scheduler {
    /// Returns the autoscaler's view of the cluster at `now`.
    pub(super) fn autoscaler_view(&self, now: Instant) -> AutoscalerView<'_> {
        AutoscalerView {
            cluster: self.view(now),
            autoscaler: &self.autoscaler,
        }
    }
}

impl<'a> AutoscalerView<'a> {
    /// Returns the time of the decision.
    pub(super) fn now(&self) -> Instant {
        self.cluster.now
    }

    /// Returns the view of the cluster without the autoscaler's state.
    pub(super) fn cluster(&self) -> ClusterView<'a> {
        self.cluster
    }

    pub(super) fn autoscaler(&self) -> &'a Autoscaler {
        self.autoscaler
    }

    /// Returns the settings.
    pub(super) fn policy(&self) -> &'a Policy {
        self.cluster.policy
    }

    pub(super) fn jobs(&self) -> &'a JobTable {
        self.cluster.jobs
    }

    /// Returns all machines, with the task attempts on them.
    pub(super) fn machines(&self) -> &'a MachineTable {
        self.cluster.machines
    }

    /// Returns the resource usage of the teams.
    pub(super) fn team_usage(&self) -> &'a TeamUsage {
        self.cluster.team_usage
    }

    /// Returns how many more tasks of a job its team's limit allows, given the usage of the teams.
    pub(super) fn headroom(
        &self,
        spec: &JobSpec,
        team: Option<TeamIndex>,
        team_usage: &TeamUsage,
    ) -> u32 {
        team_usage.headroom(self.cluster.policy, team, spec)
    }

    /// Whether new tasks may be placed on a machine.
    pub(super) fn is_schedulable(&self, machine: &Machine) -> bool {
        self.cluster.is_schedulable(machine)
    }

    /// Whether a task takes most of a machine.
    pub(super) fn is_large_task(&self, spec: &JobSpec) -> bool {
        self.cluster.machines.is_large_task(spec)
    }

    /// Returns the estimated run time, in seconds, of a task of a job with this specification.
    pub(super) fn run_time_s(&self, spec: &JobSpec) -> f64 {
        self.cluster.estimates.run_time_s(spec)
    }

    /// Returns the estimated run time, in seconds, of a task of the job, which considers its completed tasks.
    pub(super) fn task_run_time_s(&self, job: &Job) -> f64 {
        self.cluster.estimates.task_run_time_s(job)
    }

    /// Returns the estimated remaining run time, in seconds, of a task of the job that has run for `ran_s` seconds.
    pub(super) fn remaining_run_time_s(&self, job: &Job, ran_s: f64) -> f64 {
        self.cluster.estimates.remaining_run_time_s(job, ran_s)
    }

    /// Returns the boot time of a machine type, in seconds.
    pub(super) fn boot_s(&self, machine_type: &MachineType) -> f64 {
        self.machines().boot_s(machine_type)
    }

    /// Returns the time, in seconds, in which a machine of the type fetches an image of `image_gb` gigabytes.
    pub(super) fn fetch_s(&self, machine_type: &MachineType, image_gb: f64) -> f64 {
        self.cluster.machines.image_fetch_s(machine_type, image_gb)
    }

    /// Whether a machine of the type can have an image of `image_gb` gigabytes in its cache.
    pub(super) fn can_cache(&self, machine_type: &MachineType, image_gb: f64) -> bool {
        self.machines().can_cache(machine_type, image_gb)
    }

    /// Returns the capacity of a machine of the type.
    pub(super) fn capacity(&self, machine_type: &MachineType) -> Resources {
        self.machines().capacity(machine_type)
    }

    /// Returns the cheapest offer for `tasks` tasks of a job; see [`Autoscaler::cheapest_offer`].
    pub(super) fn cheapest_offer(
        &self,
        spec: &JobSpec,
        tasks: u32,
        machines_by_zone: &BTreeMap<Zone, usize>,
    ) -> Option<MachineOffer> {
        let autoscaler = self.autoscaler();
        autoscaler.cheapest_offer(&self.cluster(), spec, tasks, machines_by_zone)
    }
}
