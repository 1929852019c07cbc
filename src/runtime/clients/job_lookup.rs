//! Lookups of a job's state in the state store. Open jobs are never served from a stale cache; terminal states, which
//! never change, are cached.

use super::open_job_cache::OpenJob;
use super::state_store::StateStoreError;
use crate::ids::JobId;
use crate::protocol::users::JobPhase;
use crate::runtime::{lock, Node};
use crate::storage::records::{terminal_key, TerminalRecord};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

/// The state of a job according to the state store.
#[derive(Debug)]
pub enum JobState {
    /// The job has an open record.
    Open(OpenJob),
    /// The job is done or cancelled.
    Terminal(TerminalState),
    /// No controller has accepted the job.
    NeverAccepted,
}

/// The terminal state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TerminalState {
    /// Done or cancelled.
    pub phase: JobPhase,
    /// The number of tasks of the job.
    pub tasks: u32,
}

impl TerminalState {
    /// Creates the state of a cancelled job with this number of tasks.
    pub fn cancelled(tasks: u32) -> TerminalState {
        TerminalState {
            phase: JobPhase::Cancelled,
            tasks,
        }
    }

    /// Whether the job is cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.phase == JobPhase::Cancelled
    }
}

/// A bounded cache of terminal states that this controller has read or written; the oldest entry is evicted first.
#[derive(Default)]
pub struct TerminalStateCache {
    entries: Mutex<TerminalStates>,
    /// Held during a paced read, so that concurrent lookups don't read the same record.
    reading: tokio::sync::Mutex<()>,
}

#[derive(Default)]
struct TerminalStates {
    by_job: BTreeMap<JobId, TerminalState>,
    /// The jobs in order of insertion.
    order: VecDeque<JobId>,
}

/// The maximum number of terminal records that one lookup reads without pacing.
const MAX_UNPACED_READS: usize = 16;
/// The maximum number of cached terminal states.
const MAX_TERMINAL_STATES: usize = 20_000;

impl TerminalStateCache {
    /// Returns the job's terminal state if it is cached.
    pub fn get(&self, id: &JobId) -> Option<TerminalState> {
        lock(&self.entries).by_job.get(id).copied()
    }

    /// Adds a terminal state, and evicts the oldest one if the cache is full.
    pub fn insert(&self, id: &JobId, state: TerminalState) {
        let mut entries = lock(&self.entries);
        if entries.by_job.insert(id.clone(), state).is_some() {
            return;
        }
        entries.order.push_back(id.clone());
        if entries.order.len() > MAX_TERMINAL_STATES {
            if let Some(oldest) = entries.order.pop_front() {
                entries.by_job.remove(&oldest);
            }
        }
    }
}

/// Looks up a job: first its open record, then its terminal record. The open record is written when the job is
/// accepted; when the job ends, a single transaction replaces it with the terminal record. An accepted job is
/// therefore always found.
///
/// A job that depends on a cancelled job counts as cancelled as soon as the upstream job's terminal record is written,
/// even if its own record is still open. None of its tasks can have started: a job starts only when all of its upstream
/// jobs are done, and a terminal record never changes.
pub async fn find_job(node: &Node, id: &JobId) -> Result<JobState, StateStoreError> {
    if let Some(known) = node.terminal_states.get(id) {
        return Ok(JobState::Terminal(known));
    }
    let Some(job) = node.open_jobs.lookup(id).await? else {
        let state = find_terminal_state(node, id).await?;
        return Ok(state.map_or(JobState::NeverAccepted, JobState::Terminal));
    };
    let unknown = job.closed_upstream.iter();
    let unknown = unknown.filter(|id| node.terminal_states.get(id).is_none());
    let is_paced = unknown.count() > MAX_UNPACED_READS;
    for upstream in &job.closed_upstream {
        let state = match is_paced {
            true => find_terminal_state_paced(node, upstream).await?,
            false => find_terminal_state(node, upstream).await?,
        };
        if state.is_some_and(|state| state.is_cancelled()) {
            let cancelled = TerminalState::cancelled(job.tasks);
            node.terminal_states.insert(id, cancelled);
            return Ok(JobState::Terminal(cancelled));
        }
    }
    Ok(JobState::Open(job))
}

/// Returns the terminal state of a job that is not open, at most one at a time and within the rate for reads of many
/// requests.
///
/// Guards against lookups of jobs with many closed upstream jobs after a restart: each read the same terminal records, as
/// fast as it could. States read before a lookup times out are cached, so the next one continues after them.
async fn find_terminal_state_paced(
    node: &Node,
    id: &JobId,
) -> Result<Option<TerminalState>, StateStoreError> {
    let _reading = node.terminal_states.reading.lock().await;
    if node.terminal_states.get(id).is_none() {
        node.state_store.wait_for_read_budget().await;
    }
    find_terminal_state(node, id).await
}

/// Returns the terminal state of a job that is not open; None if the job was never accepted.
pub async fn find_terminal_state(
    node: &Node,
    id: &JobId,
) -> Result<Option<TerminalState>, StateStoreError> {
    if let Some(known) = node.terminal_states.get(id) {
        return Ok(Some(known));
    }
    let Some(item) = node.state_store.get(&terminal_key(id)).await? else {
        return Ok(None);
    };
    let record: TerminalRecord = serde_json::from_value(item.data).map_err(|error| {
        tracing::error!(job = %id, %error, "unreadable terminal record");
        StateStoreError::NotExecuted
    })?;
    let state = TerminalState {
        phase: record.phase,
        tasks: record.tasks,
    };
    node.terminal_states.insert(id, state);
    Ok(Some(state))
}
