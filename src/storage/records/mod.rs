//! Durable records: keys and values in the state store.
//!
//! | key | value | written by | read by |
//! | --- | --- | --- | --- |
//! | `lead` | [`LeaderRecord`], attached to the leader's lease | the leader | candidates, the leader |
//! | `baton` | the last [`FencingToken`](crate::ids::FencingToken) issued | a new leader, the leader | candidates |
//! | `catalog` | the machine types last listed by the cloud | the leader | every controller |
//! | `o/JOB` | [`OpenJobRecord`]; never rewritten, so an unchanged key revision proves that the job is still open | the controller that accepts the job | every controller |
//! | `f/JOB` | [`TerminalRecord`], kept forever | the controller that cancels the job; the leader when the job is done or an upstream job was cancelled | every controller |
//! | `e/JOB` | marker that dependency pages of the job are being written or have been written | the controller that accepts the job | a controller that accepts the job again |
//! | `e/JOB/N` | upstream jobs that don't fit in the open record; deleted once the job is closed | the controller that accepts the job | every controller |
//! | `p/JOB/N` | one chunk of [`CompletedTasks`] | the leader | a new leader |
//! | `i/N` | [`IntentPage`]: task attempts that may be on their machines | the leader | a new leader |
//! | `h/N` | [`MachinePage`]: the machines of the cluster, with hints about them | the leader | a new leader |
//! | `hints` | observed arrival rates and run times, which a new leader would otherwise have to learn again | the leader | a new leader |
//!
//! Two versions of the program share these records during a rolling upgrade, so no key or encoded value ever
//! changes its form (`tests/encodings.rs`, `tests/production.rs`).

mod completed_tasks;
mod intents;
mod jobs;
mod keys;
mod leader;
mod machines;

pub use completed_tasks::{CompletedTasks, TASKS_PER_PROGRESS_RECORD};
pub use intents::{IntentPage, JobResources, LaunchIntent};
pub use jobs::{OpenJobRecord, RecordTooLarge, TerminalRecord};
pub use keys::{
    dependency_list_key, dependency_page_key, intent_page_key, machine_page_key, open_job_key,
    parse_dependency_page_key, terminal_key, ProgressKey, RecordKey, CATALOG_KEY,
    DEPENDENCY_PREFIX, FENCING_TOKEN_KEY, HINTS_KEY, INTENT_PAGE_PREFIX, LEADER_KEY,
    MACHINE_PAGE_PREFIX, OPEN_JOB_PREFIX, PROGRESS_PREFIX, TERMINAL_PREFIX,
};
pub use leader::LeaderRecord;
pub use machines::{MachineEntry, MachineKind, MachinePage};
