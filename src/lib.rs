//! chalklug, a small cluster scheduler.
//!
//! Layers, dependencies pointing down:
//! - [`cli`] and [`config`]: the command line and checked settings;
//! - [`runtime`]: the long-lived tasks that do all I/O around the decision core;
//! - [`transport`]: HTTP server and client, peer link, rate budgets (no policy);
//! - [`protocol`]: the types on each wire, domain language inside;
//! - [`coordination`]: the deterministic decision core;
//! - [`storage`]: durable records and in-memory ledgers.
#![forbid(unsafe_code)]

pub mod cli;
pub mod config;
pub mod coordination;
pub mod ids;
pub mod protocol;
pub mod resources;
pub mod runtime;
pub mod storage;
pub mod time;
pub mod transport;
