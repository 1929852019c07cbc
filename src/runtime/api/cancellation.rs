//! `POST /submissions/{id}/withdraw`: cancels a job.
//!
//! The transactions that cancel and that finish a job both have the revision of its open record as a precondition,
//! so exactly one of them is applied.

use super::error::ApiError;
use super::response::ApiResponse;
use crate::ids::JobId;
use crate::protocol::state::{Change, Precondition, Transaction};
use crate::protocol::users::JobPhase;
use crate::runtime::clients::job_lookup::{find_job, JobState};
use crate::runtime::clients::open_job_cache::OpenJob;
use crate::runtime::clients::state_store::{StateStoreError, TransactionOutcome};
use crate::runtime::Node;
use crate::storage::records::{open_job_key, terminal_key, TerminalRecord};
use std::time::{Duration, Instant};

/// The time in which attempts to cancel the job may start: half of [`SUBMIT_TIMEOUT`], which leaves the other half to
/// the last attempt.
///
/// [`SUBMIT_TIMEOUT`]: super::users::SUBMIT_TIMEOUT
const RETRY_WINDOW: Duration = Duration::from_millis(2000);

/// The outcome of one attempt to cancel a job.
enum CancelOutcome {
    /// This attempt cancelled the job.
    Confirmed,
    /// The job changed since it was read; it has to be read again.
    Conflict,
    /// This attempt may or may not have cancelled the job; it has to be read again.
    OutcomeUnknown,
    /// The state store does not serve this controller.
    Failed,
}

/// Cancels a job, or responds with its terminal state if it has one already.
pub async fn cancel(node: &Node, id: &JobId) -> Result<ApiResponse, ApiError> {
    let started_at = Instant::now();
    let mut outcome_unknown = false;
    while started_at.elapsed() < RETRY_WINDOW {
        let job = match find_job(node, id).await {
            Ok(JobState::Open(job)) => job,
            Ok(JobState::Terminal(state)) => {
                // An unconfirmed transaction of this request may have cancelled the job; that cancellation has not
                // been announced to the leader or the peers.
                if outcome_unknown && state.is_cancelled() {
                    node.record_and_broadcast_cancellation(id, state.tasks);
                }
                return Ok(ApiResponse::job_phase(id, state.phase));
            }
            Ok(JobState::NeverAccepted) => return Err(ApiError::NoSuchJob),
            Err(_) => break,
        };
        match try_to_cancel(node, id, &job).await {
            CancelOutcome::Confirmed => {
                node.record_and_broadcast_cancellation(id, job.tasks);
                return Ok(ApiResponse::job_phase(id, JobPhase::Cancelled));
            }
            CancelOutcome::Conflict => {}
            CancelOutcome::OutcomeUnknown => outcome_unknown = true,
            CancelOutcome::Failed => break,
        }
    }
    Err(ApiError::StateStoreUnavailable)
}

/// Replaces the open record with a terminal record if the open record still has the revision that was read.
async fn try_to_cancel(node: &Node, id: &JobId, job: &OpenJob) -> CancelOutcome {
    let Ok(record) = serde_json::to_value(TerminalRecord::cancelled(job.tasks)) else {
        return CancelOutcome::Failed;
    };
    let still_open = Precondition {
        key: open_job_key(id),
        revision: job.revision,
    };
    let transaction = Transaction {
        preconditions: vec![still_open, Precondition::absent(terminal_key(id))],
        changes: vec![
            Change::Delete {
                deleted_key: open_job_key(id),
            },
            Change::put(terminal_key(id), record),
        ],
    };
    match node.state_store.transaction(&transaction).await {
        Ok(TransactionOutcome::Applied(store_revision)) => {
            tracing::debug!(job = %id, %store_revision, opened = %job.revision, "cancellation confirmed");
            CancelOutcome::Confirmed
        }
        Ok(TransactionOutcome::Conflict(_)) => CancelOutcome::Conflict,
        Err(StateStoreError::OutcomeUnknown) => CancelOutcome::OutcomeUnknown,
        Err(_) => CancelOutcome::Failed,
    }
}
