//! Leadership transfer: a leader that no worker reaches gives way to a peer that workers do reach.

use super::term::Term;
use crate::coordination::leadership::transfer::{should_transfer_leadership, silence_timeout};
use crate::protocol::peers::{PeerReply, PeerRequest};
use crate::runtime::clients::peers::PEER_TIMEOUT;
use crate::runtime::Node;
use crate::time::{Instant, TimeSpan};
use crate::transport::peer::PeerClient;
use std::time::Duration;

/// How often the leader looks how long ago a worker last sent a heartbeat.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Transfers the leadership when this controller alone hears no workers: guards against a leader whose workers'
/// leases all expire while peers could answer them. We stop acting first, then the lease is revoked.
pub async fn watch_heartbeats(term: Term) {
    let node = &term.node;
    let started_at = node.now();
    loop {
        tokio::select! {
            _ = term.end.cancelled() => return,
            _ = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        let machines_up = node.leadership.machines_up();
        let bound = silence_timeout(machines_up, node.policy.facts.workers.heartbeat_interval_s);
        if silence(node, started_at) <= bound {
            continue;
        }
        let peers_silence = ask_peers(node).await;
        // Measured again: a process that stood still has taken in by now what had come meanwhile.
        let own_silence = silence(node, started_at);
        if should_transfer_leadership(machines_up, own_silence, &peers_silence, bound) {
            tracing::info!(
                reason = "a peer receives heartbeats and this controller none",
                machines = machines_up,
                silence_ms = own_silence.0,
                "leadership transferred"
            );
            node.leadership.begin_cool_down(node.now());
            term.resign();
            return;
        }
    }
}

/// How long this leader has heard no worker, counted from the start of its term at most.
fn silence(node: &Node, started_at: Instant) -> TimeSpan {
    let since_start = node.now() - started_at;
    node.time_since_heartbeat()
        .map_or(since_start, |silence| silence.min(since_start))
}

/// How long ago each peer received a heartbeat, one after the other; None if it can't tell, or the state store
/// doesn't serve it.
async fn ask_peers(node: &Node) -> Vec<Option<TimeSpan>> {
    let mut silence = Vec::new();
    for peer in node.peers.clients() {
        silence.push(ask_peer(peer).await);
    }
    silence
}

async fn ask_peer(peer: &PeerClient) -> Option<TimeSpan> {
    match peer.send(&PeerRequest::Hello, PEER_TIMEOUT).await {
        Some(PeerReply::Hello {
            state_ok: true,
            workers_heard_ms: Some(ms),
        }) => Some(TimeSpan(ms)),
        _ => None,
    }
}
