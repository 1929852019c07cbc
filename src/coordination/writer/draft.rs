//! A transaction being put together.

use super::Work;
use crate::ids::{JobId, PageNo, Stamp};
use crate::protocol::state::Change;
use crate::storage::pages::StartKey;
use crate::storage::records::{final_key, open_key, FinalRecord};
use std::collections::BTreeMap;

/// A transaction being put together within the service's limits.
pub(super) struct Draft {
    pub guards: BTreeMap<String, Stamp>,
    pub apply: Vec<Change>,
    pub works: Vec<Work>,
    pub most_ops: usize,
    pub bytes: usize,
}

impl Draft {
    /// Whether so many more guards still fit.
    pub fn guards_fit(&self, more: usize) -> bool {
        self.guards.len() + more <= self.most_ops * 4
    }

    /// The starts and the pages of intents that are drafted already.
    pub fn launches(&self) -> impl Iterator<Item = &StartKey> {
        self.works.iter().flat_map(|w| match w {
            Work::Intents { keys, .. } => keys.as_slice(),
            _ => &[],
        })
    }
    pub fn intent_pages(&self) -> impl Iterator<Item = PageNo> + '_ {
        self.works.iter().filter_map(|w| match w {
            Work::Intents { page, .. } | Work::DropIntents { page } => Some(*page),
            _ => None,
        })
    }

    /// Adds work if it still fits; false if not.
    pub fn add(&mut self, guards: Vec<(String, Stamp)>, apply: Vec<Change>, work: Work) -> bool {
        let size: usize = apply
            .iter()
            .map(|c| serde_json::to_string(c).map_or(usize::MAX / 4, |s| s.len()))
            .sum::<usize>()
            + guards.len() * 100;
        let new = guards
            .iter()
            .filter(|(k, _)| !self.guards.contains_key(k))
            .count();
        let fits = self.apply.len() + apply.len() <= self.most_ops
            && self.guards.len() + new <= self.most_ops * 4
            && self.bytes + size <= MAX_TXN_BYTES;
        if !fits {
            return false;
        }
        self.bytes += size;
        self.guards.extend(guards);
        self.apply.extend(apply);
        self.works.push(work);
        true
    }

    /// Adds the end of an open job, whose record then gives way to the mark; false if it doesn't fit.
    pub fn close(&mut self, id: &JobId, stamp: Stamp, mark: &FinalRecord, work: Work) -> bool {
        let Ok(data) = serde_json::to_value(mark) else {
            return true;
        };
        let guards = vec![(open_key(id), stamp), (final_key(id), Stamp(0))];
        let apply = vec![
            Change::Delete {
                delete: open_key(id),
            },
            Change::put(final_key(id), data),
        ];
        self.add(guards, apply, work)
    }
}

/// Operations that finish or cancel one job.
pub(super) const FINISH_OPS: usize = 2;
/// The service takes 64 KiB in one transaction.
const MAX_TXN_BYTES: usize = 56 * 1024;
