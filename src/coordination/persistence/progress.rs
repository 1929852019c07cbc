//! Progress records (completed tasks): their revisions, and when they were last written.

use crate::ids::{JobId, KeyRevision};
use crate::storage::records::ProgressKey;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeMap;

/// Minimum time between two writes of progress. Until a completion is written, the tombstone on the worker preserves
/// it; if that is lost, the task's result still exists, so that a new attempt is done once its image is fetched.
const PROGRESS_WRITE_INTERVAL: TimeSpan = TimeSpan(2_000);

/// The writer's knowledge of the progress records of open jobs.
#[derive(Debug, Default)]
pub(super) struct ProgressRecords {
    revisions: BTreeMap<ProgressKey, KeyRevision>,
    last_written_at: Instant,
}

impl ProgressRecords {
    /// Whether the minimum time since the last write has passed.
    pub fn is_due(&self, now: Instant) -> bool {
        now - self.last_written_at >= PROGRESS_WRITE_INTERVAL
    }

    /// Returns the key revision of a record; 0 if the record is absent.
    pub fn revision(&self, key: &ProgressKey) -> KeyRevision {
        self.revisions.get(key).copied().unwrap_or_default()
    }

    /// Sets the key revision of a record as read from the state store.
    pub fn set_revision(&mut self, key: ProgressKey, revision: KeyRevision) {
        self.revisions.insert(key, revision);
    }

    /// Records a successful write and the new key revision of the record.
    pub fn mark_written(&mut self, now: Instant, key: ProgressKey, revision: KeyRevision) {
        self.revisions.insert(key, revision);
        self.last_written_at = now;
    }

    /// Removes the records of a job and returns their keys and key revisions.
    pub fn remove_job(&mut self, job: &JobId) -> Vec<(ProgressKey, KeyRevision)> {
        let keys = self.revisions.keys().filter(|key| key.job == *job);
        let keys: Vec<ProgressKey> = keys.cloned().collect();
        keys.into_iter()
            .filter_map(|key| self.revisions.remove_entry(&key))
            .collect()
    }
}
