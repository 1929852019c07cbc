//! Clients of the state store and the cloud, and what a controller reads through them.

pub(in crate::runtime) mod cloud;
pub mod dependency_pages;
pub mod machine_types;
pub mod open_jobs;
pub mod state_store;
pub mod upstream_jobs;
