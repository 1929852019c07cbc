//! A stand-in for the state service: versions, guards, changes since an epoch.

use chalklug::ids::{JobId, KeyRevision, StoreRevision};
use chalklug::protocol::state::{Change, KeyValue, Transaction};
use chalklug::protocol::users::JobPhase;
use chalklug::storage::records::{open_key, terminal_key, TerminalRecord};
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Store {
    pub store_revision: StoreRevision,
    items: BTreeMap<String, KeyValue>,
    changes: Vec<(StoreRevision, String)>,
}

impl Store {
    pub fn get(&self, key: &str) -> Option<KeyValue> {
        self.items.get(key).cloned()
    }

    pub fn list(&self, prefix: &str) -> Vec<KeyValue> {
        let all = self.items.values();
        all.filter(|i| i.key.starts_with(prefix)).cloned().collect()
    }

    /// None: a guard failed and nothing changed.
    pub fn apply(&mut self, transaction: &Transaction) -> Option<StoreRevision> {
        let stamp_of = |k: &str| self.items.get(k).map_or(KeyRevision(0), |i| i.revision);
        if transaction
            .preconditions
            .iter()
            .any(|g| stamp_of(&g.key) != g.revision)
        {
            return None;
        }
        self.store_revision = StoreRevision(self.store_revision.0 + 1);
        for c in &transaction.changes {
            self.changes
                .push((self.store_revision, c.key().to_string()));
            match c {
                Change::Put { put, data, lease } => {
                    let item = KeyValue {
                        key: put.clone(),
                        data: data.clone(),
                        revision: KeyRevision(self.store_revision.0),
                        lease: *lease,
                    };
                    self.items.insert(put.clone(), item);
                }
                Change::Delete { delete } => {
                    self.items.remove(delete);
                }
            }
        }
        Some(self.store_revision)
    }

    pub fn changes_since(&self, since: StoreRevision) -> Vec<(String, Option<KeyValue>)> {
        let events = self.changes.iter().filter(|(e, _)| *e > since);
        events.map(|(_, k)| (k.clone(), self.get(k))).collect()
    }

    pub fn phase(&self, id: &JobId) -> Option<JobPhase> {
        if self.get(&open_key(id)).is_some() {
            return Some(JobPhase::Queued);
        }
        let terminal_record = self.get(&terminal_key(id))?;
        let terminal_record: TerminalRecord = serde_json::from_value(terminal_record.data).ok()?;
        Some(terminal_record.phase)
    }
}
