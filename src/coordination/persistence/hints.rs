//! The hints record (arrival rates and run times observed for each job class): its revision, and when to write it.

use crate::ids::KeyRevision;
use crate::time::{Instant, TimeSpan};

/// Minimum time between two writes of the hints record.
const HINTS_WRITE_INTERVAL: TimeSpan = TimeSpan(10_000);

/// The writer's knowledge of the hints record.
#[derive(Debug, Default)]
pub(super) struct HintsRecord {
    revision: KeyRevision,
    last_written_at: Instant,
    has_changed: bool,
}

impl HintsRecord {
    /// Returns the key revision of the record; 0 if the record is absent.
    pub fn revision(&self) -> KeyRevision {
        self.revision
    }

    /// Marks the stored record as outdated.
    pub fn mark_changed(&mut self) {
        self.has_changed = true;
    }

    /// Whether the record should be written now.
    pub fn is_due(&self, now: Instant) -> bool {
        self.has_changed && now - self.last_written_at > HINTS_WRITE_INTERVAL
    }

    /// Sets the key revision as read from the state store.
    pub fn set_revision(&mut self, revision: KeyRevision) {
        self.revision = revision;
    }

    /// Records a successful write.
    pub fn mark_written(&mut self, now: Instant, revision: KeyRevision) {
        self.revision = revision;
        self.last_written_at = now;
        self.has_changed = false;
    }
}
