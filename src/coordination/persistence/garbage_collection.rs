//! Records that say more than is true: deleted when there is time.

use super::draft::Draft;
use super::Work;
use crate::coordination::Scheduler;
use crate::ids::PageNumber;
use crate::protocol::state::Change;
use crate::storage::records::intent_page_key;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// A stale record waits this long for a write that is needed anyway.
const STALE: TimeSpan = TimeSpan(4_000);

impl Scheduler {
    /// Records that say more than is true: harmless, so they wait for a quiet moment.
    pub(crate) fn draft_sweeping(&self, now: Instant, draft: &mut Draft) {
        for (key, revision) in &self.writer.orphaned_progress {
            let changes = vec![Change::Delete {
                delete: key.clone(),
            }];
            let work = Work::DropProgress { key: key.clone() };
            if !draft.add(vec![(key.clone(), *revision)], changes, work) {
                return;
            }
        }
        // Without a guard of their own: where there is a finish mark nobody writes them again.
        for key in &self.writer.orphaned_edges {
            let changes = vec![Change::Delete {
                delete: key.clone(),
            }];
            let work = Work::DropEdges { key: key.clone() };
            if !draft.add(Vec::new(), changes, work) {
                return;
            }
        }
        let taken: BTreeSet<PageNumber> = draft.intent_pages().collect();
        for page in self.writer.intents.stale(now, STALE) {
            let (keys, revision) = self.writer.intents.page(page);
            if taken.contains(&page) || !keys.is_empty() {
                continue;
            }
            let key = intent_page_key(page);
            let changes = vec![Change::Delete {
                delete: key.clone(),
            }];
            if !draft.add(vec![(key, revision)], changes, Work::DropIntents { page }) {
                return;
            }
        }
    }
}
