//! The leader: at most one controller at a time may act on the cluster, and only while its lease lasts.
//!
//! - `election`: winning the leader key and its fencing token;
//! - `term`: one term from the election won to the lease revoked;
//! - `lease_renewal`, `job_watch`: what the leader's authority rests on;
//! - `step_loop`, `effects`: letting the scheduler decide and carrying out what it decided;
//! - `transfer`: handing the leadership over when no worker reaches this controller;
//! - `state`: what the rest of the controller sees of all this.
//!
//! Nothing is sent to the state store, the cloud or a worker on a leader's behalf without its [`Authority`].
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

/// The pause between two attempts to be elected, plus a random part so that controllers rarely collide.
const CAMPAIGN_INTERVAL_MS: u64 = 500;
const MAX_CAMPAIGN_JITTER_MS: u64 = 300;

/// Campaigns, leads, and campaigns again, until the controller stops.
pub async fn run(node: Arc<Node>) {
    while !node.stop.is_cancelled() {
        if let Some(won) = election::campaign(&node).await {
            term::lead(&node, won).await;
            continue;
        }
        let jitter_ms = rand::rng().random_range(0..MAX_CAMPAIGN_JITTER_MS);
        let pause = Duration::from_millis(CAMPAIGN_INTERVAL_MS + jitter_ms);
        tokio::select! {
            _ = node.stop.cancelled() => {}
            _ = tokio::time::sleep(pause) => {}
        }
    }
}
