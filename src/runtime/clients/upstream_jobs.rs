//! Looking up the upstream jobs that a submission depends on.
//!
//! Each is read from the state store after the submission came, never from a cache that may lag. A few are read
//! one by one, at once; more share the reads that keep the open-job cache up to date.

use super::job_lookup::{find_terminal_state, TerminalState};
use super::open_job_cache::OpenJobSummary;
use super::state_store::StateStoreError;
use crate::ids::JobId;
use crate::runtime::Node;
use crate::storage::records::open_job_key;
use futures_util::future::try_join_all;
use futures_util::{stream, StreamExt, TryStreamExt};
use std::collections::BTreeSet;
use std::time::Duration;

/// How the jobs stand that a submission depends on.
#[derive(Debug)]
pub enum UpstreamState {
    /// All were accepted and none is cancelled; these are not done yet.
    Unfinished(Vec<JobId>),
    /// One is cancelled, or depends on a job that is.
    Cancelled,
    /// This one was never accepted.
    NeverAccepted(JobId),
}

/// Up to this many jobs, indirect upstream jobs included, are read one by one.
const MAX_SINGLE_READS: usize = 16;
/// Terminal records read at the same time for a long list.
const MAX_CONCURRENT_TERMINAL_READS: usize = 4;
/// Time allowed for the lookup: what it has read is cached for the user's next attempt.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(2500);

/// Looks up the jobs that a submission depends on.
pub async fn find_upstream(node: &Node, ids: Vec<JobId>) -> Result<UpstreamState, StateStoreError> {
    if ids.is_empty() {
        return Ok(UpstreamState::Unfinished(ids));
    }
    let lookup = async {
        match find_one_by_one(node, &ids).await? {
            Some(state) => Ok(state),
            None => find_through_cache(node, ids).await,
        }
    };
    let in_time = tokio::time::timeout(LOOKUP_TIMEOUT, lookup).await;
    in_time.unwrap_or(Err(StateStoreError::NotExecuted))
}

/// What has been found so far.
#[derive(Default)]
struct Findings {
    unfinished: Vec<JobId>,
    cancelled: bool,
    never_accepted: Option<JobId>,
}

impl Findings {
    fn into_state(self) -> UpstreamState {
        match (self.never_accepted, self.cancelled) {
            (Some(id), _) => UpstreamState::NeverAccepted(id),
            (None, true) => UpstreamState::Cancelled,
            (None, false) => UpstreamState::Unfinished(self.unfinished),
        }
    }
}

/// One read for each job and each open job upstream of it; None if there are too many for that.
async fn find_one_by_one(
    node: &Node,
    ids: &[JobId],
) -> Result<Option<UpstreamState>, StateStoreError> {
    let mut findings = Findings::default();
    let mut seen: BTreeSet<JobId> = BTreeSet::new();
    let mut level: Vec<JobId> = ids.to_vec();
    while !level.is_empty() {
        seen.extend(level.iter().cloned());
        if seen.len() > MAX_SINGLE_READS {
            return Ok(None);
        }
        let read = try_join_all(level.iter().map(|id| read_one(node, id))).await?;
        let mut next_level = BTreeSet::new();
        for (id, state) in level.into_iter().zip(read) {
            let named = ids.contains(&id);
            match state {
                SingleJob::Open { dependencies } => {
                    next_level.extend(dependencies);
                    findings.unfinished.extend(named.then_some(id));
                }
                SingleJob::Terminal(state) => findings.cancelled |= state.is_cancelled(),
                SingleJob::NeverAccepted if named => findings.never_accepted = Some(id),
                SingleJob::NeverAccepted => {}
            }
        }
        level = next_level.difference(&seen).cloned().collect();
    }
    Ok(Some(findings.into_state()))
}

/// A job as read by itself.
enum SingleJob {
    Open { dependencies: Vec<JobId> },
    Terminal(TerminalState),
    NeverAccepted,
}

async fn read_one(node: &Node, id: &JobId) -> Result<SingleJob, StateStoreError> {
    if let Some(item) = node.state_store.get(&open_job_key(id)).await? {
        let summary = OpenJobSummary::read(&node.state_store, item.revision, &item.data).await?;
        if let Some(summary) = summary {
            let dependencies = summary.dependencies;
            return Ok(SingleJob::Open { dependencies });
        }
    }
    let state = find_terminal_state(node, id).await?;
    Ok(state.map_or(SingleJob::NeverAccepted, SingleJob::Terminal))
}

/// All lookups share the cache's next read; each job that is not open needs a read of its terminal record,
/// unless that is cached.
async fn find_through_cache(
    node: &Node,
    ids: Vec<JobId>,
) -> Result<UpstreamState, StateStoreError> {
    let mut findings = Findings::default();
    let open = try_join_all(ids.iter().map(|id| node.open_jobs.lookup(id))).await?;
    let mut closed: BTreeSet<JobId> = BTreeSet::new();
    let mut named_closed: BTreeSet<JobId> = BTreeSet::new();
    for (id, job) in ids.into_iter().zip(open) {
        match job {
            Some(job) => {
                closed.extend(job.closed_upstream);
                findings.unfinished.push(id);
            }
            None => {
                named_closed.insert(id);
            }
        }
    }
    closed.extend(named_closed.iter().cloned());
    for (id, state) in read_terminal_states(node, closed).await? {
        match state {
            Some(state) => findings.cancelled |= state.is_cancelled(),
            None if named_closed.contains(&id) => findings.never_accepted = Some(id),
            None => {}
        }
    }
    Ok(findings.into_state())
}

/// The terminal states of these jobs, in the order in which they were read.
async fn read_terminal_states(
    node: &Node,
    ids: BTreeSet<JobId>,
) -> Result<Vec<(JobId, Option<TerminalState>)>, StateStoreError> {
    let reads = stream::iter(ids).map(|id| async {
        let state = find_terminal_state(node, &id).await?;
        Ok::<_, StateStoreError>((id, state))
    });
    reads
        .buffer_unordered(MAX_CONCURRENT_TERMINAL_READS)
        .try_collect()
        .await
}
