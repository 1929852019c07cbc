//! The hints record.

use super::{Draft, DraftContext, RecordUpdate};
use crate::protocol::state::Change;
use crate::storage::records::HINTS_KEY;
use serde::Serialize;

impl DraftContext<'_> {
    /// Drafts the hints record, unless it exceeds the size limit for values.
    pub fn draft_hints(&self, hints: &impl Serialize, draft: &mut Draft) {
        let Ok(data) = serde_json::to_value(hints) else {
            return;
        };
        if data.to_string().len() > draft.limits().max_value_bytes {
            return;
        }
        let preconditions = vec![(HINTS_KEY.into(), self.writer.hints.revision())];
        let changes = vec![Change::put(HINTS_KEY.into(), data)];
        // If the record doesn't fit, it stays due.
        let _fits = draft.add(preconditions, changes, RecordUpdate::Hints);
    }
}
