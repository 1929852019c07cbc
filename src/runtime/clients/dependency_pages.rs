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
    dependency_list_key, dependency_page_key, open_job_key, parse_dependency_page_key, terminal_key,
};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

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

/// One dependency page as listed by the state store.
pub struct DependencyPage {
    /// The job whose dependencies the page lists.
    pub job: JobId,
    /// The number of the page.
    pub number: u32,
    /// The dependencies on this page.
    pub dependencies: Vec<JobId>,
}

impl DependencyPage {
    /// Parses a listed item; None for the key of a dependency list, which comes before the list's pages.
    pub fn parse(item: &KeyValue) -> Result<Option<DependencyPage>, StateStoreError> {
        let Some((job, number)) = parse_dependency_page_key(&item.key) else {
            return Ok(None);
        };
        let dependencies = Vec::<JobId>::deserialize(&item.data).map_err(|error| {
            tracing::error!(key = %item.key, %error, "unreadable dependency page");
            StateStoreError::OutcomeUnknown
        })?;
        Ok(Some(DependencyPage {
            job,
            number,
            dependencies,
        }))
    }
}

/// Reads the dependencies on a job's pages. None if pages are missing because the job is no longer open.
pub async fn read_pages(
    state_store: &StateStoreClient,
    id: &JobId,
    page_count: u32,
) -> Result<Option<Vec<JobId>>, StateStoreError> {
    let (items, _) = state_store.list(&page_key_prefix(id)).await?;
    let mut pages = BTreeMap::new();
    for item in items {
        let page = DependencyPage::parse(&item)?;
        pages.extend(page.map(|page| (page.number, page.dependencies)));
    }
    pages.retain(|number, _| *number < page_count);
    if pages.len() == page_count as usize {
        return Ok(Some(pages.into_values().flatten().collect()));
    }
    match state_store.get(&open_job_key(id)).await? {
        None => Ok(None),
        // A job is never opened again after its pages are deleted, so the two reads contradict each other and the
        // caller has to read again.
        Some(_) => Err(StateStoreError::OutcomeUnknown),
    }
}

fn page_key_prefix(id: &JobId) -> String {
    format!("{}/", dependency_list_key(id))
}

/// Returns a key that comes after those of all pages of the job, and not after those of other jobs that follow.
pub fn key_after_pages(id: &JobId) -> String {
    const CHARACTER_AFTER_SLASH: char = '0';
    format!("{}{CHARACTER_AFTER_SLASH}", dependency_list_key(id))
}
