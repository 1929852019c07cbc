//! chalklug, a small cluster scheduler.
//!
//! Layers, dependencies pointing down:
//! - [`cli`] and [`settings`]: the command line and checked settings;
//! - [`duties`]: the long-lived tasks that do all I/O around the decision core;
//! - [`transport`]: HTTP front and client, peer link, rate budgets (no policy);
//! - [`protocol`]: the types on each wire, domain language inside;
//! - [`coordination`]: the deterministic decision core;
//! - [`bookkeeping`]: durable records and in-memory ledgers.
#![forbid(unsafe_code)]

pub mod bookkeeping;
pub mod cli;
pub mod coordination;
pub mod duties;
pub mod ids;
pub mod protocol;
pub mod settings;
pub mod transport;
