//! What controllers ask of each other.

use super::{front, lock, Node};
use crate::protocol::peers::{PeerReply, PeerRequest};
use crate::transport::peer;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The state service counts as reachable for this long after it last served us.
pub const STATE_FRESH: Duration = Duration::from_millis(2500);

/// Answers siblings.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let most = (node.settings.platform.facts.quota.max_sockets / 20).clamp(8, 64);
    let stop = node.stop.clone();
    peer::serve(listener, stop, most, move |request| {
        let node = node.clone();
        async move {
            match request {
                PeerRequest::Hello => PeerReply::Hello {
                    state_ok: node.state.since_ok() < STATE_FRESH,
                    workers_heard_ms: node.workers_heard().map(|m| m.0),
                },
                PeerRequest::Forward { method, path, body } => {
                    let answer = front::user_request(&node, &method, &path, &body, true).await;
                    PeerReply::Answer {
                        status: answer.status,
                        body: answer.body,
                    }
                }
                PeerRequest::Counts { jobs } => {
                    *lock(&node.counts) = jobs.into_iter().map(|(j, d, r)| (j, (d, r))).collect();
                    PeerReply::Noted
                }
            }
        }
    })
    .await;
}
