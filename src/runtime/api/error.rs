//! The failures that users, workers and peers are told of: each with its status and its text.

use crate::ids::JobId;
use warp::http::StatusCode;

/// Why a request was not served. The display text is what the client reads.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApiError {
    /// There is no such path.
    #[error("no such path")]
    NoSuchPath,
    /// The path has no such method.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// The body could not be read.
    #[error("the body can't be taken")]
    Body(#[from] BodyError),
    /// A heartbeat could not be parsed.
    #[error("{reason}")]
    MalformedHeartbeat {
        /// What is wrong, for the worker.
        reason: String,
    },
    /// A submission could not be parsed or has a value out of range.
    #[error("{reason}")]
    MalformedSubmission {
        /// What is wrong, for the user.
        reason: String,
    },
    /// The job's description does not fit into a record of the state store.
    #[error("too long a description")]
    DescriptionTooLong,
    /// The job's description can't be written as a record.
    #[error("can't be stored")]
    NotStorable,
    /// The job can never run here.
    #[error("{0}")]
    NeverRuns(#[from] NeverRuns),
    /// The job depends on itself.
    #[error("waits for itself")]
    DependsOnItself,
    /// The job depends on one that no controller ever accepted.
    #[error("waits for {0}, which was never accepted")]
    UnknownDependency(JobId),
    /// No controller ever accepted such a job.
    #[error("no such job")]
    NoSuchJob,
    /// Too many user requests are being handled.
    #[error("too many requests at once")]
    TooManyRequests,
    /// This controller has not read the machine types yet, and can't judge submissions.
    #[error("machine types are not known yet")]
    MachineTypesUnknown,
    /// The upstream jobs of a submission could not be read.
    #[error("the jobs that it waits for can't be looked up now")]
    DependenciesUnavailable,
    /// The submission may or may not have been stored.
    #[error("the outcome is not known yet")]
    OutcomeUnknown,
    /// The state store did not answer in time.
    #[error("the state service answers too slowly")]
    StateStoreTimeout,
    /// The state store serves neither this controller nor a peer that could be asked.
    #[error("the state service can't be reached")]
    StateStoreUnavailable,
    /// Neither the state store nor any peer can be reached: this controller is of no use.
    #[error("neither the state service nor a sibling can be reached")]
    Isolated,
}

/// Why a request's body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection broke, or the body is not as announced.
    #[error("the body is broken")]
    Broken,
    /// The client did not send the whole body in time.
    #[error("the body came too slowly")]
    Timeout,
    /// The body is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
}

/// Why a job can never run here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NeverRuns {
    /// The settings name no such team.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type, among those that the job allows, has room for one task.
    #[error("a task fits no allowed machine type")]
    NoMachineTypeFits,
    /// What has to run at the same time exceeds the team's limit.
    #[error("needs more than the team's limit")]
    ExceedsTeamLimit,
}

impl ApiError {
    /// The HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            ApiError::NoSuchPath | ApiError::NoSuchJob => StatusCode::NOT_FOUND,
            ApiError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            ApiError::Body(BodyError::Timeout) => StatusCode::REQUEST_TIMEOUT,
            ApiError::Body(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            ApiError::Body(BodyError::Broken)
            | ApiError::MalformedHeartbeat { .. }
            | ApiError::MalformedSubmission { .. }
            | ApiError::DescriptionTooLong
            | ApiError::NotStorable => StatusCode::BAD_REQUEST,
            ApiError::NeverRuns(_) | ApiError::DependsOnItself | ApiError::UnknownDependency(_) => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            ApiError::TooManyRequests
            | ApiError::MachineTypesUnknown
            | ApiError::DependenciesUnavailable
            | ApiError::OutcomeUnknown
            | ApiError::StateStoreTimeout
            | ApiError::StateStoreUnavailable
            | ApiError::Isolated => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
