//! Deletion of obsolete records. They are harmless, so they are deleted only while the write budget allows it.

use super::{Draft, DraftContext, RecordUpdate};
use crate::ids::KeyRevision;
use crate::protocol::state::Change;
use crate::storage::records::intent_page_key;
use crate::time::TimeSpan;

/// Time for which a launch intent page without valid intents is kept, in case new intents are written to it.
const OBSOLETE_INTENT_PAGE_DELAY: TimeSpan = TimeSpan(4_000);

impl DraftContext<'_> {
    /// Drafts the deletion of orphaned records, and of launch intent pages without valid intents.
    pub fn draft_garbage_collection(&self, draft: &mut Draft) {
        let _fits = self.delete_orphans(draft) && self.delete_intent_pages(draft);
    }

    fn delete_orphans(&self, draft: &mut Draft) -> bool {
        let orphans = &self.writer.orphans;
        let progress = orphans.progress().all(|(key, revision)| {
            let preconditions = vec![(key.clone(), revision)];
            delete_orphan(draft, preconditions, key)
        });
        // Dependencies need no precondition of their own: they are never written again once the job has a terminal
        // record.
        progress && (orphans.dependencies()).all(|key| delete_orphan(draft, Vec::new(), key))
    }

    fn delete_intent_pages(&self, draft: &mut Draft) -> bool {
        let now = self.cluster.now;
        let drafted = draft.intent_pages();
        let intent_pages = &self.writer.intent_pages;
        let mut obsolete = intent_pages
            .obsolete(now, OBSOLETE_INTENT_PAGE_DELAY)
            .filter(|(page, _)| !drafted.contains(page));
        obsolete.all(|(page, revision)| {
            let key = intent_page_key(page);
            let changes = vec![Change::delete(key.clone())];
            let update = RecordUpdate::IntentPageDeleted { page };
            draft.add(vec![(key, revision)], changes, update)
        })
    }
}

fn delete_orphan(draft: &mut Draft, preconditions: Vec<(String, KeyRevision)>, key: &str) -> bool {
    let key = key.to_string();
    let changes = vec![Change::delete(key.clone())];
    draft.add(preconditions, changes, RecordUpdate::OrphanDeleted { key })
}
