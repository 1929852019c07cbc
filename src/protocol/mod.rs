//! The types on each wire. Wire names live at this edge only (serde renames); inside, the domain
//! language is used. Receivers ignore unknown fields; a field that may be null may be omitted.

pub mod cloud;
pub mod peers;
pub mod state;
pub mod users;
pub mod workers;
