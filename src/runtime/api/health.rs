//! The health check.

use super::error::ApiError;
use super::response::ApiResponse;
use crate::runtime::Node;
use warp::http::StatusCode;

/// Checks whether this controller can serve users, directly or through a peer. A controller that reaches a peer
/// stays healthy during a state store outage: such an outage affects all controllers, so sending users to another
/// one would not help.
pub fn check(node: &Node) -> Result<ApiResponse, ApiError> {
    let peer_reachable = || !node.peers.reachable(node.now()).is_empty();
    if node.state_store_reachable() || peer_reachable() {
        let body = serde_json::json!({ "healthy": true });
        return Ok(ApiResponse::json(StatusCode::OK, &body));
    }
    Err(ApiError::Isolated)
}
