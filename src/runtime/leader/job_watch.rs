//! The leader's view of the open jobs: reads the stored state at failover, then watches the open jobs for
//! changes.

use super::term::TermContext;
use crate::coordination::leadership::recovery::RecoveredState;
use crate::coordination::{Event, OpenJob};
use crate::ids::StoreRevision;
use crate::protocol::state::WatchResponse;
use crate::runtime::clients::open_job_records::{
    read_dependency_lists, OpenJobChanges, StoredOpenJob,
};
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

/// Reads the state that a new leader recovers from. The leader key was written before these reads, so they miss no launch
/// intent of a former leader: its writes have the previous revision of the leader key as a precondition.
pub async fn read_recovered_state(
    node: &Node,
) -> Result<(RecoveredState, StoreRevision), StateStoreError> {
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
        store.get_persistently(HINTS_KEY),
    )?;
    let open_jobs = StoredOpenJob::parse_all(open_jobs);
    let recovered = RecoveredState {
        requested_at,
        open_jobs: with_dependencies(node, open_jobs).await?,
        progress_records,
        intent_pages,
        machine_pages,
        machine_types: node.catalog.machine_types(),
        hints,
        unix_time_at_zero_ms: unix_time_ms().saturating_sub(node.now().0.max(0) as u64),
    };
    Ok((recovered, store_revision))
}

/// Returns the open jobs with their dependencies, also those that are stored on pages. Omits jobs that are no longer open,
/// and unreadable records.
async fn with_dependencies(
    node: &Node,
    jobs: Vec<StoredOpenJob>,
) -> Result<Vec<OpenJob>, StateStoreError> {
    let lists = read_dependency_lists(node, &jobs).await?;
    let with_dependencies = |job: StoredOpenJob| {
        let mut record = job.record?;
        if record.dependency_pages > 0 {
            let list = lists.get(&job.id)?;
            record.upstream_jobs.extend(list.iter().cloned());
        }
        Some(OpenJob {
            submitted_at: submitted_at(node, &record),
            record,
            revision: job.revision,
        })
    };
    Ok(jobs.into_iter().filter_map(with_dependencies).collect())
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
            Ok(applied) => {
                log_changes(node, since, &applied, requested_at);
                since = applied.store_revision;
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

fn log_changes(node: &Node, since: StoreRevision, applied: &AppliedChanges, requested_at: Instant) {
    tracing::debug!(
        %since,
        store_revision = %applied.store_revision,
        age_ms = (node.now() - requested_at).0,
        changes = applied.change_count,
        "open job changes received"
    );
}

/// The changes in a watch response that were passed to the scheduler.
struct AppliedChanges {
    store_revision: StoreRevision,
    change_count: usize,
}

/// Passes the changes in a watch response to the scheduler. After a failure partway through, the same changes
/// are read again, so the scheduler may receive a change twice.
async fn apply_changes(
    node: &Node,
    response: Result<WatchResponse, StateStoreError>,
) -> Result<AppliedChanges, StateStoreError> {
    let mut response = response?;
    let change_count = response.events.len();
    let changes = OpenJobChanges::parse(std::mem::take(&mut response.events));
    // Cancellations don't wait for the dependency lists of other jobs.
    for id in changes.closed {
        let closed = Event::JobClosed { id };
        node.leadership.handle_event(node.now(), closed);
    }
    for job in with_dependencies(node, changes.opened).await? {
        let opened = Event::JobOpened(Box::new(job));
        node.leadership.handle_event(node.now(), opened);
    }
    Ok(AppliedChanges {
        store_revision: response.store_revision,
        change_count,
    })
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
    let listed = StoredOpenJob::parse_all(items);
    let jobs = with_dependencies(node, listed).await.ok()?;
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
