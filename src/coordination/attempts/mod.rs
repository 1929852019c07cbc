//! Task attempts: launching and stopping them, and the ledger of all attempts that may be on machines.
//!
//! - `ledger`: all attempts, and the proofs by which they are removed. Ensures that no task runs twice at once.
//! - `reconciliation`: updates the ledger from worker statuses.
//! - `leases`: periodic checks of lease expiry and of machines that no command reaches.
//! - `stops`, `gang_stops`: decide which attempts to stop.
//! - `commands`, `pushes`: the commands for workers, in heartbeat responses and as pushes.
//! - `revocation`: keeps late launches of closed jobs from starting a task.
//! - `task_ends`: handles the end of an attempt.

pub(crate) mod commands;
mod gang_stops;
mod leases;
pub mod ledger;
mod pushes;
pub mod reconciliation;
mod revocation;
pub(crate) mod stops;
mod task_ends;

use crate::ids::{JobId, MachineId};
use std::collections::BTreeSet;

/// Work queued for the next step (reviews, gang checks, pushes), and the state of pushes and periodic reviews.
#[derive(Debug, Default)]
pub struct WorkQueues {
    /// Machines whose attempts have to be reviewed for stops.
    pub(crate) machines_to_review: BTreeSet<MachineId>,
    /// Gangs that may have lost a member.
    pub(crate) gangs_to_check: BTreeSet<JobId>,
    /// Gangs of which a member has got its image since the last step: members that waited for it may be launched.
    pub(crate) gangs_with_new_images: BTreeSet<JobId>,
    /// Machines that may have commands to push.
    pub(crate) pushes_due: BTreeSet<MachineId>,
    /// Number of pushes without a response yet.
    pub(crate) pushes_in_flight: usize,
    /// Number of periodic reviews so far: selects the machines of the next one.
    pub(crate) review_round: u64,
}
