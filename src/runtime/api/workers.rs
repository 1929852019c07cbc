//! Workers' heartbeats.

use super::error::ApiError;
use super::response::ApiResponse;
use crate::protocol::workers::{HeartbeatResponse, Redirect, WorkerStatus};
use crate::runtime::leader::HeartbeatReply;
use crate::runtime::Node;
use warp::http::StatusCode;

/// Answers a heartbeat: with commands if this controller leads, or with the name of the leader. While a failover
/// to this controller is under way, the heartbeat waits for its end.
pub async fn heartbeat(node: &Node, body: &[u8]) -> Result<ApiResponse, ApiError> {
    let status: WorkerStatus =
        serde_json::from_slice(body).map_err(|error| ApiError::MalformedHeartbeat {
            reason: error.to_string(),
        })?;
    node.heartbeat_received();
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
