//! What a leader reads of the jobs: everything as it takes over, and then what changes.

use crate::coordination::leadership::authority::Authority;
use crate::coordination::leadership::recovery::RecoveredState;
use crate::coordination::{Event, OpenJob};
use crate::ids::{JobId, StoreRevision};
use crate::protocol::state::{KeyValue, WatchResponse};
use crate::runtime::clients::dependency_pages;
use crate::runtime::clients::state_store::StateError;
use crate::runtime::{lock, time_of_day_ms, Node};
use crate::storage::records::{
    OpenJobRecord, HINTS_KEY, INTENT_PAGE_PREFIX, MACHINE_PAGE_PREFIX, OPEN_JOB_PREFIX,
    PROGRESS_PREFIX,
};
use crate::time::{Instant, TimeSpan};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Reads everything a new leader needs. All reads come after the leader key was written, so no
/// former leader can add an intent that we miss: its writes are guarded by the old key.
pub(in crate::runtime) async fn inherit(node: &Node) -> Option<(RecoveredState, StoreRevision)> {
    let state = &node.state;
    let (
        (open_jobs, store_revision),
        (progress_records, _),
        (machine_pages, _),
        (intent_pages, _),
        hints,
    ) = tokio::try_join!(
        state.list(OPEN_JOB_PREFIX),
        state.list(PROGRESS_PREFIX),
        state.list(MACHINE_PAGE_PREFIX),
        state.list(INTENT_PAGE_PREFIX),
        state.get(HINTS_KEY),
    )
    .ok()?;
    let open_jobs = read_open(node, open_jobs).await.ok()?;
    let found = RecoveredState {
        open_jobs,
        progress_records,
        intent_pages,
        machine_pages,
        machine_types: lock(&node.machine_types).clone(),
        hints,
        time_of_day_at_zero_ms: time_of_day_ms().saturating_sub(node.now().0.max(0) as u64),
    };
    Some((found, store_revision))
}

async fn read_open(node: &Node, items: Vec<KeyValue>) -> Result<Vec<OpenJob>, StateError> {
    let mut jobs = Vec::new();
    for item in items {
        let record = serde_json::from_value::<OpenJobRecord>(item.data);
        let Ok(mut record) = record else {
            tracing::error!(key = %item.key, "an open job can't be read");
            continue;
        };
        if dependency_pages::is_complete(node, &mut record).await? {
            jobs.push(OpenJob {
                submitted_at: submitted_at(node, &record),
                record,
                revision: item.revision,
            });
        }
    }
    Ok(jobs)
}

/// Hands the leader what has changed. If that fails halfway, the same changes are to be asked for again:
/// each may come twice.
async fn take_in(node: &Node, page: &WatchResponse) -> Result<(), StateError> {
    for events in &page.events {
        if let Some(key) = &events.put {
            let Ok(mut record) = serde_json::from_value::<OpenJobRecord>(events.data.clone())
            else {
                tracing::error!(key, "an open job can't be read");
                continue;
            };
            if !dependency_pages::is_complete(node, &mut record).await? {
                continue;
            }
            let open_job = OpenJob {
                submitted_at: submitted_at(node, &record),
                record,
                revision: events.revision,
            };
            let event = Event::JobOpened(Box::new(open_job));
            node.leader.event(node.now(), event);
        } else if let Some(id) = events
            .delete
            .as_deref()
            .and_then(|k| k.strip_prefix(OPEN_JOB_PREFIX))
        {
            let id = JobId::from(id);
            node.leader.event(node.now(), Event::JobClosed { id });
        }
    }
    Ok(())
}

fn submitted_at(node: &Node, record: &OpenJobRecord) -> Instant {
    let age = time_of_day_ms().saturating_sub(record.at_ms);
    node.now() - TimeSpan(age.min(1 << 50) as i64)
}

/// Follows open jobs, from the epoch of the list that was read. Each answer says what had happened by
/// the time it was asked for: the leader's authority doesn't outlast that by more than the staleness
/// allowed.
pub(in crate::runtime) async fn watch_jobs(
    node: Arc<Node>,
    authority: Arc<Authority>,
    mut since: StoreRevision,
    end: CancellationToken,
) {
    let hold = node.settings.leader.watch_hold;
    let patience = node.settings.leader.watch_patience;
    while !end.is_cancelled() {
        let asked = node.now();
        let events = tokio::select! {
            _ = end.cancelled() => return,
            n = node.state.watch(OPEN_JOB_PREFIX, since, hold, patience) => n,
        };
        let taken = match events {
            Ok(page) => take_in(&node, &page).await.map(|()| page),
            Err(e) => Err(e),
        };
        match taken {
            Ok(page) => {
                let (age_ms, changes) = ((node.now() - asked).0, page.events.len());
                tracing::debug!(since = %since, store_revision = %page.store_revision, age_ms, changes, "open jobs followed");
                since = page.store_revision;
                authority.view_refreshed(asked);
                // Changes come in bunches: a short pause spares requests.
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            Err(e) => {
                // A gap: read the whole list again rather than guess what was missed.
                tokio::time::sleep(Duration::from_millis(300)).await;
                if e == StateError::TooOld || e == StateError::Unclear {
                    let asked = node.now();
                    let listed = match node.state.list(OPEN_JOB_PREFIX).await {
                        Ok((items, store_revision)) => {
                            read_open(&node, items).await.map(|j| (j, store_revision))
                        }
                        Err(e) => Err(e),
                    };
                    if let Ok((jobs, store_revision)) = listed {
                        let age_ms = (node.now() - asked).0;
                        tracing::info!(reason = ?e, since = %since, store_revision = %store_revision, age_ms, jobs = jobs.len(), "open jobs listed again after a gap");
                        node.leader.event(node.now(), Event::OpenJobs(jobs));
                        since = store_revision;
                        authority.view_refreshed(asked);
                    }
                }
            }
        }
    }
}
