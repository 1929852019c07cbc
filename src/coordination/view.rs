//! The cluster view: read-only state of the scheduler that several decisions share.

use super::attempts::ledger::TeamUsage;
use super::jobs::estimates::RunTimeEstimates;
use super::jobs::table::JobTable;
use super::machines::machine::Machine;
use super::machines::table::MachineTable;
use super::{Policy, Scheduler};
use crate::time::Instant;

/// A read-only view of the cluster at one instant.
#[derive(Clone, Copy)]
pub struct ClusterView<'a> {
    /// The time of the decision.
    pub now: Instant,
    /// The settings.
    pub policy: &'a Policy,
    /// All jobs.
    pub jobs: &'a JobTable,
    /// All machines, with the task attempts on them.
    pub machines: &'a MachineTable,
    /// Resource usage by team.
    pub team_usage: &'a TeamUsage,
    /// Run time estimates by job class.
    pub estimates: &'a RunTimeEstimates,
}

impl ClusterView<'_> {
    /// Whether new tasks may be placed on a machine.
    pub(crate) fn is_schedulable(&self, machine: &Machine) -> bool {
        machine.is_schedulable(self.now, self.policy.heartbeat_timeout())
    }
}

impl Scheduler {
    /// Returns a view of the cluster at `now`.
    pub(crate) fn view(&self, now: Instant) -> ClusterView<'_> {
        ClusterView {
            now,
            policy: &self.policy,
            jobs: &self.jobs,
            machines: &self.machines,
            team_usage: &self.team_usage,
            estimates: &self.estimates,
        }
    }
}
