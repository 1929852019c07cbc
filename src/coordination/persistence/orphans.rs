//! Records left over by jobs that are closed: harmless, and deleted when there is time.

use crate::ids::{JobId, KeyRevision};
use crate::storage::records::{dependency_list_key, dependency_page_key, ProgressKey};
use std::collections::{BTreeMap, BTreeSet};

/// Keys of records of closed jobs.
#[derive(Debug, Default)]
pub(super) struct OrphanedRecords {
    progress: BTreeMap<String, KeyRevision>,
    dependencies: BTreeSet<String>,
}

impl OrphanedRecords {
    /// The progress records of closed jobs, with their revisions.
    pub fn progress(&self) -> impl Iterator<Item = (&String, KeyRevision)> {
        self.progress.iter().map(|(key, revision)| (key, *revision))
    }

    /// The dependency lists and pages of closed jobs.
    pub fn dependencies(&self) -> impl Iterator<Item = &String> {
        self.dependencies.iter()
    }

    /// A progress record is of a closed job.
    pub fn add_progress(&mut self, key: &ProgressKey, revision: KeyRevision) {
        self.progress.insert(key.to_string(), revision);
    }

    /// A job with so many dependency pages is closed.
    pub fn add_dependencies(&mut self, job: &JobId, pages: u32) {
        if pages > 0 {
            self.dependencies.insert(dependency_list_key(job));
            let keys = (0..pages).map(|page| dependency_page_key(job, page));
            self.dependencies.extend(keys);
        }
    }

    /// A record has been deleted.
    pub fn remove(&mut self, key: &str) {
        self.progress.remove(key);
        self.dependencies.remove(key);
    }

    /// A dependency list or page has been read again; revision 0: it is absent.
    pub fn update_dependencies(&mut self, key: &str, revision: KeyRevision) {
        if revision == KeyRevision(0) {
            self.dependencies.remove(key);
        }
    }

    /// A progress record has been read again; revision 0: it is absent. False if it isn't an orphan.
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
