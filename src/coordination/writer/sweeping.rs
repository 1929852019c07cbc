//! Records that say more than is true: deleted when there is time.

use super::super::Core;
use super::draft::Draft;
use super::Work;
use crate::ids::{Millis, PageNo};
use crate::protocol::state::Change;
use crate::storage::records::intents_key;
use std::collections::BTreeSet;

/// A stale record waits this long for a write that is needed anyway.
const STALE: Millis = Millis(4_000);

impl Core {
    /// Records that say more than is true: harmless, so they wait for a quiet moment.
    pub(super) fn draft_sweeping(&self, now: Millis, draft: &mut Draft) {
        for (key, stamp) in &self.writer.orphaned_progress {
            let apply = vec![Change::Delete {
                delete: key.clone(),
            }];
            let work = Work::DropProgress { key: key.clone() };
            if !draft.add(vec![(key.clone(), *stamp)], apply, work) {
                return;
            }
        }
        // Without a guard of their own: where there is a finish mark nobody writes them again.
        for key in &self.writer.orphaned_edges {
            let apply = vec![Change::Delete {
                delete: key.clone(),
            }];
            let work = Work::DropEdges { key: key.clone() };
            if !draft.add(Vec::new(), apply, work) {
                return;
            }
        }
        let taken: BTreeSet<PageNo> = draft.intent_pages().collect();
        for page in self.writer.intents.stale(now, STALE) {
            let (keys, stamp) = self.writer.intents.page(page);
            if taken.contains(&page) || !keys.is_empty() {
                continue;
            }
            let key = intents_key(page);
            let apply = vec![Change::Delete {
                delete: key.clone(),
            }];
            if !draft.add(vec![(key, stamp)], apply, Work::DropIntents { page }) {
                return;
            }
        }
    }
}
