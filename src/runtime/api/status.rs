//! The state of a job as reported to users.

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

/// `GET /submissions/{id}`: responds with the state of a job.
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

/// Returns a response with the phase of a job that was accepted earlier; None if it never was.
pub async fn known_job(node: &Node, id: &JobId) -> Result<Option<ApiResponse>, ApiError> {
    let phase = match find_job(node, id).await {
        Ok(JobState::Open(_)) => open_phase(task_counts(node, id)),
        Ok(JobState::Terminal(state)) => state.phase,
        Ok(JobState::NeverAccepted) => return Ok(None),
        Err(_) => return Err(ApiError::StateStoreUnavailable),
    };
    Ok(Some(ApiResponse::job_phase(id, phase)))
}

/// Returns the job's task counts for display: from the scheduler if this controller leads, otherwise as last sent
/// by the leader.
fn task_counts(node: &Node, id: &JobId) -> TaskCounts {
    let from_scheduler = node.leadership.task_counts(node.now(), id);
    from_scheduler.unwrap_or_else(|| node.task_counts.get(id))
}

fn open_phase(counts: TaskCounts) -> JobPhase {
    if counts.running > 0 {
        JobPhase::Running
    } else {
        JobPhase::Queued
    }
}
