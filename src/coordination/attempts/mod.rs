//! Task attempts: the ledger of all that may be on machines, and what follows from it.
//!
//! - `ledger`: which attempts there are, and the proofs by which one leaves it. Whether a task can be started
//!   twice is to be judged there.
//! - `reconciliation`: what a worker's status means for the ledger.
//! - `leases`: what the passing of time means for it.
//! - `stops`, `gang_stops`: which attempts are to be stopped.
//! - `commands`, `pushes`: what workers are sent, with heartbeats and without.
//! - `task_ends`: what follows when a task has ended.

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
