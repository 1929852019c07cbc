//! Leadership: until when a leader may act, and what a new one recovers.

pub mod authority;
pub mod recovery;
