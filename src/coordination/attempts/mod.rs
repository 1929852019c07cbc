//! Task attempts: the ledger of all that may be on machines, the proofs by which an attempt leaves it, and
//! the commands that workers are sent.

pub mod commands;
pub mod ledger;
mod placements;
pub mod reconciliation;
pub mod stops;
pub mod task_attempt;
mod task_ends;
