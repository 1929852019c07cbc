//! Moving bytes: the HTTP client with deadlines, the peer link, rate budgets. No policy here.

pub mod budget;
pub mod client;
pub mod peer;
