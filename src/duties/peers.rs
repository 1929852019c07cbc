//! What controllers ask of each other.

use super::{front, lock, Node};
use crate::ids::Millis;
use crate::protocol::peers::{PeerReply, PeerRequest};
use crate::transport::peer;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The state service counts as reachable for this long after it last served us.
pub const STATE_FRESH: Duration = Duration::from_millis(2000);

/// What a sibling said counts for this long.
pub const HEARD_FRESH: Millis = Millis(2500);

/// What a sibling last said of itself.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    pub at: Millis,
    pub state_ok: bool,
}

/// While the state service doesn't serve us, looks which siblings can be reached and whether it
/// serves them, so that users' requests needn't find out one by one.
pub async fn look(node: Arc<Node>) {
    loop {
        tokio::select! {
            _ = node.stop.cancelled() => return,
            _ = tokio::time::sleep(Duration::from_millis(500)) => {}
        }
        if node.state.since_ok() < STATE_FRESH / 2 {
            continue;
        }
        let hellos = node.siblings.iter().map(|s| async {
            let asked = node.now();
            let reply = s.ask(&PeerRequest::Hello, Duration::from_millis(400)).await;
            match reply {
                Some(PeerReply::Hello { state_ok, .. }) => Some(Heard {
                    at: asked,
                    state_ok,
                }),
                _ => None,
            }
        });
        let all = futures_util::future::join_all(hellos).await;
        for (kept, new) in lock(&node.heard).iter_mut().zip(all) {
            *kept = new.or(*kept);
        }
    }
}

impl Node {
    /// Siblings heard lately: their numbers, and whether the state service serves them.
    pub fn siblings_heard(&self) -> Vec<(usize, bool)> {
        let now = self.now();
        lock(&self.heard)
            .iter()
            .enumerate()
            .filter_map(|(n, h)| h.map(|h| (n, h)))
            .filter(|(_, h)| now - h.at < HEARD_FRESH)
            .map(|(n, h)| (n, h.state_ok))
            .collect()
    }
}

/// Answers siblings.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let most = node.sockets.siblings_in;
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
