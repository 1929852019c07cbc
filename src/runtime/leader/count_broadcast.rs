//! Sends the task counts of open jobs to peers, which show them in their job status responses.

use super::term::TermContext;
use crate::coordination::JobTaskCounts;
use crate::ids::JobId;
use crate::protocol::peers::PeerRequest;
use crate::runtime::clients::peers::PEER_TIMEOUT;
use std::time::Duration;

/// Interval between two broadcasts.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(1500);

/// Sends the counts to one peer after another if they have changed since the last broadcast, until the term
/// ends.
pub async fn run(term: TermContext) {
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
