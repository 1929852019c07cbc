//! The health check.

use super::error::ApiError;
use super::response::ApiResponse;
use crate::runtime::Node;
use warp::http::StatusCode;

/// Whether this controller can serve users, itself or through a peer. In an outage common to all it stays
/// healthy: that isn't this controller's fault, and nobody else would do better.
pub fn check(node: &Node) -> Result<ApiResponse, ApiError> {
    let peer_reachable = || !node.peers.reachable(node.now()).is_empty();
    if node.state_store_reachable() || peer_reachable() {
        let body = serde_json::json!({ "healthy": true });
        return Ok(ApiResponse::json(StatusCode::OK, &body));
    }
    Err(ApiError::Isolated)
}
