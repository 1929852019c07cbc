//! The HTTP API for users, workers and health checks, and the responses to other controllers.
//!
//! A request is parsed once, where it comes in, into a type ([`request::UserRequest`] for users' requests), and a
//! failure is an [`error::ApiError`], whose status and text are defined in one place.
//!
//! - `routes`: the HTTP server: limits, routing, bodies;
//! - `users`: users' requests, here or forwarded to a peer, by way of `submissions`, `status`, `cancellation`;
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
