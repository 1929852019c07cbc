//! Open job records as read from the state store, before the dependency lists on pages are read.

use super::dependency_lists::{DependencyList, DependencyLists, ListsByJob};
use super::state_store::StateStoreError;
use crate::ids::{JobId, KeyRevision};
use crate::protocol::state::{KeyValue, WatchEvent};
use crate::runtime::Node;
use crate::storage::records::{OpenJobRecord, OPEN_JOB_PREFIX};
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An open job record as stored.
pub struct StoredOpenJob {
    /// The job.
    pub id: JobId,
    /// The revision of the record.
    pub revision: KeyRevision,
    /// The record; None if the data can't be parsed.
    pub record: Option<OpenJobRecord>,
    /// The data of the record.
    pub data: Value,
}

impl StoredOpenJob {
    /// Parses a key and its value; None for a key of another kind.
    pub fn parse(key: &str, revision: KeyRevision, data: Value) -> Option<StoredOpenJob> {
        let id = key.strip_prefix(OPEN_JOB_PREFIX)?;
        let record = OpenJobRecord::deserialize(&data)
            .inspect_err(|error| tracing::error!(key, %error, "unreadable open job record"));
        Some(StoredOpenJob {
            id: JobId::from(id),
            revision,
            record: record.ok(),
            data,
        })
    }

    /// Returns the job's dependencies, from `lists` if they are stored on pages; None if they are not there.
    fn dependencies(&self, lists: &ListsByJob) -> Option<DependencyList> {
        match &self.record {
            Some(record) if record.dependency_pages > 0 => lists.get(&self.id).cloned(),
            Some(record) => Some(record.upstream_jobs.as_slice().into()),
            None => Some(DependencyList::default()),
        }
    }

    /// Parses the items of a listing.
    pub fn parse_all(items: Vec<KeyValue>) -> Vec<StoredOpenJob> {
        let parse = |item: KeyValue| StoredOpenJob::parse(&item.key, item.revision, item.data);
        items.into_iter().filter_map(parse).collect()
    }
}

/// An open job record with all dependencies of the job.
pub struct OpenJobWithDependencies {
    /// The record.
    pub job: StoredOpenJob,
    /// The dependencies, from the record or from dependency pages; empty for an unreadable record.
    pub dependencies: DependencyList,
}

/// Reads the dependencies of open jobs that are stored on pages. Omits jobs that are no longer open.
pub async fn read_dependencies(
    node: &Node,
    jobs: Vec<StoredOpenJob>,
) -> Result<Vec<OpenJobWithDependencies>, StateStoreError> {
    let lists = node
        .dependency_lists
        .read(&node.state_store, records(&jobs))
        .await?;
    let with_dependencies = |job: StoredOpenJob| {
        let dependencies = job.dependencies(&lists)?;
        Some(OpenJobWithDependencies { job, dependencies })
    };
    Ok(jobs.into_iter().filter_map(with_dependencies).collect())
}

fn records<'a>(
    jobs: impl IntoIterator<Item = &'a StoredOpenJob>,
) -> impl Iterator<Item = &'a OpenJobRecord> {
    jobs.into_iter().filter_map(|job| job.record.as_ref())
}

/// The longest time that one call of [`PendingJobs::read_lists`] takes. Users wait 2 s for the response to a poll.
const LIST_READ_TIME: Duration = Duration::from_millis(500);

/// Open jobs whose dependency lists may still have to be read.
///
/// Guards against many long lists at once: the reads are paced, and would delay the changes of all other jobs, until the
/// leader's view of the open jobs is too old for it to act.
#[derive(Default)]
pub struct PendingJobs {
    jobs: BTreeMap<JobId, StoredOpenJob>,
}

impl PendingJobs {
    /// Adds jobs that were opened or listed.
    pub fn add(&mut self, jobs: Vec<StoredOpenJob>) {
        self.jobs
            .extend(jobs.into_iter().map(|job| (job.id.clone(), job)));
    }

    /// Removes a job that was closed.
    pub fn remove(&mut self, id: &JobId) {
        self.jobs.remove(id);
    }

    /// Whether the job's dependency list is still to be read.
    pub fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Whether there are no such jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Removes and returns the jobs whose dependencies are known.
    pub fn take_known(&mut self, lists: &DependencyLists) -> Vec<OpenJobWithDependencies> {
        let known = lists.known(self.jobs.keys());
        let mut taken = Vec::new();
        for (id, job) in std::mem::take(&mut self.jobs) {
            match job.dependencies(&known) {
                Some(dependencies) => taken.push(OpenJobWithDependencies { job, dependencies }),
                None => drop(self.jobs.insert(id, job)),
            }
        }
        taken
    }

    /// Reads the missing dependency lists for a limited time; the next call continues with those that are still missing.
    /// Removes jobs that turn out to be no longer open.
    pub async fn read_lists(&mut self, node: &Node) {
        let lists = &node.dependency_lists;
        let read = lists.read(&node.state_store, records(self.jobs.values()));
        if let Ok(Ok(found)) = tokio::time::timeout(LIST_READ_TIME, read).await {
            self.jobs
                .retain(|_, job| job.dependencies(&found).is_some());
        }
    }
}

/// The changes of open job records that a watch request returned. A job is never opened again, so a job that was opened
/// and closed counts as closed only.
pub struct OpenJobChanges {
    /// The jobs that were opened and are still open.
    pub opened: Vec<StoredOpenJob>,
    /// The jobs that were closed.
    pub closed: BTreeSet<JobId>,
}

impl OpenJobChanges {
    /// Sorts the changes by their kind.
    pub fn parse(events: Vec<WatchEvent>) -> OpenJobChanges {
        let mut changes = OpenJobChanges {
            opened: Vec::new(),
            closed: BTreeSet::new(),
        };
        for event in events {
            if let Some(key) = &event.put_key {
                let opened = StoredOpenJob::parse(key, event.revision, event.data);
                changes.opened.extend(opened);
            } else if let Some(key) = &event.deleted_key {
                let closed = key.strip_prefix(OPEN_JOB_PREFIX).map(JobId::from);
                changes.closed.extend(closed);
            }
        }
        let closed = &changes.closed;
        changes.opened.retain(|job| !closed.contains(&job.id));
        changes
    }
}
