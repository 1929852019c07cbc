//! The record of who leads.

use crate::ids::FencingToken;
use serde::{Deserialize, Serialize};

/// Who leads. Stored under [`LEADER_KEY`](super::LEADER_KEY), attached to the leader's lease: it disappears when
/// the lease expires.
///
/// Written by a candidate that wins, and by a leader that raises its own token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the controller's own host.
    pub host_name: String,
    /// The token that all its commands carry.
    #[serde(rename = "baton")]
    pub token: FencingToken,
}
