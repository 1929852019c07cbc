//! Leadership transfer: a leader that receives no heartbeats resigns if a peer receives some, so that a peer
//! can be elected.

use super::term::TermContext;
use crate::coordination::leadership::transfer::{should_transfer_leadership, silence_timeout};
use crate::protocol::peers::{PeerReply, PeerRequest};
use crate::runtime::clients::peers::PEER_TIMEOUT;
use crate::runtime::Node;
use crate::time::{Instant, TimeSpan};
use crate::transport::peer::PeerClient;
use std::time::Duration;

/// Interval between two checks of the time since the last heartbeat.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Transfers the leadership if this controller receives no heartbeats and a peer does. Guards against a leader
/// whose workers' leases all expire although a peer could answer their heartbeats. The leader stops acting
/// before its lease is revoked.
pub async fn watch_heartbeats(term: TermContext) {
    let node = &term.node;
    let started_at = node.now();
    loop {
        tokio::select! {
            _ = term.end.cancelled() => return,
            _ = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        let machines_up = node.leadership.machines_up();
        let timeout = silence_timeout(machines_up, node.policy.facts.workers.heartbeat_interval_s);
        if silence(node, started_at) <= timeout {
            continue;
        }
        let peers_silence = ask_peers(node).await;
        // Measured again: heartbeats that arrived while the process was paused have been received by now.
        let own_silence = silence(node, started_at);
        if should_transfer_leadership(machines_up, own_silence, &peers_silence, timeout) {
            tracing::info!(
                reason = "a peer receives heartbeats and this controller none",
                machines = machines_up,
                silence_ms = own_silence.0,
                "leadership transferred"
            );
            node.leadership.start_cool_down(node.now());
            term.resign();
            return;
        }
    }
}

/// Returns how long this leader has received no heartbeat, at most the time since its term started.
fn silence(node: &Node, started_at: Instant) -> TimeSpan {
    let since_start = node.now() - started_at;
    node.time_since_heartbeat()
        .map_or(since_start, |silence| silence.min(since_start))
}

/// Asks one peer after another how long ago it received a heartbeat. None for a peer that doesn't answer, has
/// received none, or isn't served by the state store.
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
