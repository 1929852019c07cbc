//! Open job records as read from the state store, before the dependency lists on pages are read.

use super::dependency_lists::ListsByJob;
use super::state_store::StateStoreError;
use crate::ids::{JobId, KeyRevision};
use crate::protocol::state::{KeyValue, WatchEvent};
use crate::runtime::Node;
use crate::storage::records::{OpenJobRecord, OPEN_JOB_PREFIX};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeSet;

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

    /// Parses the items of a listing.
    pub fn parse_all(items: Vec<KeyValue>) -> Vec<StoredOpenJob> {
        let parse = |item: KeyValue| StoredOpenJob::parse(&item.key, item.revision, item.data);
        items.into_iter().filter_map(parse).collect()
    }
}

/// Reads the dependency lists of those of the jobs that have them on pages.
pub async fn read_dependency_lists(
    node: &Node,
    jobs: &[StoredOpenJob],
) -> Result<ListsByJob, StateStoreError> {
    let records = jobs.iter().filter_map(|job| job.record.as_ref());
    node.dependency_lists.read(&node.state_store, records).await
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
