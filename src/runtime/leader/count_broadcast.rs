//! Sending the task counts to peers, for display in their responses to polls.

use super::term::Term;
use crate::coordination::JobTaskCounts;
use crate::ids::JobId;
use crate::protocol::peers::PeerRequest;
use crate::runtime::clients::peers::PEER_TIMEOUT;
use std::time::Duration;

/// Between two broadcasts.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(1500);

/// Sends the counts whenever they have changed, to one peer after the other, until the term ends.
pub async fn run(term: Term) {
    let node = &term.node;
    let mut last_sent = Vec::new();
    loop {
        tokio::select! {
            _ = term.end.cancelled() => return,
            _ = tokio::time::sleep(BROADCAST_INTERVAL) => {}
        }
        let all = node.leadership.all_task_counts().into_iter();
        let jobs: Vec<(JobId, u32, u32)> = all
            .map(|JobTaskCounts { job, tasks }| (job, tasks.completed, tasks.running))
            .collect();
        if jobs == last_sent {
            continue;
        }
        let request = PeerRequest::Counts { jobs: jobs.clone() };
        for peer in node.peers.clients() {
            let _ = peer.send(&request, PEER_TIMEOUT).await;
        }
        last_sent = jobs;
    }
}
