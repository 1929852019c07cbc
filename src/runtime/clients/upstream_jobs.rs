//! Lookups of the upstream jobs that a submission depends on.
//!
//! The state of each job is read from the state store after the submission arrived, never from a stale cache. For a
//! few jobs, each is read by its own request; for more, the lookup uses the coalesced reads of the open job cache.

use super::dependency_lists::DependencyList;
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

/// The combined state of the jobs that a submission depends on.
#[derive(Debug)]
pub enum UpstreamState {
    /// All jobs were accepted and none is cancelled; the listed jobs are not done yet.
    Unfinished(Vec<JobId>),
    /// At least one job is cancelled, or has a cancelled upstream job.
    Cancelled,
    /// This job was never accepted.
    NeverAccepted(JobId),
}

/// The maximum number of jobs, including indirect upstream jobs, that are read by requests of their own.
const MAX_SINGLE_READS: usize = 16;
/// The maximum number of terminal records that one lookup through the cache reads at the same time.
const MAX_CONCURRENT_TERMINAL_READS: usize = 4;
/// The timeout of the lookup. Terminal states read until then are cached, so a retry by the user needs fewer reads.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(2500);

/// Looks up the jobs that a submission depends on directly, and their upstream jobs.
pub async fn find_upstream(node: &Node, ids: Vec<JobId>) -> Result<UpstreamState, StateStoreError> {
    if ids.is_empty() {
        return Ok(UpstreamState::Unfinished(ids));
    }
    let lookup = async {
        match find_by_single_reads(node, &ids).await? {
            Some(state) => Ok(state),
            None => find_through_cache(node, ids).await,
        }
    };
    let in_time = tokio::time::timeout(LOOKUP_TIMEOUT, lookup).await;
    in_time.unwrap_or(Err(StateStoreError::NotExecuted))
}

/// The intermediate result of a lookup.
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

/// Reads each job, and each job upstream of an open one, by its own request. Returns None if there are more than
/// [`MAX_SINGLE_READS`].
async fn find_by_single_reads(
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
            let direct = ids.contains(&id);
            match state {
                SingleJob::Open { dependencies } => {
                    next_level.extend(dependencies.iter().cloned());
                    findings.unfinished.extend(direct.then_some(id));
                }
                SingleJob::Terminal(state) => findings.cancelled |= state.is_cancelled(),
                SingleJob::NeverAccepted if direct => findings.never_accepted = Some(id),
                SingleJob::NeverAccepted => {}
            }
        }
        level = next_level.difference(&seen).cloned().collect();
    }
    Ok(Some(findings.into_state()))
}

/// The state of a job that was read by its own request.
enum SingleJob {
    Open { dependencies: DependencyList },
    Terminal(TerminalState),
    NeverAccepted,
}

async fn read_one(node: &Node, id: &JobId) -> Result<SingleJob, StateStoreError> {
    if let Some(item) = node.state_store.get(&open_job_key(id)).await? {
        let summary = OpenJobSummary::read(node, item).await?;
        if let Some(summary) = summary {
            let dependencies = summary.dependencies;
            return Ok(SingleJob::Open { dependencies });
        }
    }
    let state = find_terminal_state(node, id).await?;
    Ok(state.map_or(SingleJob::NeverAccepted, SingleJob::Terminal))
}

/// Looks the jobs up in the next read of the open job cache, which all lookups share. For each job that is not open,
/// the terminal record is read unless the state is cached.
async fn find_through_cache(
    node: &Node,
    ids: Vec<JobId>,
) -> Result<UpstreamState, StateStoreError> {
    let mut findings = Findings::default();
    let open = try_join_all(ids.iter().map(|id| node.open_jobs.lookup(id))).await?;
    let mut closed: BTreeSet<JobId> = BTreeSet::new();
    let mut closed_direct: BTreeSet<JobId> = BTreeSet::new();
    for (id, job) in ids.into_iter().zip(open) {
        match job {
            Some(job) => {
                closed.extend(job.closed_upstream);
                findings.unfinished.push(id);
            }
            None => {
                closed_direct.insert(id);
            }
        }
    }
    closed.extend(closed_direct.iter().cloned());
    for (id, state) in read_terminal_states(node, closed).await? {
        match state {
            Some(state) => findings.cancelled |= state.is_cancelled(),
            None if closed_direct.contains(&id) => findings.never_accepted = Some(id),
            None => {}
        }
    }
    Ok(findings.into_state())
}

/// Reads the terminal states of the jobs; None for a job that was never accepted. The result is unordered.
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
