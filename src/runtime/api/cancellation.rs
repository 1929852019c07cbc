//! `POST /submissions/{id}/withdraw`: cancelling a job.
//!
//! Cancelling and finishing both have the revision of the open record as a precondition, so that exactly one of
//! them wins.

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

/// No new attempt begins after this, half of [`SUBMIT_TIMEOUT`]: the rest of the time is for the last one.
///
/// [`SUBMIT_TIMEOUT`]: super::users::SUBMIT_TIMEOUT
const MAX_ATTEMPTS_TIME: Duration = Duration::from_millis(2000);

/// What one attempt came to.
enum Attempt {
    /// This attempt cancelled the job.
    Confirmed,
    /// The job changed meanwhile: it is read again.
    Conflict,
    /// The job may be cancelled by this attempt: it is read again.
    OutcomeUnknown,
    /// The state store does not serve us.
    Failed,
}

/// Cancels a job, or answers with the terminal state that it has already.
pub async fn cancel(node: &Node, id: &JobId) -> Result<ApiResponse, ApiError> {
    let started_at = Instant::now();
    let mut outcome_unknown = false;
    while started_at.elapsed() < MAX_ATTEMPTS_TIME {
        let job = match find_job(node, id).await {
            Ok(JobState::Open(job)) => job,
            Ok(JobState::Terminal(state)) => {
                // Perhaps a transaction of ours that got no response: nobody has been told yet.
                if outcome_unknown && state.is_cancelled() {
                    node.cancellation_confirmed(id, state.tasks);
                }
                return Ok(ApiResponse::job_phase(id, state.phase));
            }
            Ok(JobState::NeverAccepted) => return Err(ApiError::NoSuchJob),
            Err(_) => break,
        };
        match try_to_cancel(node, id, &job).await {
            Attempt::Confirmed => {
                node.cancellation_confirmed(id, job.tasks);
                return Ok(ApiResponse::job_phase(id, JobPhase::Cancelled));
            }
            Attempt::Conflict => {}
            Attempt::OutcomeUnknown => outcome_unknown = true,
            Attempt::Failed => break,
        }
    }
    Err(ApiError::StateStoreUnavailable)
}

/// Replaces the open record by a terminal one, if it still has the revision that was read.
async fn try_to_cancel(node: &Node, id: &JobId, job: &OpenJob) -> Attempt {
    let Ok(record) = serde_json::to_value(TerminalRecord::cancelled(job.tasks)) else {
        return Attempt::Failed;
    };
    let still_open = Precondition {
        key: open_job_key(id),
        revision: job.revision,
    };
    let transaction = Transaction {
        preconditions: vec![still_open, Precondition::absent(terminal_key(id))],
        changes: vec![
            Change::Delete {
                key: open_job_key(id),
            },
            Change::put(terminal_key(id), record),
        ],
    };
    match node.state_store.transaction(&transaction).await {
        Ok(TransactionOutcome::Applied(store_revision)) => {
            tracing::debug!(job = %id, %store_revision, opened = %job.revision, "cancellation confirmed");
            Attempt::Confirmed
        }
        Ok(TransactionOutcome::Conflict(_)) => Attempt::Conflict,
        Err(StateStoreError::OutcomeUnknown) => Attempt::OutcomeUnknown,
        Err(_) => Attempt::Failed,
    }
}
