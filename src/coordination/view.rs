//! What decisions read: the parts of the scheduler that several of them need, borrowed together.

use super::attempts::ledger::TeamUsage;
use super::jobs::estimates::RunTimeEstimates;
use super::jobs::table::JobTable;
use super::machines::machine::Machine;
use super::machines::table::MachineTable;
use super::{Policy, Scheduler};
use crate::time::Instant;

/// The cluster as a decision sees it at one moment. Nothing can be changed through it.
#[derive(Clone, Copy)]
pub struct ClusterView<'a> {
    /// The moment of the decision.
    pub now: Instant,
    /// The settings.
    pub policy: &'a Policy,
    /// All jobs.
    pub jobs: &'a JobTable,
    /// All machines, with the task attempts on them.
    pub machines: &'a MachineTable,
    /// What each team uses.
    pub team_usage: &'a TeamUsage,
    /// What is known of run times.
    pub estimates: &'a RunTimeEstimates,
}

impl ClusterView<'_> {
    /// Whether a machine may be given new work.
    pub(crate) fn is_schedulable(&self, machine: &Machine) -> bool {
        machine.is_schedulable(self.now, self.policy.heartbeat_timeout())
    }
}

impl Scheduler {
    /// The cluster at that moment, for a decision to read.
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
