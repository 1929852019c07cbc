//! Jobs: their table, the graph of what depends on what, their life from submission to the end, and what is
//! known of how long they take.

pub mod aging;
pub mod estimates;
pub mod graph;
pub mod index;
pub mod job;
pub mod lifecycle;
pub mod pending;
pub mod retry;
pub mod run_times;
pub mod table;
mod tasks;
pub mod tasks_by_zone;
pub mod terminal_record_reads;
