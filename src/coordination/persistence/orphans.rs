//! Orphaned records: records of closed jobs. They are harmless, and deleted while the write budget allows it.

use crate::ids::{JobId, KeyRevision};
use crate::storage::records::{dependency_list_key, dependency_page_key, ProgressKey};
use std::collections::{BTreeMap, BTreeSet};

/// Keys of orphaned records.
#[derive(Debug, Default)]
pub(super) struct OrphanedRecords {
    progress: BTreeMap<String, KeyRevision>,
    dependencies: BTreeSet<String>,
}

impl OrphanedRecords {
    /// Iterates over the progress records of closed jobs, with their key revisions.
    pub fn progress(&self) -> impl Iterator<Item = (&String, KeyRevision)> {
        self.progress.iter().map(|(key, revision)| (key, *revision))
    }

    /// Iterates over the keys of the dependency lists and dependency pages of closed jobs.
    pub fn dependencies(&self) -> impl Iterator<Item = &String> {
        self.dependencies.iter()
    }

    /// Adds a progress record of a closed job.
    pub fn add_progress(&mut self, key: &ProgressKey, revision: KeyRevision) {
        self.progress.insert(key.to_string(), revision);
    }

    /// Adds the dependency list and the given number of dependency pages of a closed job.
    pub fn add_dependencies(&mut self, job: &JobId, pages: u32) {
        if pages > 0 {
            self.dependencies.insert(dependency_list_key(job));
            let keys = (0..pages).map(|page| dependency_page_key(job, page));
            self.dependencies.extend(keys);
        }
    }

    /// Removes a record that has been deleted from the state store.
    pub fn remove(&mut self, key: &str) {
        self.progress.remove(key);
        self.dependencies.remove(key);
    }

    /// Updates a dependency list or dependency page whose key has been read again. Revision 0 means that the key is
    /// absent.
    pub fn update_dependencies(&mut self, key: &str, revision: KeyRevision) {
        if revision == KeyRevision(0) {
            self.dependencies.remove(key);
        }
    }

    /// Updates a progress record whose key has been read again. Revision 0 means that the key is absent. Returns
    /// false if the record isn't orphaned.
    pub fn update_progress(&mut self, key: &str, revision: KeyRevision) -> bool {
        let Some(known) = self.progress.get_mut(key) else {
            return false;
        };
        *known = revision;
        if revision == KeyRevision(0) {
            self.progress.remove(key);
        }
        true
    }
}
