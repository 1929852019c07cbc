//! The record that names the current leader.

use crate::ids::FencingToken;
use serde::{Deserialize, Serialize};

/// The current leader. Stored under [`LEADER_KEY`](super::LEADER_KEY) and attached to the leader's lease, so the
/// state store deletes the record when the lease expires.
///
/// Written by a candidate that wins an election, and by a leader that raises its own fencing token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the host that the leader runs on.
    pub host_name: String,
    /// The fencing token that all commands of the leader carry.
    #[serde(rename = "baton")]
    pub token: FencingToken,
}
