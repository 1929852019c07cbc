//! Clients of the state store, the cloud and the other controllers, and what a controller knows through them.
//!
//! Nothing here decides anything: a failed call is returned as a typed error, and the caller chooses between a
//! retry, an error response and an event for the scheduler.

pub mod catalog;
pub mod cloud;
pub mod dependency_pages;
pub mod job_lookup;
pub mod open_job_cache;
pub mod peers;
pub mod state_store;
pub mod upstream_jobs;
