//! Simulated state store: keys with revisions, transactions with preconditions, and the changes since a
//! revision.

use chalklug::ids::{JobId, KeyRevision, StoreRevision};
use chalklug::protocol::state::{Change, KeyValue, Transaction};
use chalklug::protocol::users::JobPhase;
use chalklug::storage::records::{open_job_key, terminal_key, TerminalRecord};
use std::collections::BTreeMap;

/// All keys, and the history of their changes.
#[derive(Default)]
pub struct StateStore {
    pub store_revision: StoreRevision,
    items: BTreeMap<String, KeyValue>,
    changes: Vec<(StoreRevision, String)>,
}

impl StateStore {
    pub fn get(&self, key: &str) -> Option<KeyValue> {
        self.items.get(key).cloned()
    }

    /// Returns all items whose keys start with the prefix.
    pub fn list(&self, prefix: &str) -> Vec<KeyValue> {
        let items = self.items.values();
        let listed = items.filter(|item| item.key.starts_with(prefix));
        listed.cloned().collect()
    }

    /// Applies a transaction and returns the new store revision, or `None` if a precondition failed
    /// and nothing changed.
    pub fn apply(&mut self, transaction: &Transaction) -> Option<StoreRevision> {
        let mut preconditions = transaction.preconditions.iter();
        if !preconditions.all(|p| self.key_revision(&p.key) == p.revision) {
            return None;
        }
        self.store_revision = StoreRevision(self.store_revision.0 + 1);
        for change in &transaction.changes {
            self.apply_change(change);
        }
        Some(self.store_revision)
    }

    fn key_revision(&self, key: &str) -> KeyRevision {
        let item = self.items.get(key);
        item.map_or(KeyRevision(0), |item| item.revision)
    }

    fn apply_change(&mut self, change: &Change) {
        let key = change.key().to_string();
        match change {
            Change::Put { data, lease, .. } => {
                let item = KeyValue {
                    key: key.clone(),
                    data: data.clone(),
                    revision: KeyRevision(self.store_revision.0),
                    lease: *lease,
                };
                self.items.insert(key.clone(), item);
            }
            Change::Delete { .. } => {
                self.items.remove(&key);
            }
        }
        self.changes.push((self.store_revision, key));
    }

    /// Returns the keys changed after the revision `since`, in order, each with its current value.
    pub fn changes_since(&self, since: StoreRevision) -> Vec<(String, Option<KeyValue>)> {
        let changes = self.changes.iter();
        let newer = changes.filter(|(revision, _)| *revision > since);
        newer.map(|(_, key)| (key.clone(), self.get(key))).collect()
    }

    /// Returns the phase of a job according to its records.
    pub fn phase(&self, id: &JobId) -> Option<JobPhase> {
        if self.items.contains_key(&open_job_key(id)) {
            return Some(JobPhase::Queued);
        }
        let item = self.get(&terminal_key(id))?;
        let terminal_record: TerminalRecord = serde_json::from_value(item.data).ok()?;
        Some(terminal_record.phase)
    }
}
