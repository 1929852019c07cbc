//! The leader's view of the open jobs: reads the stored state at failover, then watches the open jobs for
//! changes.

use super::term::TermContext;
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

/// Pause after a watch response: changes come in bursts, and a short pause saves requests.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a failed watch request.
const WATCH_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Upper bound of a job's age, whatever submission time is in its record.
const MAX_JOB_AGE_MS: u64 = 1 << 50;

/// Reads the state that a new leader recovers from; None if any read fails. The leader key was written before
/// these reads, so they miss no launch intent of a former leader: its writes have the previous revision of the
/// leader key as a precondition.
pub async fn read_recovered_state(node: &Node) -> Option<(RecoveredState, StoreRevision)> {
    let store = &node.state_store;
    let requested_at = node.now();
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
        requested_at,
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

/// Watches the open jobs until the term ends, starting at `since`, the store revision of the list that was
/// read. A response covers all changes up to the time of its request; the leader's authority ends
/// `max_staleness` after that time at the latest.
pub async fn run(term: TermContext, mut since: StoreRevision) {
    let node = &term.node;
    let hold = node.config.leader.watch_hold;
    let timeout = node.config.leader.watch_timeout;
    while !term.end.is_cancelled() {
        let requested_at = node.now();
        let response = tokio::select! {
            _ = term.end.cancelled() => return,
            response = node.state_store.watch(OPEN_JOB_PREFIX, since, hold, timeout) => response,
        };
        match apply_changes(node, response).await {
            Ok(response) => {
                log_changes(node, since, &response, requested_at);
                since = response.store_revision;
                view_refreshed(&term, requested_at);
                tokio::time::sleep(WATCH_PAUSE).await;
            }
            Err(error) => {
                tokio::time::sleep(WATCH_RETRY_PAUSE).await;
                if may_have_missed_changes(error) {
                    since = relist_open_jobs(&term, since, error).await.unwrap_or(since);
                }
            }
        }
    }
}

/// Records that the scheduler has received all changes up to a request at `requested_at`.
fn view_refreshed(term: &TermContext, requested_at: Instant) {
    let node = &term.node;
    let refreshed = Event::ViewRefreshed { requested_at };
    node.leadership.handle_event(node.now(), refreshed);
    term.authority.view_refreshed(requested_at);
}

fn log_changes(node: &Node, since: StoreRevision, response: &WatchResponse, requested_at: Instant) {
    tracing::debug!(
        %since,
        store_revision = %response.store_revision,
        age_ms = (node.now() - requested_at).0,
        changes = response.events.len(),
        "open job changes received"
    );
}

/// Passes the changes in a watch response to the scheduler. After a failure partway through, the same changes
/// are read again, so the scheduler may receive a change twice.
async fn apply_changes(
    node: &Node,
    response: Result<WatchResponse, StateStoreError>,
) -> Result<WatchResponse, StateStoreError> {
    let response = response?;
    for change in &response.events {
        if let Some(key) = &change.put_key {
            apply_open_job(node, key, change).await?;
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
    Ok(response)
}

async fn apply_open_job(
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

/// Whether the watch may have missed changes permanently.
fn may_have_missed_changes(error: StateStoreError) -> bool {
    matches!(
        error,
        StateStoreError::RevisionCompacted | StateStoreError::OutcomeUnknown
    )
}

/// Lists all open jobs again, since it is unknown which changes were missed. Returns the store revision from
/// which the watch continues, or None if the list can't be read.
async fn relist_open_jobs(
    term: &TermContext,
    since: StoreRevision,
    reason: StateStoreError,
) -> Option<StoreRevision> {
    let node = &term.node;
    let requested_at = node.now();
    let (items, store_revision) = node.state_store.list(OPEN_JOB_PREFIX).await.ok()?;
    let jobs = read_open_jobs(node, items).await.ok()?;
    tracing::info!(
        ?reason,
        %since,
        %store_revision,
        age_ms = (node.now() - requested_at).0,
        jobs = jobs.len(),
        "open jobs listed again"
    );
    let listed = Event::OpenJobsListed(jobs);
    node.leadership.handle_event(node.now(), listed);
    view_refreshed(term, requested_at);
    Some(store_revision)
}
