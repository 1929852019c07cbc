//! The HTTP API for users, workers and health checks, and the replies to other controllers.
//!
//! Each request is parsed once, on arrival, into a type ([`request::UserRequest`] for users' requests). Each failure
//! is an [`error::ApiError`], which defines its status and text.
//!
//! - `routes`: the HTTP server: routing, and limits on connections and bodies;
//! - `users`: users' requests, served locally by `submissions`, `status` and `cancellation`, or forwarded to a peer;
//! - `workers`, `health`, `peers`: the requests of workers, health checks and other controllers.

mod cancellation;
mod error;
mod health;
pub mod peers;
mod request;
mod response;
pub mod routes;
mod status;
mod submissions;
mod users;
mod workers;
