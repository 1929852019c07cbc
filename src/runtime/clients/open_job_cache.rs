//! A cache of the open jobs with coalesced reads: one read of the state store serves all lookups that were requested
//! before the read was sent. Hundreds of users poll every few seconds; one or two reads for each poll would exceed the
//! state store's rate limit.
//!
//! Lookups are linearizable: each waits for a read that starts after the lookup, and never returns an older state.

use super::dependency_lists::DependencyList;
use super::open_job_records::{
    read_dependencies, OpenJobChanges, OpenJobWithDependencies, PendingJobs, StoredOpenJob,
};
use super::state_store::StateStoreError;
use crate::ids::{JobId, KeyRevision, StoreRevision};
use crate::protocol::state::KeyValue;
use crate::runtime::{lock, Node};
use crate::storage::records::OPEN_JOB_PREFIX;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{oneshot, Notify};

/// The parts of an open job record that users' requests need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenJobSummary {
    /// The revision of the open job record.
    pub revision: KeyRevision,
    /// The number of tasks of the job.
    pub tasks: u32,
    /// The upstream jobs that the job depends on directly.
    pub dependencies: DependencyList,
}

/// An open job, with those of its direct and indirect upstream jobs that are no longer open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenJob {
    /// The revision of the open job record.
    pub revision: KeyRevision,
    /// The number of tasks of the job.
    pub tasks: u32,
    /// Upstream jobs that are no longer open; if a terminal record of theirs is a cancellation, the job counts as
    /// cancelled.
    pub closed_upstream: Vec<JobId>,
}

type LookupResult = Result<Option<OpenJob>, StateStoreError>;

/// A lookup that waits for the next read of the state store.
struct PendingLookup {
    id: JobId,
    response: oneshot::Sender<LookupResult>,
}

/// The interface for lookups, with those pending. The cached jobs themselves are owned by the [`refresh`] task.
#[derive(Default)]
pub struct OpenJobCache {
    pending: Mutex<Vec<PendingLookup>>,
    requested: Notify,
    /// Whether all open jobs have been listed once.
    listed: AtomicBool,
}

impl OpenJobCache {
    /// Looks up an open job in a read that starts after this call; None if the job is not open.
    pub async fn lookup(&self, id: &JobId) -> LookupResult {
        let (response, received) = oneshot::channel();
        lock(&self.pending).push(PendingLookup {
            id: id.clone(),
            response,
        });
        self.requested.notify_one();
        received.await.unwrap_or(Err(StateStoreError::NotExecuted))
    }

    /// Whether all open jobs have been listed since this controller started.
    pub fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
    }

    fn take_pending(&self) -> Vec<PendingLookup> {
        std::mem::take(&mut *lock(&self.pending))
    }
}

/// The fraction of the state store's request rate limit that all controllers together use for these reads.
const REQUEST_RATE_SHARE: f64 = 0.35;
/// Bounds of the pause between two reads, in seconds.
const MIN_READ_SPACING_SECS: f64 = 0.03;
const MAX_READ_SPACING_SECS: f64 = 0.5;
/// The interval between reads while there are no lookups, so that the cache never falls far behind.
const IDLE_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the cache up to date and completes pending lookups until the controller stops.
pub async fn refresh(node: Arc<Node>) {
    let spacing = read_spacing(&node);
    let mut jobs = CachedJobs::default();
    loop {
        // The first list is needed at once: this controller can't campaign for the leadership without it.
        if jobs.is_complete() {
            let requested = node.open_jobs.requested.notified();
            tokio::select! {
                _ = node.stop.cancelled() => return,
                _ = tokio::time::timeout(IDLE_READ_INTERVAL, requested) => {}
            }
        }
        let lookups = node.open_jobs.take_pending();
        // The read is sent after these lookups were requested, so its result is linearizable for them.
        let outcome = jobs.update(&node).await;
        if jobs.is_complete() {
            node.open_jobs.listed.store(true, Ordering::Relaxed);
        }
        for lookup in lookups {
            let result = outcome.and_then(|()| jobs.open_job(&lookup.id));
            let _ = lookup.response.send(result);
        }
        tokio::select! {
            _ = node.stop.cancelled() => return,
            _ = tokio::time::sleep(spacing) => {}
        }
    }
}

/// Returns the pause between two reads that keeps all controllers together within [`REQUEST_RATE_SHARE`].
fn read_spacing(node: &Node) -> Duration {
    let controllers = node.peers.len() as f64 + 1.0;
    let request_rate = node.policy.facts.state.rps * REQUEST_RATE_SHARE;
    let spacing_secs = controllers / request_rate;
    Duration::from_secs_f64(spacing_secs.clamp(MIN_READ_SPACING_SECS, MAX_READ_SPACING_SECS))
}

