//! Leadership: what a leader holds and until when it may act, what a new leader recovers, and when it hands
//! over. Winning an election and renewing the lease are the runtime's.

pub mod authority;
pub mod recovery;
mod term;
pub mod transfer;

pub(crate) use term::LeaderKeyOwner;
pub use term::{Leadership, LeadershipTerm};
