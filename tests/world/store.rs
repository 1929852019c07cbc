//! A stand-in for the state service: versions, guards, changes since an epoch.

use chalklug::ids::{Epoch, JobId, Stamp};
use chalklug::protocol::state::{Change, Item, Txn};
use chalklug::protocol::users::JobPhase;
use chalklug::storage::records::{final_key, open_key, FinalRecord};
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Store {
    pub epoch: Epoch,
    items: BTreeMap<String, Item>,
    changes: Vec<(Epoch, String)>,
}

impl Store {
    pub fn get(&self, key: &str) -> Option<Item> {
        self.items.get(key).cloned()
    }

    pub fn list(&self, prefix: &str) -> Vec<Item> {
        let all = self.items.values();
        all.filter(|i| i.key.starts_with(prefix)).cloned().collect()
    }

    /// None: a guard failed and nothing changed.
    pub fn apply(&mut self, txn: &Txn) -> Option<Epoch> {
        let stamp_of = |k: &str| self.items.get(k).map_or(Stamp(0), |i| i.stamp);
        if txn.guards.iter().any(|g| stamp_of(&g.key) != g.stamp) {
            return None;
        }
        self.epoch = Epoch(self.epoch.0 + 1);
        for c in &txn.apply {
            self.changes.push((self.epoch, c.key().to_string()));
            match c {
                Change::Put { put, data, lease } => {
                    let item = Item {
                        key: put.clone(),
                        data: data.clone(),
                        stamp: Stamp(self.epoch.0),
                        lease: *lease,
                    };
                    self.items.insert(put.clone(), item);
                }
                Change::Delete { delete } => {
                    self.items.remove(delete);
                }
            }
        }
        Some(self.epoch)
    }

    pub fn changes_since(&self, since: Epoch) -> Vec<(String, Option<Item>)> {
        let news = self.changes.iter().filter(|(e, _)| *e > since);
        news.map(|(_, k)| (k.clone(), self.get(k))).collect()
    }

    pub fn phase(&self, id: &JobId) -> Option<JobPhase> {
        if self.get(&open_key(id)).is_some() {
            return Some(JobPhase::Queued);
        }
        let mark = self.get(&final_key(id))?;
        let mark: FinalRecord = serde_json::from_value(mark.data).ok()?;
        Some(mark.phase)
    }
}
