//! Task attempts: the ledger of all that may be on machines, the proofs by which an attempt leaves it, and
//! the commands that workers are sent.

mod commands;
mod gang_stops;
mod leases;
pub mod ledger;
mod pushes;
pub mod reconciliation;
mod stops;
mod task_ends;

use crate::ids::{JobId, MachineId};
use std::collections::BTreeSet;

/// Machines and gangs that the next step has to look at, and the pushes that are due or under way.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Machines whose attempts are to be reviewed.
    pub(crate) machines_to_review: BTreeSet<MachineId>,
    /// Gangs that may be broken.
    pub(crate) gangs_to_check: BTreeSet<JobId>,
    /// Machines that may have commands to be pushed.
    pub(crate) pushes_due: BTreeSet<MachineId>,
    /// Pushes whose answers are awaited.
    pub(crate) pushes_in_flight: usize,
    /// How far the spread-out review of all machines has come.
    pub(crate) review_round: u64,
}
