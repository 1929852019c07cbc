//! The leader's view of the open jobs: reads the stored state at failover, then watches the open jobs for
//! changes.

use super::term::TermContext;
use crate::coordination::leadership::recovery::RecoveredState;
use crate::coordination::{Event, OpenJob};
use crate::ids::StoreRevision;
use crate::protocol::state::WatchResponse;
use crate::runtime::clients::open_job_records::{
    read_dependencies, OpenJobChanges, OpenJobWithDependencies, PendingJobs, StoredOpenJob,
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
    let open_jobs = read_dependencies(node, StoredOpenJob::parse_all(open_jobs)).await?;
    let recovered = RecoveredState {
        requested_at,
        open_jobs: to_open_jobs(node, open_jobs),
        progress_records,
        intent_pages,
        machine_pages,
        machine_types: node.catalog.machine_types(),
        hints,
        unix_time_at_zero_ms: unix_time_ms().saturating_sub(node.now().0.max(0) as u64),
    };
    Ok((recovered, store_revision))
}

/// Converts open job records for the scheduler. Omits unreadable records.
fn to_open_jobs(node: &Node, jobs: Vec<OpenJobWithDependencies>) -> Vec<OpenJob> {
    let convert = |open_job: OpenJobWithDependencies| {
        let OpenJobWithDependencies { job, dependencies } = open_job;
        let mut record = job.record?;
        record.upstream_jobs = dependencies.to_vec();
        Some(OpenJob {
            submitted_at: submitted_at(node, &record),
            record,
            revision: job.revision,
        })
    };
    jobs.into_iter().filter_map(convert).collect()
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
    let timeout = node.config.leader.watch_timeout;
    let mut pending = PendingJobs::default();
    while !term.end.is_cancelled() {
        let hold = match pending.is_empty() {
            true => node.config.leader.watch_hold,
            false => TimeSpan::ZERO,
        };
        let requested_at = node.now();
        let response = tokio::select! {
            _ = term.end.cancelled() => return,
            response = node.state_store.watch(OPEN_JOB_PREFIX, since, hold, timeout) => response,
        };
        match response {
            Ok(response) => {
                log_changes(node, since, &response, requested_at);
                since = response.store_revision;
                apply_changes(node, OpenJobChanges::parse(response.events), &mut pending);
                view_refreshed(&term, requested_at);
                open_known_jobs(node, &mut pending);
                if !pending.is_empty() {
                    pending.read_lists(node).await;
                    open_known_jobs(node, &mut pending);
                }
                tokio::time::sleep(WATCH_PAUSE).await;
            }
            Err(error) => {
                tokio::time::sleep(WATCH_RETRY_PAUSE).await;
                if may_have_missed_changes(error) {
                    if let Some(store_revision) = relist_open_jobs(&term, since, error).await {
                        since = store_revision;
                        pending = PendingJobs::default();
                    }
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

/// Passes closed jobs to the scheduler, and adds opened ones to those whose dependencies have to be known first. The
/// leader's view is complete then: only a closed job must not go on, and none of an opened job's tasks runs yet.
fn apply_changes(node: &Node, changes: OpenJobChanges, pending: &mut PendingJobs) {
    for id in changes.closed {
        pending.remove(&id);
        let closed = Event::JobClosed { id };
        node.leadership.handle_event(node.now(), closed);
    }
    pending.add(changes.opened);
}

/// Passes those opened jobs to the scheduler whose dependencies are known.
fn open_known_jobs(node: &Node, pending: &mut PendingJobs) {
    let known = pending.take_known(&node.dependency_lists);
    for job in to_open_jobs(node, known) {
        let opened = Event::JobOpened(Box::new(job));
        node.leadership.handle_event(node.now(), opened);
    }
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
    let jobs = read_dependencies(node, listed).await.ok()?;
    let jobs = to_open_jobs(node, jobs);
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
