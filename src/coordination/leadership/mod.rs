//! Leadership: a leader's term and authority, recovery after an election, and leadership transfer. The runtime
//! runs elections and renews the lease.

pub mod authority;
pub mod recovery;
mod term;
pub mod transfer;

pub(crate) use term::LeaderKeyOwner;
pub use term::{Leadership, LeadershipTerm};
