//! Moving bytes: HTTP with deadlines and a bounded number of connections, the link between controllers, rate
//! limits, the allocation of sockets. No policy here.

pub mod client;
pub mod connection_table;
pub mod peer;
pub mod server;
pub mod sockets;
pub mod token_bucket;
