//! Users' requests: any controller accepts, reads or cancels a job, straight on the state store. One that the
//! state store doesn't serve forwards the request to a peer that it does.

use super::error::ApiError;
use super::request::{Origin, UserAction, UserRequest};
use super::response::ApiResponse;
use super::{cancellation, status, submissions};
use crate::protocol::peers::PeerReply;
use crate::runtime::Node;
use std::time::Duration;
use warp::http::StatusCode;

/// Users wait 5 s for submissions and cancellations: we answer before that.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_millis(4000);
/// Users wait 2 s for polls: we answer before that.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(1700);
/// At most this many peers are asked for one request.
const MAX_PEERS_ASKED: u32 = 2;

/// Answers a user's request, here or through a peer.
pub async fn respond(node: &Node, request: UserRequest) -> Result<ApiResponse, ApiError> {
    // Guards against users who wait while we find out, each time again, what we know already: that the state
    // store does not serve us.
    if node.state_store_reachable() || is_known_terminal(node, &request) {
        let response = respond_here(node, &request).await;
        let unavailable = match &response {
            Ok(response) => response.is_unavailable(),
            Err(error) => error.status() == StatusCode::SERVICE_UNAVAILABLE,
        };
        if !unavailable || node.state_store_reachable() {
            return response;
        }
    }
    match request.origin {
        Origin::User => forward(node, &request).await,
        Origin::Peer => Err(ApiError::StateStoreUnavailable),
    }
}

/// Whether the job's terminal state is cached. It can't change, so it is told with the state store or without.
fn is_known_terminal(node: &Node, request: &UserRequest) -> bool {
    match &request.action {
        UserAction::Submit(_) => false,
        UserAction::Poll(id) | UserAction::Cancel(id) => id
            .as_ref()
            .is_some_and(|id| node.terminal_states.get(id).is_some()),
    }
}

async fn respond_here(node: &Node, request: &UserRequest) -> Result<ApiResponse, ApiError> {
    match &request.action {
        UserAction::Submit(submission) => {
            let response = submissions::submit(node, submission);
            tokio::time::timeout(SUBMIT_TIMEOUT, response)
                .await
                .unwrap_or(Err(ApiError::StateStoreTimeout))
        }
        UserAction::Poll(Some(id)) => status::poll(node, id).await,
        UserAction::Cancel(Some(id)) => cancellation::cancel(node, id).await,
        UserAction::Poll(None) | UserAction::Cancel(None) => Err(ApiError::NoSuchJob),
    }
}

/// Forwards a request to a peer that the state store serves; if we know of none, the user is told at once.
async fn forward(node: &Node, request: &UserRequest) -> Result<ApiResponse, ApiError> {
    let message = request.to_forward();
    let timeout = match request.action {
        UserAction::Poll(_) => POLL_TIMEOUT,
        UserAction::Submit(_) | UserAction::Cancel(_) => SUBMIT_TIMEOUT,
    };
    let reachable = node.peers.reachable(node.now()).into_iter();
    let served = reachable.filter(|peer| peer.state_store_ok);
    for peer in served.take(MAX_PEERS_ASKED as usize) {
        let client = &node.peers.clients()[peer.index];
        let reply = client.send(&message, timeout / MAX_PEERS_ASKED).await;
        if let Some(PeerReply::Answer { status, body }) = reply {
            let response = ApiResponse { status, body };
            let path_unknown_to_peer =
                request.has_dependencies() && status == StatusCode::NOT_FOUND.as_u16();
            if !response.is_unavailable() && !path_unknown_to_peer {
                return Ok(response);
            }
        }
    }
    Err(ApiError::StateStoreUnavailable)
}
