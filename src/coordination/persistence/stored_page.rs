//! What pages of launch intents and pages of machines have in common.

use crate::ids::KeyRevision;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// A page on the state store, as the leader knows it.
#[derive(Debug)]
pub(super) struct StoredPage<Entry> {
    /// The revision of its key; 0 if it isn't stored.
    pub revision: KeyRevision,
    /// What is to be on it.
    pub entries: BTreeSet<Entry>,
    /// Since when what is stored has differed from what is true.
    outdated_since: Option<Instant>,
}

impl<Entry> Default for StoredPage<Entry> {
    fn default() -> Self {
        StoredPage {
            revision: KeyRevision(0),
            entries: BTreeSet::new(),
            outdated_since: None,
        }
    }
}

impl<Entry: Ord> StoredPage<Entry> {
    /// Whether the key exists.
    pub fn is_stored(&self) -> bool {
        self.revision != KeyRevision(0)
    }

    /// What is stored differs from what is true, from now on if it didn't before.
    pub fn mark_outdated(&mut self, now: Instant) {
        self.outdated_since.get_or_insert(now);
    }

    /// The page has been outdated for longer than any bound.
    pub fn mark_long_outdated(&mut self) {
        self.outdated_since = Some(Instant::LONG_AGO);
    }

    /// Whether the page has been outdated for longer than the bound.
    pub fn is_outdated_longer_than(&self, now: Instant, bound: TimeSpan) -> bool {
        self.outdated_since.is_some_and(|since| now - since > bound)
    }

    /// An entry is no longer true.
    pub fn remove(&mut self, now: Instant, entry: &Entry) {
        self.entries.remove(entry);
        self.mark_outdated(now);
    }

    /// The page has been written; `outdated`: what was written is no longer all that is true.
    pub fn mark_written(&mut self, now: Instant, revision: KeyRevision, outdated: bool) {
        self.revision = revision;
        self.outdated_since = outdated.then_some(now);
    }
}
