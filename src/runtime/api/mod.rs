//! The HTTP API for users, workers and health checks, and the answers to other controllers.

pub mod peers;
pub mod routes;
pub mod users;
