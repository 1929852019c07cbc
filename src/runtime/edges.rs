//! Lists of producers that are too long for an open record, on pages of their own.
//!
//! The pages are written before the open record, so nobody ever sees the job with only some of its
//! producers. One key stands for the attempt: each page and the open record itself are guarded by its
//! version, so that pages of two attempts with different lists never end up under one job.

use super::state_client::{StateError, TxnOutcome};
use super::Node;
use crate::ids::{JobId, Stamp};
use crate::protocol::state::{Change, Guard, Txn};
use crate::storage::records::{edge_list_key, edge_page_key, final_key, open_key, OpenRecord};
use serde_json::Value;

/// Writes the pages; the guards that the open record needs are what it answers with.
pub(super) async fn write_pages(
    node: &Node,
    id: &JobId,
    pages: &[Vec<JobId>],
) -> Result<Result<Vec<Guard>, TxnOutcome>, StateError> {
    let mut guards = vec![absent(open_key(id)), absent(final_key(id))];
    if pages.is_empty() {
        return Ok(Ok(guards));
    }
    let begin = Txn {
        guards: guards.clone(),
        apply: vec![Change::put(edge_list_key(id), pages.len().into())],
    };
    let stamp = match node.state.txn(&begin).await? {
        TxnOutcome::Applied(epoch) => Stamp(epoch.0),
        conflict => return Ok(Err(conflict)),
    };
    guards.push(Guard {
        key: edge_list_key(id),
        stamp,
    });
    let puts: Vec<Change> = (0..)
        .zip(pages)
        .map(|(n, page)| put_page(id, n, page))
        .collect();
    for apply in puts.chunks(node.policy.facts.state.txn_ops) {
        let txn = Txn {
            guards: guards.clone(),
            apply: apply.to_vec(),
        };
        if let conflict @ TxnOutcome::Conflict(_) = node.state.txn(&txn).await? {
            return Ok(Err(conflict));
        }
    }
    Ok(Ok(guards))
}

fn put_page(id: &JobId, number: u32, page: &[JobId]) -> Change {
    let names = page.iter().map(|p| Value::from(p.as_str()));
    Change::put(edge_page_key(id, number), names.collect())
}

fn absent(key: String) -> Guard {
    Guard {
        key,
        stamp: Stamp(0),
    }
}

/// Reads the producers that stand on pages. False: the job is no longer open, and its pages are swept.
pub(super) async fn complete(node: &Node, record: &mut OpenRecord) -> Result<bool, StateError> {
    if record.edge_pages == 0 {
        return Ok(true);
    }
    let id = record.spec.id.clone();
    let (items, _) = node.state.list(&edge_page_key_prefix(&id)).await?;
    if items.len() < record.edge_pages as usize {
        let open = node.state.get(&open_key(&id)).await?;
        return match open {
            None => Ok(false),
            // Swept and opened again between two reads: that can't be, so it is read once more.
            Some(_) => Err(StateError::Unclear),
        };
    }
    for page in 0..record.edge_pages {
        let key = edge_page_key(&id, page);
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
    format!("{}/", edge_list_key(id))
}
