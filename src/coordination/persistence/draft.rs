//! A transaction being put together.

use super::Work;
use crate::ids::{JobId, KeyRevision, PageNumber};
use crate::protocol::state::Change;
use crate::storage::records::{open_key, terminal_key, LaunchIntent, TerminalRecord};
use std::collections::BTreeMap;

/// A transaction being put together within the service's limits.
pub(crate) struct Draft {
    pub preconditions: BTreeMap<String, KeyRevision>,
    pub changes: Vec<Change>,
    pub works: Vec<Work>,
    pub most_ops: usize,
    pub bytes: usize,
}

impl Draft {
    /// Whether so many more guards still fit.
    pub fn guards_fit(&self, more: usize) -> bool {
        self.preconditions.len() + more <= self.most_ops * 4
    }

    /// The starts and the pages of intents that are drafted already.
    pub fn launches(&self) -> impl Iterator<Item = &LaunchIntent> {
        self.works.iter().flat_map(|w| match w {
            Work::Intents { keys, .. } => keys.as_slice(),
            _ => &[],
        })
    }
    pub fn intent_pages(&self) -> impl Iterator<Item = PageNumber> + '_ {
        self.works.iter().filter_map(|w| match w {
            Work::Intents { page, .. } | Work::DropIntents { page } => Some(*page),
            _ => None,
        })
    }

    /// Adds work if it still fits; false if not.
    pub fn add(
        &mut self,
        preconditions: Vec<(String, KeyRevision)>,
        changes: Vec<Change>,
        work: Work,
    ) -> bool {
        let size: usize = changes
            .iter()
            .map(|c| serde_json::to_string(c).map_or(usize::MAX / 4, |s| s.len()))
            .sum::<usize>()
            + preconditions.len() * 100;
        let new = preconditions
            .iter()
            .filter(|(k, _)| !self.preconditions.contains_key(k))
            .count();
        let fits = self.changes.len() + changes.len() <= self.most_ops
            && self.preconditions.len() + new <= self.most_ops * 4
            && self.bytes + size <= MAX_TXN_BYTES;
        if !fits {
            return false;
        }
        self.bytes += size;
        self.preconditions.extend(preconditions);
        self.changes.extend(changes);
        self.works.push(work);
        true
    }

    /// Adds the end of an open job, whose record then gives way to the mark; false if it doesn't fit.
    pub fn close(
        &mut self,
        id: &JobId,
        revision: KeyRevision,
        terminal_record: &TerminalRecord,
        work: Work,
    ) -> bool {
        let Ok(data) = serde_json::to_value(terminal_record) else {
            return true;
        };
        let preconditions = vec![(open_key(id), revision), (terminal_key(id), KeyRevision(0))];
        let changes = vec![
            Change::Delete {
                delete: open_key(id),
            },
            Change::put(terminal_key(id), data),
        ];
        self.add(preconditions, changes, work)
    }
}

/// Operations that finish or cancel one job.
pub(crate) const FINISH_OPS: usize = 2;
/// The service takes 64 KiB in one transaction.
const MAX_TXN_BYTES: usize = 56 * 1024;
