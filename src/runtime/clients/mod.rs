//! Clients of the state store, the cloud and the other controllers, and the caches fed by them.
//!
//! A failed call is returned as a typed error; the caller chooses between a retry, an error response and an event for
//! the scheduler.

pub mod catalog;
pub mod cloud;
pub mod dependency_lists;
pub mod dependency_pages;
pub mod job_lookup;
pub mod open_job_cache;
pub mod open_job_records;
pub mod peers;
pub mod read_pacer;
pub mod state_store;
pub mod upstream_jobs;
