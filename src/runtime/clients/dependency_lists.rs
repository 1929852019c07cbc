//! The dependency lists of open jobs that are stored on dependency pages, read in bulk and cached.
//!
//! The pages of an open job never change, so a list that was read once is valid until the job is closed. One request
//! returns the pages of many jobs. A read that fails keeps the lists that it has read, so the next one continues where
//! it ended: however many jobs are open and however often the state store refuses a request, the reads come to an end.

use super::dependency_pages::{self, DependencyPage};
use super::state_store::{StateStoreClient, StateStoreError, MAX_LIST_ITEMS};
use crate::ids::JobId;
use crate::runtime::lock;
use crate::storage::records::{dependency_list_key, OpenJobRecord, DEPENDENCY_PREFIX};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// The dependencies of one job.
pub type DependencyList = Arc<[JobId]>;

/// Dependency lists by job. A requested job without a list is no longer open.
pub type ListsByJob = BTreeMap<JobId, DependencyList>;

/// The cached dependency lists. Contains only lists from dependency pages, not those in open job records.
#[derive(Default)]
pub struct DependencyLists {
    by_job: Mutex<ListsByJob>,
    /// Held during a read, so that concurrent reads don't request the same pages.
    reading: tokio::sync::Mutex<()>,
}

impl DependencyLists {
    /// Returns the dependency lists of those of the jobs that have dependency pages. The lists that are not cached are
    /// read.
    pub async fn read<'a>(
        &self,
        state_store: &StateStoreClient,
        records: impl IntoIterator<Item = &'a OpenJobRecord>,
    ) -> Result<ListsByJob, StateStoreError> {
        let with_pages = records.into_iter().filter(|r| r.dependency_pages > 0);
        let requested: PagesByJob = with_pages
            .map(|record| (record.spec.id.clone(), record.dependency_pages))
            .collect();
        if requested.is_empty() {
            return Ok(ListsByJob::new());
        }
        let _reading = self.reading.lock().await;
        let missing = self.without_list(&requested);
        if !missing.is_empty() {
            self.read_missing(state_store, missing).await?;
        }
        Ok(self.known(requested.keys()))
    }

    /// Returns the cached dependency lists of these jobs.
    pub fn known<'a>(&self, ids: impl IntoIterator<Item = &'a JobId>) -> ListsByJob {
        let by_job = lock(&self.by_job);
        let lists = ids
            .into_iter()
            .filter_map(|id| Some((id.clone(), by_job.get(id)?.clone())));
        lists.collect()
    }

    fn without_list(&self, requested: &PagesByJob) -> PagesByJob {
        let by_job = lock(&self.by_job);
        let missing = requested.iter().filter(|(id, _)| !by_job.contains_key(*id));
        missing.map(|(id, pages)| (id.clone(), *pages)).collect()
    }

    /// Reads the pages of these jobs, which are adjacent in the state store if the jobs are, in as few requests as
    /// possible.
    async fn read_missing(
        &self,
        state_store: &StateStoreClient,
        mut missing: PagesByJob,
    ) -> Result<(), StateStoreError> {
        let mut incomplete = IncompleteLists::default();
        let mut last_key = String::new();
        while let Some(first) = missing.keys().next() {
            let since = last_key.max(dependency_list_key(first));
            let limit = key_count(&missing).min(MAX_LIST_ITEMS);
            let response = state_store
                .list_some(DEPENDENCY_PREFIX, &since, limit)
                .await?;
            last_key = match response.pairs.last() {
                Some(item) if response.has_more => item.key.clone(),
                _ => KEY_AFTER_DEPENDENCIES.to_owned(),
            };
            for item in response.pairs {
                let Some(page) = DependencyPage::parse(&item)? else {
                    continue;
                };
                if let Some((id, list)) = incomplete.add(page, &missing) {
                    missing.remove(&id);
                    self.insert(id, list);
                }
            }
            self.read_passed(state_store, &mut missing, &last_key)
                .await?;
        }
        Ok(())
    }

    /// Reads those jobs one by one whose pages come before `last_key` and were not all listed: such a job is usually no
    /// longer open.
    async fn read_passed(
        &self,
        state_store: &StateStoreClient,
        missing: &mut PagesByJob,
        last_key: &str,
    ) -> Result<(), StateStoreError> {
        while let Some((id, pages)) = missing.first_key_value() {
            if dependency_pages::key_after_pages(id).as_str() > last_key {
                return Ok(());
            }
            let (id, pages) = (id.clone(), *pages);
            let list = dependency_pages::read_pages(state_store, &id, pages).await?;
            missing.remove(&id);
            if let Some(list) = list {
                self.insert(id, list);
            }
        }
        Ok(())
    }

    fn insert(&self, id: JobId, list: Vec<JobId>) {
        lock(&self.by_job).insert(id, list.into());
    }

    /// Removes the list of a job that is no longer open.
    pub fn remove(&self, id: &JobId) {
        lock(&self.by_job).remove(id);
    }

    /// Removes the lists of all jobs that `is_open` denies.
    pub fn retain(&self, is_open: impl Fn(&JobId) -> bool) {
        lock(&self.by_job).retain(|id, _| is_open(id));
    }

    /// Returns the number of cached lists.
    pub fn len(&self) -> usize {
        lock(&self.by_job).len()
    }
}

/// The number of dependency pages by job.
type PagesByJob = BTreeMap<JobId, u32>;

/// Comes after all keys of dependency lists and pages.
const KEY_AFTER_DEPENDENCIES: &str = "e0";

/// Returns the number of keys under which the jobs' lists and pages are stored.
fn key_count(jobs: &PagesByJob) -> usize {
    jobs.values().map(|pages| *pages as usize + 1).sum()
}

/// Lists of which some pages have been read.
#[derive(Default)]
struct IncompleteLists {
    pages: BTreeMap<JobId, BTreeMap<u32, Vec<JobId>>>,
}

impl IncompleteLists {
    /// Adds a page if its job is one of those that are missing. Returns the job with its list once all pages are read.
    fn add(&mut self, page: DependencyPage, missing: &PagesByJob) -> Option<(JobId, Vec<JobId>)> {
        let expected = *missing.get(&page.job)?;
        let pages = self.pages.entry(page.job.clone()).or_default();
        if page.number < expected {
            pages.insert(page.number, page.dependencies);
        }
        if pages.len() < expected as usize {
            return None;
        }
        let pages = self.pages.remove(&page.job)?;
        Some((page.job, pages.into_values().flatten().collect()))
    }
}
