//! Moving bytes: the HTTP client with deadlines, the HTTP server with its slots, the peer link,
//! rate budgets, the division of sockets. No policy here.

pub mod budget;
pub mod client;
pub mod peer;
pub mod server;
pub mod sockets;
