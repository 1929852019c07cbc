//! The records of completed tasks: their revisions, and when they were last written.

use crate::ids::{JobId, KeyRevision};
use crate::storage::records::ProgressKey;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeMap;

/// Progress is written this often. Until then a tombstone keeps it, or else the task's result.
const PROGRESS_WRITE_INTERVAL: TimeSpan = TimeSpan(2_000);

/// The progress records of open jobs.
#[derive(Debug, Default)]
pub(super) struct ProgressRecords {
    revisions: BTreeMap<ProgressKey, KeyRevision>,
    last_written_at: Instant,
}

impl ProgressRecords {
    /// Whether progress may be written again.
    pub fn is_due(&self, now: Instant) -> bool {
        now - self.last_written_at >= PROGRESS_WRITE_INTERVAL
    }

    /// The revision of a record; 0 if there is none.
    pub fn revision(&self, key: &ProgressKey) -> KeyRevision {
        self.revisions.get(key).copied().unwrap_or_default()
    }

    /// A record has been read.
    pub fn set_revision(&mut self, key: ProgressKey, revision: KeyRevision) {
        self.revisions.insert(key, revision);
    }

    /// A record has been written.
    pub fn mark_written(&mut self, now: Instant, key: ProgressKey, revision: KeyRevision) {
        self.revisions.insert(key, revision);
        self.last_written_at = now;
    }

    /// Takes the records of a job out.
    pub fn remove_job(&mut self, job: &JobId) -> Vec<(ProgressKey, KeyRevision)> {
        let keys = self.revisions.keys().filter(|key| key.job == *job);
        let keys: Vec<ProgressKey> = keys.cloned().collect();
        keys.into_iter()
            .filter_map(|key| self.revisions.remove_entry(&key))
            .collect()
    }
}
