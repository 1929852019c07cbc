//! chalklug, a small cluster scheduler.
//!
//! Several controllers run, and the elected leader among them schedules. Layers, with dependencies pointing down:
//!
//! - [`cli`] and [`config`]: the command line and the validated settings;
//! - [`runtime`]: all I/O around the scheduler: the HTTP API, the leader's tasks, the clients;
//! - [`coordination`]: the deterministic scheduler, which turns events into effects;
//! - [`storage`]: the records in the state store, their keys and pages;
//! - [`transport`]: HTTP server and client, connections between controllers, rate limits, sockets; no policy;
//! - [`protocol`]: the messages of each wire protocol, and the only module that uses their field names;
//! - [`ids`], [`time`], [`resources`]: small types shared by all layers.
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
