//! Dependency lists that are too long for an open job record, on pages of their own.
//!
//! The pages are written before the open record, so nobody ever sees the job with only some of its
//! dependencies. One key stands for the attempt to write them: each page and the open record itself have its
//! revision as a precondition, so that pages of two attempts with different lists never end up under one job.

use super::state_store::{StateStoreClient, StateStoreError, TransactionOutcome};
use crate::ids::{JobId, KeyRevision};
use crate::protocol::state::{Change, KeyValue, Precondition, Transaction};
use crate::storage::records::{
    dependency_list_key, dependency_page_key, open_job_key, terminal_key, OpenJobRecord,
};
use serde_json::Value;

/// What came of writing the pages.
#[must_use = "the open record may be written only with these preconditions"]
pub enum PagesOutcome {
    /// All pages are written; the open record needs these preconditions.
    Written(Vec<Precondition>),
    /// Preconditions failed, these at least: the job is known already, or somebody else submits it.
    Conflict(Vec<String>),
}

/// Writes the pages, at most `max_operations` changes in a transaction.
pub async fn write_pages(
    state_store: &StateStoreClient,
    max_operations: usize,
    id: &JobId,
    pages: &[Vec<JobId>],
) -> Result<PagesOutcome, StateStoreError> {
    let mut preconditions = vec![
        Precondition::absent(open_job_key(id)),
        Precondition::absent(terminal_key(id)),
    ];
    if pages.is_empty() {
        return Ok(PagesOutcome::Written(preconditions));
    }
    let begin = Transaction {
        preconditions: preconditions.clone(),
        changes: vec![Change::put(dependency_list_key(id), pages.len().into())],
    };
    let revision = match state_store.transaction(&begin).await? {
        TransactionOutcome::Applied(store_revision) => KeyRevision(store_revision.0),
        TransactionOutcome::Conflict(failed) => return Ok(PagesOutcome::Conflict(failed)),
    };
    preconditions.push(Precondition {
        key: dependency_list_key(id),
        revision,
    });
    let puts: Vec<Change> = (0..)
        .zip(pages)
        .map(|(number, page)| put_page(id, number, page))
        .collect();
    for changes in puts.chunks(max_operations) {
        let transaction = Transaction {
            preconditions: preconditions.clone(),
            changes: changes.to_vec(),
        };
        let outcome = state_store.transaction(&transaction).await?;
        if let TransactionOutcome::Conflict(failed) = outcome {
            return Ok(PagesOutcome::Conflict(failed));
        }
    }
    Ok(PagesOutcome::Written(preconditions))
}

fn put_page(id: &JobId, number: u32, page: &[JobId]) -> Change {
    let ids = page.iter().map(|id| Value::from(id.as_str()));
    Change::put(dependency_page_key(id, number), ids.collect())
}

/// Adds the dependencies that stand on pages to the record. False: the job is no longer open, and its pages
/// are deleted.
pub async fn read_pages(
    state_store: &StateStoreClient,
    record: &mut OpenJobRecord,
) -> Result<bool, StateStoreError> {
    if record.dependency_pages == 0 {
        return Ok(true);
    }
    let id = record.spec.id.clone();
    let (items, _) = state_store.list(&page_key_prefix(&id)).await?;
    if items.len() < record.dependency_pages as usize {
        let open = state_store.get(&open_job_key(&id)).await?;
        return match open {
            None => Ok(false),
            // Deleted and opened again between two reads: that can't be, so it is read once more.
            Some(_) => Err(StateStoreError::OutcomeUnknown),
        };
    }
    for number in 0..record.dependency_pages {
        let page = find_page(&items, &dependency_page_key(&id, number))?;
        record.upstream_jobs.extend(page);
    }
    Ok(true)
}

fn find_page(items: &[KeyValue], key: &str) -> Result<Vec<JobId>, StateStoreError> {
    let item = items.iter().find(|item| item.key == key);
    let page = item.and_then(|item| serde_json::from_value::<Vec<JobId>>(item.data.clone()).ok());
    page.ok_or_else(|| {
        tracing::error!(key, "unreadable dependency page");
        StateStoreError::OutcomeUnknown
    })
}

fn page_key_prefix(id: &JobId) -> String {
    format!("{}/", dependency_list_key(id))
}
