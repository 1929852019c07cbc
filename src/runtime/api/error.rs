//! The failures reported to users, workers and peers, with the HTTP status and text of each.

use crate::ids::JobId;
use warp::http::StatusCode;

/// Why a request was not served. The display text is sent to the client.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApiError {
    /// The path does not exist.
    #[error("no such path")]
    NoSuchPath,
    /// The path does not support the method.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// The body could not be read.
    #[error("the body can't be taken")]
    Body(#[from] BodyError),
    /// A heartbeat could not be parsed.
    #[error("{reason}")]
    MalformedHeartbeat {
        /// The parse error, for the worker.
        reason: String,
    },
    /// A submission could not be parsed or has a value out of range.
    #[error("{reason}")]
    MalformedSubmission {
        /// The parse or range error, for the user.
        reason: String,
    },
    /// The job's description exceeds the maximum size of a state store record.
    #[error("too long a description")]
    DescriptionTooLong,
    /// The job's description could not be serialized as a record.
    #[error("can't be stored")]
    NotStorable,
    /// The job can never run on this cluster.
    #[error("{0}")]
    NeverRuns(#[from] NeverRuns),
    /// The job depends on itself.
    #[error("waits for itself")]
    DependsOnItself,
    /// The job depends on a job that no controller has accepted.
    #[error("waits for {0}, which was never accepted")]
    UnknownDependency(JobId),
    /// No controller has accepted a job with this id.
    #[error("no such job")]
    NoSuchJob,
    /// The limit on concurrent user requests is reached.
    #[error("too many requests at once")]
    TooManyRequests,
    /// This controller has not read the machine types yet, so it can't validate submissions.
    #[error("machine types are not known yet")]
    MachineTypesUnknown,
    /// The upstream jobs of a submission could not be read.
    #[error("the jobs that it waits for can't be looked up now")]
    DependenciesUnavailable,
    /// The submission may or may not have been stored.
    #[error("the outcome is not known yet")]
    OutcomeUnknown,
    /// The state store did not respond in time.
    #[error("the state service answers too slowly")]
    StateStoreTimeout,
    /// The state store serves neither this controller nor any peer that the request could be forwarded to.
    #[error("the state service can't be reached")]
    StateStoreUnavailable,
    /// Neither the state store nor any peer is reachable, so this controller can't serve users.
    #[error("neither the state service nor a sibling can be reached")]
    Isolated,
}

/// Why a request's body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection failed, or the body does not match its headers.
    #[error("the body is broken")]
    Broken,
    /// The client did not send the whole body in time.
    #[error("the body came too slowly")]
    Timeout,
    /// The body is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
}

/// Why a job can never run on this cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NeverRuns {
    /// The team is not in the settings.
    #[error("unknown team")]
    UnknownTeam,
    /// One task needs more than any machine type that the job allows.
    #[error("a task fits no allowed machine type")]
    NoMachineTypeFits,
    /// The tasks that have to run at the same time need more than the team's limit.
    #[error("needs more than the team's limit")]
    ExceedsTeamLimit,
}

impl ApiError {
    /// Returns the HTTP status of the response.
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