impl OpenJobSummary {
    /// Creates the summary of an open job record, and reads its dependency list if that is stored on pages. None if the
    /// job is no longer open.
    pub async fn read(
        node: &Node,
        item: KeyValue,
    ) -> Result<Option<OpenJobSummary>, StateStoreError> {
        let jobs = read_dependencies(node, StoredOpenJob::parse_all(vec![item])).await?;
        Ok(jobs.into_iter().next().map(OpenJobSummary::of))
    }

    /// A record that can't be parsed yields a summary without dependencies, since the job is open nevertheless.
    fn of(open_job: OpenJobWithDependencies) -> OpenJobSummary {
        let OpenJobWithDependencies { job, dependencies } = open_job;
        OpenJobSummary {
            revision: job.revision,
            tasks: job.record.map_or_else(
                || tasks_of_unreadable_record(&job.data),
                |record| record.spec.tasks,
            ),
            dependencies,
        }
    }
}

fn tasks_of_unreadable_record(data: &Value) -> u32 {
    let tasks = data.pointer("/spec/pieces").and_then(Value::as_u64);
    tasks.and_then(|n| u32::try_from(n).ok()).unwrap_or(1)
}

/// The open jobs as of one store revision.
#[derive(Default)]
struct CachedJobs {
    open: BTreeMap<JobId, OpenJobSummary>,
    /// Jobs that are open, and whose dependencies are not known yet.
    pending: PendingJobs,
    /// None if all open jobs have to be listed again.
    store_revision: Option<StoreRevision>,
}

impl CachedJobs {
    /// Whether all open jobs and their dependencies as of the store revision are known.
    fn is_complete(&self) -> bool {
        self.store_revision.is_some() && self.pending.is_empty()
    }

    /// Reads the changes since the last update, or all open jobs, and some of the dependency lists that are missing.
    async fn update(&mut self, node: &Node) -> Result<(), StateStoreError> {
        let since = match self.store_revision {
            Some(store_revision) => store_revision,
            None => self.list(node).await?,
        };
        let page = match node.state_store.changes(OPEN_JOB_PREFIX, since).await {
            Ok(page) => page,
            Err(error) => {
                // All open jobs are listed again after a compaction, and also if the failed read was to complete a
                // new list: its pages may be of different revisions, and the store revision is still unset.
                let compacted = error == StateStoreError::RevisionCompacted;
                self.store_revision = self.store_revision.filter(|_| !compacted);
                return Err(error);
            }
        };
        self.apply(node, OpenJobChanges::parse(page.events));
        self.store_revision = Some(page.store_revision);
        self.pending.read_lists(node).await;
        for job in self.pending.take_known(&node.dependency_lists) {
            let id = job.job.id.clone();
            self.open.insert(id, OpenJobSummary::of(job));
        }
        self.forget_closed_lists(node);
        Ok(())
    }

    /// Replaces the cache with a list of all open jobs. Changes after the returned revision still have to be read,
    /// since the pages of the list may be of different revisions.
    async fn list(&mut self, node: &Node) -> Result<StoreRevision, StateStoreError> {
        let (items, store_revision) = node.state_store.list(OPEN_JOB_PREFIX).await?;
        self.open.clear();
        self.pending = PendingJobs::default();
        self.pending.add(StoredOpenJob::parse_all(items));
        Ok(store_revision)
    }

    /// Applies changes of open job records.
    fn apply(&mut self, node: &Node, changes: OpenJobChanges) {
        for id in &changes.closed {
            self.open.remove(id);
            self.pending.remove(id);
            node.dependency_lists.remove(id);
        }
        self.pending.add(changes.opened);
    }

    /// Forgets the dependency lists of closed jobs. The leader may have read some after their jobs were closed here.
    fn forget_closed_lists(&self, node: &Node) {
        if node.dependency_lists.len() > self.open.len() {
            let is_open = |id: &JobId| self.open.contains_key(id) || self.pending.contains(id);
            node.dependency_lists.retain(is_open);
        }
    }

    /// Returns the job with its closed upstream jobs; None if it is not open. Fails while dependencies are unknown. Each
    /// upstream job is visited once, even if several paths lead to it.
    fn open_job(&self, id: &JobId) -> LookupResult {
        if self.pending.contains(id) {
            return Err(StateStoreError::NotExecuted);
        }
        let Some(summary) = self.open.get(id) else {
            return Ok(None);
        };
        let mut visited: BTreeSet<&JobId> = BTreeSet::new();
        let mut to_visit: Vec<&JobId> = summary.dependencies.iter().collect();
        let mut closed_upstream = Vec::new();
        while let Some(upstream) = to_visit.pop() {
            if !visited.insert(upstream) {
                continue;
            }
            match self.open.get(upstream) {
                Some(open) => to_visit.extend(open.dependencies.iter()),
                None if self.pending.contains(upstream) => {
                    return Err(StateStoreError::NotExecuted)
                }
                None => closed_upstream.push(upstream.clone()),
            }
        }
        Ok(Some(OpenJob {
            revision: summary.revision,
            tasks: summary.tasks,
            closed_upstream,
        }))
    }
}
