//! The messages on each wire: one module for each kind of peer.
//!
//! The operators' words appear here only, in serde names; types and fields have the field's terms. Receivers ignore
//! unknown fields; a field that may be null may be omitted. Nothing here sends or decides anything.

pub mod cloud;
pub mod peers;
pub mod state;
pub mod users;
pub mod workers;
