//! Leadership: at most one controller at a time may act on the cluster, and only while its lease is valid.
//!
//! - `election`: acquiring the leader key and a new fencing token;
//! - `term`: one leadership term, from the won election to the revocation of the lease;
//! - `lease_renewal`, `job_watch`: keeping the leader's authority valid;
//! - `step_loop`, `effects`: running the scheduler and executing its effects;
//! - `transfer`: leadership transfer when no worker reaches this controller;
//! - `state`: the leadership state that the rest of the controller reads.
//!
//! A leader acts on the state store, the cloud and workers only while it has [`Authority`].
//!
//! [`Authority`]: crate::coordination::leadership::authority::Authority

mod activity;
mod count_broadcast;
mod effects;
mod election;
mod job_watch;
mod lease_renewal;
mod machine_list;
mod state;
mod step_loop;
mod term;
mod transfer;

pub use state::{HeartbeatReply, LeadershipState};

use crate::runtime::Node;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use term::TermEnd;

/// Pause between two election attempts, plus a random jitter so that controllers rarely attempt it together.
const CAMPAIGN_INTERVAL_MS: u64 = 500;
const MAX_CAMPAIGN_JITTER_MS: u64 = 300;

/// Campaigns for the leadership, and leads after each election won, until the controller stops.
pub async fn run(node: Arc<Node>) {
    while !node.stop.is_cancelled() {
        if let Some(won) = election::campaign(&node).await {
            if term::lead(&node, won).await == TermEnd::Led {
                continue;
            }
        }
        pause_campaign(&node).await;
    }
}

/// Pauses between two election attempts, or until the controller stops. Without the pause after an abandoned failover,
/// repeated elections would use up the request rate that the reads of a failover need.
async fn pause_campaign(node: &Node) {
    let jitter_ms = rand::rng().random_range(0..MAX_CAMPAIGN_JITTER_MS);
    let pause = Duration::from_millis(CAMPAIGN_INTERVAL_MS + jitter_ms);
    tokio::select! {
        _ = node.stop.cancelled() => {}
        _ = tokio::time::sleep(pause) => {}
    }
}
