//! chalklug, a small cluster scheduler.
//!
//! Several controllers run it; one of them, the elected leader, schedules. Layers, dependencies pointing down:
//!
//! - [`cli`] and [`config`]: the command line and the checked settings;
//! - [`runtime`]: all I/O around the scheduler: the HTTP API, the leader's tasks, the clients;
//! - [`coordination`]: the deterministic scheduler: events in, effects out;
//! - [`storage`]: the records in the state store, their keys and pages;
//! - [`transport`]: HTTP server and client, the link between controllers, rate limits, sockets; no policy;
//! - [`protocol`]: the messages on each wire, and the only place of the wire's words;
//! - [`ids`], [`time`], [`resources`]: small types that all of them use.
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
