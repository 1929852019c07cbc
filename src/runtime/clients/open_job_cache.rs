//! This controller's cache of the open jobs: one read of the state store serves every lookup that was asked
//! for before the read was sent (coalesced reads). Hundreds of users ask every few seconds; a read or two for
//! each would use up what the state store allows.
//!
//! Lookups are linearizable: each waits for the next read that begins after it, and is never answered from an
//! older state.

use super::dependency_pages;
use super::state_store::{StateStoreClient, StateStoreError};
use crate::ids::{JobId, KeyRevision, StoreRevision};
use crate::runtime::{lock, Node};
use crate::storage::records::{OpenJobRecord, OPEN_JOB_PREFIX};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{oneshot, Notify};

/// What is kept of an open job record: as much as users' requests need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenJobSummary {
    /// The revision of the open job record.
    pub revision: KeyRevision,
    /// How many tasks the job has.
    pub tasks: u32,
    /// The upstream jobs that it depends on directly.
    pub dependencies: Vec<JobId>,
}

/// An open job, and those of its direct and indirect upstream jobs that are closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenJob {
    /// The revision of the open job record.
    pub revision: KeyRevision,
    /// How many tasks the job has.
    pub tasks: u32,
    /// Upstream jobs that are no longer open: their terminal records say whether the job is cancelled with
    /// them.
    pub closed_upstream: Vec<JobId>,
}

type LookupResult = Result<Option<OpenJob>, StateStoreError>;

/// A lookup that waits for the next read.
struct PendingLookup {
    id: JobId,
    response: oneshot::Sender<LookupResult>,
}

/// The lookups that wait; the cached jobs belong to the task that reads them.
#[derive(Default)]
pub struct OpenJobCache {
    pending: Mutex<Vec<PendingLookup>>,
    requested: Notify,
}

impl OpenJobCache {
    /// Looks up the open job as it stands at some moment after this call; None if there is none.
    pub async fn lookup(&self, id: &JobId) -> LookupResult {
        let (response, received) = oneshot::channel();
        lock(&self.pending).push(PendingLookup {
            id: id.clone(),
            response,
        });
        self.requested.notify_one();
        received.await.unwrap_or(Err(StateStoreError::NotExecuted))
    }

    fn take_pending(&self) -> Vec<PendingLookup> {
        std::mem::take(&mut *lock(&self.pending))
    }
}

/// The share of the state store's request rate that all controllers together use for these reads.
const REQUEST_RATE_SHARE: f64 = 0.35;
/// Bounds of the pause between two reads, in seconds.
const MIN_READ_SPACING_SECS: f64 = 0.03;
const MAX_READ_SPACING_SECS: f64 = 0.5;
/// The cache is read this often even if nobody asks, so that it never falls far behind.
const IDLE_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the cache up to date and answers lookups until the controller stops.
pub async fn refresh(node: Arc<Node>) {
    let spacing = read_spacing(&node);
    let mut jobs = CachedJobs::default();
    loop {
        let requested = node.open_jobs.requested.notified();
        tokio::select! {
            _ = node.stop.cancelled() => return,
            _ = tokio::time::timeout(IDLE_READ_INTERVAL, requested) => {}
        }
        let lookups = node.open_jobs.take_pending();
        // The read is sent after these lookups were asked for: that makes it good for them.
        let outcome = jobs.update(&node.state_store).await;
        for lookup in lookups {
            let result = outcome.map(|()| jobs.open_job(&lookup.id));
            let _ = lookup.response.send(result);
        }
        tokio::select! {
            _ = node.stop.cancelled() => return,
            _ = tokio::time::sleep(spacing) => {}
        }
    }
}

/// The pause between two reads that keeps all controllers together within their share of the request rate.
fn read_spacing(node: &Node) -> Duration {
    let controllers = node.peers.len() as f64 + 1.0;
    let request_rate = node.policy.facts.state.rps * REQUEST_RATE_SHARE;
    let spacing_secs = controllers / request_rate;
    Duration::from_secs_f64(spacing_secs.clamp(MIN_READ_SPACING_SECS, MAX_READ_SPACING_SECS))
}

