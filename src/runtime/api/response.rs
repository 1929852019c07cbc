//! Responses to HTTP requests, before they are put on the wire.

use super::error::ApiError;
use crate::ids::JobId;
use crate::protocol::users::{JobPhase, JobResponse};
use serde::Serialize;
use warp::http::{Response, StatusCode};

/// Seconds after which a client that was told to come back should do so.
const RETRY_AFTER_SECS: &str = "1";

/// A response: a status and a JSON body. It is also what one controller forwards to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body, in JSON.
    pub body: Vec<u8>,
}

impl ApiResponse {
    /// A response with this body.
    pub fn json<T: Serialize>(status: StatusCode, body: &T) -> ApiResponse {
        ApiResponse {
            status: status.as_u16(),
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }

    /// The response to a submission that created the job.
    pub fn job_created(id: &JobId, phase: JobPhase) -> ApiResponse {
        ApiResponse::json(StatusCode::CREATED, &JobResponse { id, phase })
    }

    /// The response that tells the phase of a job that was known already, or is cancelled.
    pub fn job_phase(id: &JobId, phase: JobPhase) -> ApiResponse {
        ApiResponse::json(StatusCode::OK, &JobResponse { id, phase })
    }

    /// Whether the client is told to come back later.
    pub fn is_unavailable(&self) -> bool {
        self.status == StatusCode::SERVICE_UNAVAILABLE.as_u16()
    }

    /// The response as it goes out.
    pub fn into_http(self) -> Response<Vec<u8>> {
        let status = StatusCode::from_u16(self.status);
        let mut response = Response::builder()
            .status(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
            .header("content-type", "application/json");
        if self.is_unavailable() {
            response = response.header("retry-after", RETRY_AFTER_SECS);
        }
        response.body(self.body).unwrap_or_default()
    }
}

impl From<ApiError> for ApiResponse {
    fn from(error: ApiError) -> ApiResponse {
        let body = serde_json::json!({ "error": error.to_string() });
        ApiResponse::json(error.status(), &body)
    }
}

impl From<Result<ApiResponse, ApiError>> for ApiResponse {
    fn from(result: Result<ApiResponse, ApiError>) -> ApiResponse {
        result.unwrap_or_else(ApiResponse::from)
    }
}
