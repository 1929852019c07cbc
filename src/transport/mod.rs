//! Network transport: HTTP with timeouts and a bounded number of connections, the protocol between controllers,
//! rate limiting and socket allocation. The modules contain no scheduling policy.

pub mod client;
pub mod connection_table;
pub mod peer;
pub mod server;
pub mod sockets;
pub mod token_bucket;
