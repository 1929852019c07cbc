//! Failover: rebuilds a new leader's scheduler from durable records, in time proportional to open jobs and
//! machines.
//!
//! Guarantees that every task attempt with a launch intent counts as running until proven otherwise. An attempt
//! without an intent was never launched, so its task may start at once.

mod intent_pages;
mod machine_pages;

use crate::coordination::jobs::job::Job;
use crate::coordination::leadership::LeadershipTerm;
use crate::coordination::{OpenJob, Policy, Scheduler};
use crate::ids::MachineId;
use crate::protocol::cloud::MachineTypeInfo;
use crate::protocol::state::KeyValue;
use crate::storage::records::ProgressKey;
use crate::time::Instant;
use std::sync::Arc;

/// What a new leader has read from the state store after writing its leader key.
#[derive(Debug, Default)]
pub struct RecoveredState {
    /// When the open jobs were requested.
    pub requested_at: Instant,
    /// All open jobs.
    pub open_jobs: Vec<OpenJob>,
    /// Progress records, including those of closed jobs.
    pub progress_records: Vec<KeyValue>,
    /// Pages of launch intents.
    pub intent_pages: Vec<KeyValue>,
    /// Pages of machines.
    pub machine_pages: Vec<KeyValue>,
    /// Machine types and prices as last read.
    pub machine_types: Vec<MachineTypeInfo>,
    /// Arrivals and run times observed by former leaders.
    pub hints: Option<KeyValue>,
    /// Unix time in milliseconds at the monotonic clock's zero.
    pub unix_time_at_zero_ms: u64,
}

/// An unreadable record that aborts the failover: attempts that depend on it would count as never launched.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {cause}")]
pub struct UnreadableRecord {
    /// The record's key.
    pub key: String,
    /// Why the record can't be read.
    #[source]
    pub cause: UnreadableCause,
}

/// Why a record can't be read.
#[derive(Debug, thiserror::Error)]
pub enum UnreadableCause {
    /// The value does not have the expected format.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// A machine refers to a kind (type, zone and spot flag) that its page does not list.
    #[error("machine {machine} has a kind that its page does not list")]
    UnknownMachineKind {
        /// The machine's id.
        machine: MachineId,
    },
}

impl UnreadableRecord {
    fn new(item: &KeyValue, cause: impl Into<UnreadableCause>) -> UnreadableRecord {
        UnreadableRecord {
            key: item.key.clone(),
            cause: cause.into(),
        }
    }
}

fn parse_record<T: serde::de::DeserializeOwned>(item: &KeyValue) -> Result<T, UnreadableRecord> {
    serde_json::from_value(item.data.clone()).map_err(|error| UnreadableRecord::new(item, error))
}

impl Scheduler {
    /// Rebuilds the scheduler for a leadership term that starts now.
    ///
    /// # Errors
    /// Fails if a page of machines or launch intents can't be read: the new leader must not act then.
    pub fn recover(
        policy: Arc<Policy>,
        term: LeadershipTerm,
        now: Instant,
        recovered: RecoveredState,
    ) -> Result<Scheduler, UnreadableRecord> {
        let mut scheduler = Scheduler::new(
            policy,
            term,
            now,
            recovered.requested_at,
            recovered.unix_time_at_zero_ms,
        );
        scheduler.machines.set_types(recovered.machine_types);
        let mut recovery = Recovery { scheduler, now };
        recovery.load_open_jobs(recovered.open_jobs);
        recovery.load_hints(recovered.hints);
        recovery.load_progress_records(recovered.progress_records);
        recovery.load_machine_pages(recovered.machine_pages)?;
        recovery.load_intent_pages(&recovered.intent_pages)?;
        recovery.index_machines();
        Ok(recovery.scheduler)
    }
}

/// A scheduler that is being rebuilt. Open jobs are loaded before their progress, and machines before their
/// attempts.
struct Recovery {
    scheduler: Scheduler,
    now: Instant,
}

impl Recovery {
    fn load_open_jobs(&mut self, open_jobs: Vec<OpenJob>) {
        for open_job in open_jobs {
            self.scheduler.job_opened(self.now, open_job);
        }
    }

    /// Unreadable hints are ignored: they are learned again.
    fn load_hints(&mut self, item: Option<KeyValue>) {
        let Some(item) = item else {
            return;
        };
        self.scheduler.writer.recover_hints(item.revision);
        if let Ok(hints) = serde_json::from_value(item.data) {
            self.scheduler.load_hints(self.now, hints);
        }
    }

    fn load_progress_records(&mut self, items: Vec<KeyValue>) {
        for item in items {
            self.load_progress_record(item);
        }
    }

    fn load_progress_record(&mut self, item: KeyValue) {
        let scheduler = &mut self.scheduler;
        let Some(key) = ProgressKey::parse(&item.key) else {
            return;
        };
        if scheduler.jobs.get(&key.job).is_none_or(Job::is_closed) {
            let writer = &mut scheduler.writer;
            writer.recover_orphaned_progress(&key, item.revision);
            return;
        }
        if let Some(completed_tasks) = item.data.as_str() {
            let load = |job: &mut Job| job.load_progress(key.chunk, completed_tasks);
            scheduler.jobs.update(&key.job, load);
        }
        scheduler.writer.recover_progress(key, item.revision);
    }

    /// Indexes all machines, and marks those without live attempts as idle from now on.
    fn index_machines(&mut self) {
        let ids: Vec<MachineId> = self.scheduler.machines.keys().cloned().collect();
        for id in ids {
            self.scheduler.machines.reindex(&id);
            let machine = self.scheduler.machines.get_mut(&id);
            if let Some(machine) = machine.filter(|machine| machine.attempts.live_count() == 0) {
                machine.idle_since = Some(self.now);
            }
        }
    }
}
