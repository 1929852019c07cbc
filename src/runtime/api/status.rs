//! A job's state as users are told it.

use super::error::ApiError;
use super::response::ApiResponse;
use super::users::POLL_TIMEOUT;
use crate::coordination::TaskCounts;
use crate::ids::JobId;
use crate::protocol::users::{JobPhase, JobStatusResponse};
use crate::runtime::clients::job_lookup::{find_job, JobState, TerminalState};
use crate::runtime::clients::open_job_cache::OpenJob;
use crate::runtime::Node;
use warp::http::StatusCode;

/// `GET /submissions/{id}`: the state of a job.
pub async fn poll(node: &Node, id: &JobId) -> Result<ApiResponse, ApiError> {
    let found = tokio::time::timeout(POLL_TIMEOUT, find_job(node, id)).await;
    let status = match found {
        Ok(Ok(JobState::Open(job))) => open_status(node, id, &job),
        Ok(Ok(JobState::Terminal(state))) => terminal_status(id, state),
        Ok(Ok(JobState::NeverAccepted)) => return Err(ApiError::NoSuchJob),
        Ok(Err(_)) | Err(_) => return Err(ApiError::StateStoreUnavailable),
    };
    Ok(ApiResponse::json(StatusCode::OK, &status))
}

fn open_status<'a>(node: &Node, id: &'a JobId, job: &OpenJob) -> JobStatusResponse<'a> {
    let counts = task_counts(node, id);
    JobStatusResponse {
        id,
        phase: open_phase(counts),
        done: counts.completed.min(job.tasks),
        running: counts.running,
    }
}

fn terminal_status(id: &JobId, state: TerminalState) -> JobStatusResponse<'_> {
    let done = match state.phase {
        JobPhase::Done => state.tasks,
        JobPhase::Queued | JobPhase::Running | JobPhase::Cancelled => 0,
    };
    JobStatusResponse {
        id,
        phase: state.phase,
        done,
        running: 0,
    }
}

/// The response that tells the phase of a job that was submitted before; None if it never was.
pub async fn known_job(node: &Node, id: &JobId) -> Result<Option<ApiResponse>, ApiError> {
    let phase = match find_job(node, id).await {
        Ok(JobState::Open(_)) => open_phase(task_counts(node, id)),
        Ok(JobState::Terminal(state)) => state.phase,
        Ok(JobState::NeverAccepted) => return Ok(None),
        Err(_) => return Err(ApiError::StateStoreUnavailable),
    };
    Ok(Some(ApiResponse::job_phase(id, phase)))
}

/// The leader's task counts, our own or as last sent by it: for display only.
fn task_counts(node: &Node, id: &JobId) -> TaskCounts {
    let own = node.leadership.task_counts(node.now(), id);
    own.unwrap_or_else(|| node.task_counts.of(id))
}

fn open_phase(counts: TaskCounts) -> JobPhase {
    if counts.running > 0 {
        JobPhase::Running
    } else {
        JobPhase::Queued
    }
}
