//! Lists of producers that are too long for an open record, on pages of their own.
//!
//! The pages are written before the open record, so nobody ever sees the job with only some of its
//! producers. One key stands for the attempt: each page and the open record itself are guarded by its
//! version, so that pages of two attempts with different lists never end up under one job.

use crate::ids::{JobId, KeyRevision};
use crate::protocol::state::{Change, Precondition, Transaction};
use crate::runtime::clients::state_store::{StateError, TxnOutcome};
use crate::runtime::Node;
use crate::storage::records::{
    dependency_list_key, dependency_page_key, open_key, terminal_key, OpenJobRecord,
};
use serde_json::Value;

/// Writes the pages; the guards that the open record needs are what it answers with.
pub(in crate::runtime) async fn write_pages(
    node: &Node,
    id: &JobId,
    pages: &[Vec<JobId>],
) -> Result<Result<Vec<Precondition>, TxnOutcome>, StateError> {
    let mut preconditions = vec![absent(open_key(id)), absent(terminal_key(id))];
    if pages.is_empty() {
        return Ok(Ok(preconditions));
    }
    let begin = Transaction {
        preconditions: preconditions.clone(),
        changes: vec![Change::put(dependency_list_key(id), pages.len().into())],
    };
    let revision = match node.state.transaction(&begin).await? {
        TxnOutcome::Applied(store_revision) => KeyRevision(store_revision.0),
        conflict => return Ok(Err(conflict)),
    };
    preconditions.push(Precondition {
        key: dependency_list_key(id),
        revision,
    });
    let puts: Vec<Change> = (0..)
        .zip(pages)
        .map(|(n, page)| put_page(id, n, page))
        .collect();
    for changes in puts.chunks(node.policy.facts.state.txn_ops) {
        let transaction = Transaction {
            preconditions: preconditions.clone(),
            changes: changes.to_vec(),
        };
        if let conflict @ TxnOutcome::Conflict(_) = node.state.transaction(&transaction).await? {
            return Ok(Err(conflict));
        }
    }
    Ok(Ok(preconditions))
}

fn put_page(id: &JobId, number: u32, page: &[JobId]) -> Change {
    let names = page.iter().map(|p| Value::from(p.as_str()));
    Change::put(dependency_page_key(id, number), names.collect())
}

fn absent(key: String) -> Precondition {
    Precondition {
        key,
        revision: KeyRevision(0),
    }
}

/// Reads the producers that stand on pages. False: the job is no longer open, and its pages are swept.
pub(in crate::runtime) async fn is_complete(
    node: &Node,
    record: &mut OpenJobRecord,
) -> Result<bool, StateError> {
    if record.dependency_pages == 0 {
        return Ok(true);
    }
    let id = record.spec.id.clone();
    let (items, _) = node.state.list(&edge_page_key_prefix(&id)).await?;
    if items.len() < record.dependency_pages as usize {
        let open = node.state.get(&open_key(&id)).await?;
        return match open {
            None => Ok(false),
            // Swept and opened again between two reads: that can't be, so it is read once more.
            Some(_) => Err(StateError::Unclear),
        };
    }
    for page in 0..record.dependency_pages {
        let key = dependency_page_key(&id, page);
        let item = items.iter().find(|i| i.key == key);
        let names = item.and_then(|i| serde_json::from_value::<Vec<JobId>>(i.data.clone()).ok());
        let Some(names) = names else {
            tracing::error!(key, "a page of producers can't be read");
            return Err(StateError::Unclear);
        };
        record.after.extend(names);
    }
    Ok(true)
}

fn edge_page_key_prefix(id: &JobId) -> String {
    format!("{}/", dependency_list_key(id))
}
