//! The state that launch intent pages and machine pages have in common.

use crate::ids::KeyRevision;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// The leader's knowledge of one page in the state store.
#[derive(Debug)]
pub(super) struct StoredPage<Entry> {
    /// The page's key revision; 0 if the page isn't stored.
    pub revision: KeyRevision,
    /// The entries that the next write of the page will contain.
    pub entries: BTreeSet<Entry>,
    /// Since when the stored page has been outdated; `None` if it is up to date.
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
    /// Whether the page exists in the state store.
    pub fn is_stored(&self) -> bool {
        self.revision != KeyRevision(0)
    }

    /// Marks the stored page as outdated from now on, unless it already is outdated.
    pub fn mark_outdated(&mut self, now: Instant) {
        self.outdated_since.get_or_insert(now);
    }

    /// Marks the stored page as outdated for longer than any bound.
    pub fn mark_long_outdated(&mut self) {
        self.outdated_since = Some(Instant::LONG_AGO);
    }

    /// Whether the stored page has been outdated for longer than `bound`.
    pub fn is_outdated_longer_than(&self, now: Instant, bound: TimeSpan) -> bool {
        self.outdated_since.is_some_and(|since| now - since > bound)
    }

    /// Removes an entry, which makes the stored page outdated.
    pub fn remove(&mut self, now: Instant, entry: &Entry) {
        self.entries.remove(entry);
        self.mark_outdated(now);
    }

    /// Records a successful write of the page. `outdated` is true if the written entries already differ from
    /// the current ones.
    pub fn mark_written(&mut self, now: Instant, revision: KeyRevision, outdated: bool) {
        self.revision = revision;
        self.outdated_since = outdated.then_some(now);
    }
}
