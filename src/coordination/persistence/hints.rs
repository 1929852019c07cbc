//! The record of what was observed of job classes: its revision, and when to write it.

use crate::ids::KeyRevision;
use crate::time::{Instant, TimeSpan};

/// Hints are written at most this often.
const HINTS_WRITE_INTERVAL: TimeSpan = TimeSpan(10_000);

/// The hints record.
#[derive(Debug, Default)]
pub(super) struct HintsRecord {
    revision: KeyRevision,
    last_written_at: Instant,
    has_changed: bool,
}

impl HintsRecord {
    /// The revision of its key; 0 if it is absent.
    pub fn revision(&self) -> KeyRevision {
        self.revision
    }

    /// Something was observed that isn't written yet.
    pub fn mark_changed(&mut self) {
        self.has_changed = true;
    }

    /// Whether the record is to be written.
    pub fn is_due(&self, now: Instant) -> bool {
        self.has_changed && now - self.last_written_at > HINTS_WRITE_INTERVAL
    }

    /// The record has been read.
    pub fn set_revision(&mut self, revision: KeyRevision) {
        self.revision = revision;
    }

    /// The record has been written.
    pub fn mark_written(&mut self, now: Instant, revision: KeyRevision) {
        self.revision = revision;
        self.last_written_at = now;
        self.has_changed = false;
    }
}
