//! Replies to requests of other controllers.

use super::request::{Origin, UserRequest};
use super::response::ApiResponse;
use super::users;
use crate::coordination::TaskCounts;
use crate::ids::JobId;
use crate::protocol::peers::{PeerReply, PeerRequest};
use crate::runtime::Node;
use crate::transport::peer;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Serves peers until the controller stops.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let max_connections = node.sockets.peer_connections;
    let stop = node.stop.clone();
    peer::serve(listener, stop, max_connections, move |request| {
        let node = node.clone();
        async move { reply(&node, request).await }
    })
    .await;
}

async fn reply(node: &Node, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Hello => PeerReply::Hello {
            state_ok: node.state_store_reachable(),
            workers_heard_ms: node.time_since_heartbeat().map(|span| span.0),
        },
        PeerRequest::Forward { method, path, body } => {
            let response = respond_to_forwarded(node, &method, &path, body).await;
            PeerReply::Answer {
                status: response.status,
                body: response.body,
            }
        }
        PeerRequest::Counts { jobs } => {
            replace_task_counts(node, jobs);
            PeerReply::Noted
        }
        PeerRequest::Cancelled { jobs } => {
            for (id, tasks) in &jobs {
                node.record_cancellation(id, *tasks);
            }
            PeerReply::Noted
        }
    }
}

/// Serves a user's request that a peer forwarded.
async fn respond_to_forwarded(node: &Node, method: &str, path: &str, body: Vec<u8>) -> ApiResponse {
    match UserRequest::parse(method, path, body, Origin::Peer) {
        Ok(request) => ApiResponse::from(users::respond(node, request).await),
        Err(error) => ApiResponse::from(error),
    }
}

fn replace_task_counts(node: &Node, jobs: Vec<(JobId, u32, u32)>) {
    let counts = jobs
        .into_iter()
        .map(|(id, completed, running)| (id, TaskCounts { completed, running }));
    node.task_counts.replace(counts.collect());
}
