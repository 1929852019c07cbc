//! Message types of all protocols, one module for each kind of counterpart.
//!
//! Operators define the names on the wire; serde attributes map them to the code's terms. Receivers ignore unknown
//! fields; a field that may be null may be omitted. These modules perform no I/O and contain no policy.

pub mod cloud;
pub mod peers;
pub mod state;
pub mod users;
pub mod workers;
