//! Looking up how a job stands, in the state store. Nothing is answered from a memory that may be out of date;
//! only terminal states, which can't change, are cached.

use super::open_job_cache::OpenJob;
use super::state_store::StateStoreError;
use crate::ids::JobId;
use crate::protocol::users::JobPhase;
use crate::runtime::{lock, Node};
use crate::storage::records::{terminal_key, TerminalRecord};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

/// What the state store says of a job.
#[derive(Debug)]
pub enum JobState {
    /// The job has an open record.
    Open(OpenJob),
    /// The job is done or cancelled.
    Terminal(TerminalState),
    /// No controller ever accepted the job.
    NeverAccepted,
}

/// A terminal state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TerminalState {
    /// Done or cancelled.
    pub phase: JobPhase,
    /// How many tasks the job has.
    pub tasks: u32,
}

impl TerminalState {
    /// A cancelled job of so many tasks.
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

/// Terminal states that this controller has read or written. Bounded: the oldest goes.
#[derive(Default)]
pub struct TerminalStateCache {
    entries: Mutex<TerminalStates>,
}

#[derive(Default)]
struct TerminalStates {
    by_job: BTreeMap<JobId, TerminalState>,
    /// The jobs in the order in which they came.
    order: VecDeque<JobId>,
}

/// How many terminal states are cached.
const MAX_TERMINAL_STATES: usize = 20_000;

impl TerminalStateCache {
    /// The job's terminal state, if it is cached.
    pub fn get(&self, id: &JobId) -> Option<TerminalState> {
        lock(&self.entries).by_job.get(id).copied()
    }

    /// Adds a terminal state.
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

/// Looks up a job: first its open record, then its terminal record. A job is accepted by writing the open
/// record, and ends by replacing that with the terminal record in one transaction, so a job that was ever
/// accepted is found.
///
/// A job that depends on a cancelled one is cancelled, from the moment at which that one's terminal record was
/// written and whether or not its own is: no task of it can have started, for a job starts only when all that it
/// depends on are done, and a terminal record never changes.
pub async fn find_job(node: &Node, id: &JobId) -> Result<JobState, StateStoreError> {
    if let Some(known) = node.terminal_states.get(id) {
        return Ok(JobState::Terminal(known));
    }
    let Some(job) = node.open_jobs.lookup(id).await? else {
        let state = find_terminal_state(node, id).await?;
        return Ok(state.map_or(JobState::NeverAccepted, JobState::Terminal));
    };
    for upstream in &job.closed_upstream {
        let state = find_terminal_state(node, upstream).await?;
        if state.is_some_and(|state| state.is_cancelled()) {
            let cancelled = TerminalState::cancelled(job.tasks);
            node.terminal_states.insert(id, cancelled);
            return Ok(JobState::Terminal(cancelled));
        }
    }
    Ok(JobState::Open(job))
}

/// The terminal state of a job that is not open; None if it was never accepted.
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
