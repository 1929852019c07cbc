//! What a leader reads of the jobs: everything at failover, and then what changes.

use super::term::Term;
use crate::coordination::leadership::recovery::RecoveredState;
use crate::coordination::{Event, OpenJob};
use crate::ids::{JobId, StoreRevision};
use crate::protocol::state::{KeyValue, WatchEvent, WatchResponse};
use crate::runtime::clients::dependency_pages;
use crate::runtime::clients::state_store::StateStoreError;
use crate::runtime::{unix_time_ms, Node};
use crate::storage::records::{
    OpenJobRecord, HINTS_KEY, INTENT_PAGE_PREFIX, MACHINE_PAGE_PREFIX, OPEN_JOB_PREFIX,
    PROGRESS_PREFIX,
};
use crate::time::{Instant, TimeSpan};
use std::time::Duration;

/// Pause after a watch response: changes come in bunches, and a short pause spares requests.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a failed watch.
const WATCH_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Jobs count as submitted at most this long ago, whatever their records say.
const MAX_JOB_AGE_MS: u64 = 1 << 50;

/// Reads everything a new leader needs. All reads come after the leader key was written, so no former leader
/// can add an intent that we miss: its writes have the old key as a precondition. None if any read fails.
pub async fn read_recovered_state(node: &Node) -> Option<(RecoveredState, StoreRevision)> {
    let store = &node.state_store;
    let (
        (open_jobs, store_revision),
        (progress_records, _),
        (machine_pages, _),
        (intent_pages, _),
        hints,
    ) = tokio::try_join!(
        store.list(OPEN_JOB_PREFIX),
        store.list(PROGRESS_PREFIX),
        store.list(MACHINE_PAGE_PREFIX),
        store.list(INTENT_PAGE_PREFIX),
        store.get(HINTS_KEY),
    )
    .ok()?;
    let recovered = RecoveredState {
        open_jobs: read_open_jobs(node, open_jobs).await.ok()?,
        progress_records,
        intent_pages,
        machine_pages,
        machine_types: node.catalog.machine_types(),
        hints,
        unix_time_at_zero_ms: unix_time_ms().saturating_sub(node.now().0.max(0) as u64),
    };
    Some((recovered, store_revision))
}

async fn read_open_jobs(
    node: &Node,
    items: Vec<KeyValue>,
) -> Result<Vec<OpenJob>, StateStoreError> {
    let mut jobs = Vec::new();
    for item in items {
        let Ok(mut record) = serde_json::from_value::<OpenJobRecord>(item.data) else {
            tracing::error!(key = %item.key, "unreadable open job record");
            continue;
        };
        if dependency_pages::read_pages(&node.state_store, &mut record).await? {
            jobs.push(OpenJob {
                submitted_at: submitted_at(node, &record),
                record,
                revision: item.revision,
            });
        }
    }
    Ok(jobs)
}

fn submitted_at(node: &Node, record: &OpenJobRecord) -> Instant {
    let age_ms = unix_time_ms().saturating_sub(record.accepted_at_ms);
    node.now() - TimeSpan(age_ms.min(MAX_JOB_AGE_MS) as i64)
}

/// Watches the open jobs from the revision of the list that was read, until the term ends. Each response says
/// what had happened by the time it was asked for: the leader's authority doesn't outlast that by more than the
/// staleness allowed.
pub async fn run(term: Term, mut since: StoreRevision) {
    let node = &term.node;
    let hold = node.config.leader.watch_hold;
    let timeout = node.config.leader.watch_timeout;
    while !term.end.is_cancelled() {
        let asked_at = node.now();
        let response = tokio::select! {
            _ = term.end.cancelled() => return,
            response = node.state_store.watch(OPEN_JOB_PREFIX, since, hold, timeout) => response,
        };
        match take_in(node, response).await {
            Ok(page) => {
                log_watch_response(node, since, &page, asked_at);
                since = page.store_revision;
                term.authority.view_refreshed(asked_at);
                tokio::time::sleep(WATCH_PAUSE).await;
            }
            Err(error) => {
                tokio::time::sleep(WATCH_RETRY_PAUSE).await;
                if is_gap(error) {
                    since = list_again(&term, since, error).await.unwrap_or(since);
                }
            }
        }
    }
}

fn log_watch_response(node: &Node, since: StoreRevision, page: &WatchResponse, asked_at: Instant) {
    tracing::debug!(
        %since,
        store_revision = %page.store_revision,
        age_ms = (node.now() - asked_at).0,
        changes = page.events.len(),
        "open job changes received"
    );
}

/// Hands the scheduler what has changed. If that fails halfway, the same changes are read again: each may come
/// twice.
async fn take_in(
    node: &Node,
    response: Result<WatchResponse, StateStoreError>,
) -> Result<WatchResponse, StateStoreError> {
    let page = response?;
    for change in &page.events {
        if let Some(key) = &change.put_key {
            take_in_open_job(node, key, change).await?;
        } else if let Some(id) = change
            .deleted_key
            .as_deref()
            .and_then(|key| key.strip_prefix(OPEN_JOB_PREFIX))
        {
            let id = JobId::from(id);
            let closed = Event::JobClosed { id };
            node.leadership.handle_event(node.now(), closed);
        }
    }
    Ok(page)
}

async fn take_in_open_job(
    node: &Node,
    key: &str,
    change: &WatchEvent,
) -> Result<(), StateStoreError> {
    let Ok(mut record) = serde_json::from_value::<OpenJobRecord>(change.data.clone()) else {
        tracing::error!(key, "unreadable open job record");
        return Ok(());
    };
    if dependency_pages::read_pages(&node.state_store, &mut record).await? {
        let opened = Event::JobOpened(Box::new(OpenJob {
            submitted_at: submitted_at(node, &record),
            record,
            revision: change.revision,
        }));
        node.leadership.handle_event(node.now(), opened);
    }
    Ok(())
}

/// Whether changes may have been missed for good.
fn is_gap(error: StateStoreError) -> bool {
    matches!(
        error,
        StateStoreError::RevisionCompacted | StateStoreError::OutcomeUnknown
    )
}

/// Reads the whole list again rather than guess what was missed; the revision from which the watch goes on, or
/// None if the list can't be read.
async fn list_again(
    term: &Term,
    since: StoreRevision,
    reason: StateStoreError,
) -> Option<StoreRevision> {
    let node = &term.node;
    let asked_at = node.now();
    let (items, store_revision) = node.state_store.list(OPEN_JOB_PREFIX).await.ok()?;
    let jobs = read_open_jobs(node, items).await.ok()?;
    tracing::info!(
        ?reason,
        %since,
        %store_revision,
        age_ms = (node.now() - asked_at).0,
        jobs = jobs.len(),
        "open jobs listed again"
    );
    let listed = Event::OpenJobsListed(jobs);
    node.leadership.handle_event(node.now(), listed);
    term.authority.view_refreshed(asked_at);
    Some(store_revision)
}
