//! Pages for dependency lists that are too long for an open job record.
//!
//! The pages are written before the open record, so no reader sees the job with only some of its dependencies.
//! Each attempt to write them first writes the list key. The transactions that write the pages and the open record
//! all have the revision of that key as a precondition, so pages of two attempts with different lists are never mixed
//! under one job.

use super::state_store::{StateStoreClient, StateStoreError, TransactionOutcome};
use crate::ids::{JobId, KeyRevision};
use crate::protocol::state::{Change, KeyValue, Precondition, Transaction};
use crate::storage::records::{
    dependency_list_key, dependency_page_key, open_job_key, terminal_key, OpenJobRecord,
};
use serde_json::Value;

/// The outcome of writing the dependency pages.
#[must_use = "the open record may be written only with these preconditions"]
pub enum PagesOutcome {
    /// All pages are written; the transaction that writes the open record must have these preconditions.
    Written(Vec<Precondition>),
    /// Preconditions on at least these keys failed: the job was accepted earlier, or is being submitted by another
    /// request.
    Conflict(Vec<String>),
}

/// Writes the dependency pages, with at most `max_operations` changes in a transaction.
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
    let create_list = Transaction {
        preconditions: preconditions.clone(),
        changes: vec![Change::put(dependency_list_key(id), pages.len().into())],
    };
    let revision = match state_store.transaction(&create_list).await? {
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

/// Adds the dependencies from the job's pages to the record. Returns false if pages are missing because the job is no
/// longer open.
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
            // A job is never opened again after its pages are deleted, so the two reads contradict each other and
            // the caller has to read again.
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