impl OpenJobSummary {
    /// Reads what matters of an open job record, also of one that can't be parsed: the job is open all the
    /// same. None if it is no longer open.
    pub async fn read(
        state_store: &StateStoreClient,
        revision: KeyRevision,
        data: &Value,
    ) -> Result<Option<OpenJobSummary>, StateStoreError> {
        let Ok(mut record) = serde_json::from_value::<OpenJobRecord>(data.clone()) else {
            return Ok(Some(OpenJobSummary::of_unreadable_record(revision, data)));
        };
        let open = dependency_pages::read_pages(state_store, &mut record).await?;
        Ok(open.then_some(OpenJobSummary {
            revision,
            tasks: record.spec.tasks,
            dependencies: record.upstream_jobs,
        }))
    }

    fn of_unreadable_record(revision: KeyRevision, data: &Value) -> OpenJobSummary {
        let tasks = data.pointer("/spec/pieces").and_then(Value::as_u64);
        OpenJobSummary {
            revision,
            tasks: tasks.and_then(|n| u32::try_from(n).ok()).unwrap_or(1),
            dependencies: Vec::new(),
        }
    }
}

/// The open jobs as of one store revision.
#[derive(Default)]
struct CachedJobs {
    open: BTreeMap<JobId, OpenJobSummary>,
    /// None: to be listed anew.
    store_revision: Option<StoreRevision>,
}

impl CachedJobs {
    async fn update(&mut self, state_store: &StateStoreClient) -> Result<(), StateStoreError> {
        let since = match self.store_revision {
            Some(store_revision) => store_revision,
            None => self.list(state_store).await?,
        };
        let page = match state_store.changes(OPEN_JOB_PREFIX, since).await {
            Ok(page) => page,
            Err(error) => {
                // A list without the changes since isn't of one moment: it is made again.
                let compacted = error == StateStoreError::RevisionCompacted;
                self.store_revision = self.store_revision.filter(|_| !compacted);
                return Err(error);
            }
        };
        for event in page.events {
            if let Some(key) = &event.put_key {
                self.put(state_store, key, &event.data, event.revision)
                    .await?;
            } else if let Some(id) = event
                .deleted_key
                .as_deref()
                .and_then(|key| key.strip_prefix(OPEN_JOB_PREFIX))
            {
                self.open.remove(&JobId::from(id));
            }
        }
        self.store_revision = Some(page.store_revision);
        Ok(())
    }

    /// Lists all open jobs; changes after the returned revision are still to be read.
    async fn list(
        &mut self,
        state_store: &StateStoreClient,
    ) -> Result<StoreRevision, StateStoreError> {
        let (items, store_revision) = state_store.list(OPEN_JOB_PREFIX).await?;
        self.open.clear();
        for item in items {
            self.put(state_store, &item.key, &item.data, item.revision)
                .await?;
        }
        Ok(store_revision)
    }

    /// Takes in an open job record. After a failure the same changes are read again.
    async fn put(
        &mut self,
        state_store: &StateStoreClient,
        key: &str,
        data: &Value,
        revision: KeyRevision,
    ) -> Result<(), StateStoreError> {
        let Some(id) = key.strip_prefix(OPEN_JOB_PREFIX) else {
            return Ok(());
        };
        let summary = OpenJobSummary::read(state_store, revision, data).await?;
        let entry = summary.map(|summary| (JobId::from(id), summary));
        self.open.extend(entry);
        Ok(())
    }

    /// The job with its closed upstream jobs. Each is visited once, however many paths lead there.
    fn open_job(&self, id: &JobId) -> Option<OpenJob> {
        let summary = self.open.get(id)?;
        let mut visited: BTreeSet<&JobId> = BTreeSet::new();
        let mut to_visit: Vec<&JobId> = summary.dependencies.iter().collect();
        let mut closed_upstream = Vec::new();
        while let Some(upstream) = to_visit.pop() {
            if !visited.insert(upstream) {
                continue;
            }
            match self.open.get(upstream) {
                Some(open) => to_visit.extend(&open.dependencies),
                None => closed_upstream.push(upstream.clone()),
            }
        }
        Some(OpenJob {
            revision: summary.revision,
            tasks: summary.tasks,
            closed_upstream,
        })
    }
}
