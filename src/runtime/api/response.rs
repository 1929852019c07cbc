//! Responses of the HTTP API.

use super::error::ApiError;
use crate::ids::JobId;
use crate::protocol::users::{JobPhase, JobResponse};
use serde::Serialize;
use warp::http::{Response, StatusCode};

/// The value of the `retry-after` header, in seconds.
const RETRY_AFTER_SECS: &str = "1";

/// An HTTP status with a JSON body. Also the form in which a controller returns the response to a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiResponse {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: Vec<u8>,
}

impl ApiResponse {
    /// Creates a response with `body` serialized as JSON.
    pub fn json<T: Serialize>(status: StatusCode, body: &T) -> ApiResponse {
        ApiResponse {
            status: status.as_u16(),
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }

    /// Creates the response to a submission that created the job.
    pub fn job_created(id: &JobId, phase: JobPhase) -> ApiResponse {
        ApiResponse::json(StatusCode::CREATED, &JobResponse { id, phase })
    }

    /// Creates the response with the phase of a job that was accepted earlier or is cancelled.
    pub fn job_phase(id: &JobId, phase: JobPhase) -> ApiResponse {
        ApiResponse::json(StatusCode::OK, &JobResponse { id, phase })
    }

    /// Whether the status is 503, which tells the client to retry later.
    pub fn is_unavailable(&self) -> bool {
        self.status == StatusCode::SERVICE_UNAVAILABLE.as_u16()
    }

    /// Converts the response to HTTP, with a `retry-after` header if its status is 503.
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
