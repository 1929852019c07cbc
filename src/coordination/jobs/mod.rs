//! Jobs: the job table, the dependency graph, the lifecycle of jobs, their retry and aging, and estimates of their
//! run times.

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
pub mod task_set;
mod tasks;
pub mod tasks_by_zone;
pub mod terminal_record_reads;
