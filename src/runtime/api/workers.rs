//! Heartbeats of workers.

use super::error::ApiError;
use super::response::ApiResponse;
use crate::protocol::workers::{HeartbeatResponse, Redirect, WorkerStatus};
use crate::runtime::leader::HeartbeatReply;
use crate::runtime::Node;
use warp::http::StatusCode;

/// Responds to a heartbeat: with commands if this controller leads, otherwise with a redirect that names the leader if
/// it is known. While a failover to this controller is in progress, the heartbeat first waits for it to finish, for a
/// limited time.
pub async fn heartbeat(node: &Node, body: &[u8]) -> Result<ApiResponse, ApiError> {
    let status: WorkerStatus =
        serde_json::from_slice(body).map_err(|error| ApiError::MalformedHeartbeat {
            reason: error.to_string(),
        })?;
    node.record_heartbeat();
    let mut reply = node.leadership.heartbeat(node.now(), &status);
    if matches!(reply, HeartbeatReply::FailoverInProgress) {
        node.leadership.wait_for_failover().await;
        reply = node.leadership.heartbeat(node.now(), &status);
    }
    Ok(match reply {
        HeartbeatReply::Commands { token, commands } => {
            ApiResponse::json(StatusCode::OK, &HeartbeatResponse { token, commands })
        }
        HeartbeatReply::FailoverInProgress => redirect(None),
        HeartbeatReply::Redirect { leader } => redirect(leader.as_deref()),
    })
}

fn redirect(leader: Option<&str>) -> ApiResponse {
    ApiResponse::json(StatusCode::MISDIRECTED_REQUEST, &Redirect { leader })
}
