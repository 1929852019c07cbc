//! What the autoscaler's decisions read: the cluster, and what other parts know of jobs and machines.

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

/// The cluster as the autoscaler sees it at one moment. Nothing can be changed through it.
#[derive(Clone, Copy)]
pub(super) struct AutoscalerView<'a> {
    cluster: ClusterView<'a>,
    autoscaler: &'a Autoscaler,
}

impl Scheduler {
    /// The cluster at that moment, for the autoscaler to read.
    pub(super) fn autoscaler_view(&self, now: Instant) -> AutoscalerView<'_> {
        AutoscalerView {
            cluster: self.view(now),
            autoscaler: &self.autoscaler,
        }
    }
}

impl<'a> AutoscalerView<'a> {
    /// The moment of the decision.
    pub(super) fn now(&self) -> Instant {
        self.cluster.now
    }

    /// The cluster without the autoscaler's own state.
    pub(super) fn cluster(&self) -> ClusterView<'a> {
        self.cluster
    }

    /// The autoscaler's own state.
    pub(super) fn autoscaler(&self) -> &'a Autoscaler {
        self.autoscaler
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

    /// What each team uses.
    pub(super) fn team_usage(&self) -> &'a TeamUsage {
        self.cluster.team_usage
    }

    /// How many more tasks of a job its team's limit lets start, when the teams use so much.
    pub(super) fn headroom(
        &self,
        spec: &JobSpec,
        team: Option<TeamIndex>,
        team_usage: &TeamUsage,
    ) -> u32 {
        team_usage.headroom(self.cluster.policy, team, spec)
    }

    /// Whether a machine may be given new work at all.
    pub(super) fn is_schedulable(&self, machine: &Machine) -> bool {
        self.cluster.is_schedulable(machine)
    }

    /// Whether a task takes most of a machine.
    pub(super) fn is_large_task(&self, spec: &JobSpec) -> bool {
        self.cluster.machines.is_large_task(spec)
    }

    /// Seconds that a task of a job like this should run.
    pub(super) fn run_time_s(&self, spec: &JobSpec) -> f64 {
        self.cluster.estimates.run_time_s(spec)
    }

    /// Seconds that a task of the job should run, by those that are completed too.
    pub(super) fn task_run_time_s(&self, job: &Job) -> f64 {
        self.cluster.estimates.task_run_time_s(job)
    }

    /// Seconds that a task of the job which has run for so long should still run.
    pub(super) fn remaining_run_time_s(&self, job: &Job, ran_s: f64) -> f64 {
        self.cluster.estimates.remaining_run_time_s(job, ran_s)
    }

    /// Seconds that a machine of the type takes to boot.
    pub(super) fn boot_s(&self, machine_type: &MachineType) -> f64 {
        self.machines().boot_s(machine_type)
    }

    /// Seconds that a machine of the type takes to fetch an image of so many gigabytes.
    pub(super) fn fetch_s(&self, machine_type: &MachineType, image_gb: f64) -> f64 {
        self.cluster.machines.image_fetch_s(machine_type, image_gb)
    }

    /// What one machine of the type offers.
    pub(super) fn capacity(&self, machine_type: &MachineType) -> Resources {
        self.machines().capacity(machine_type)
    }

    /// The cheapest offer for so many tasks of a job; see [`Autoscaler::cheapest_offer`].
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
