//! Messages between controllers, encoded with postcard in length-delimited frames. The encoding depends on the order
//! of variants and of their fields: a new message is a new variant at the end.

use crate::ids::JobId;
use serde::{Deserialize, Serialize};

/// A request from one controller to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks whether the receiver can reach the state store and when a worker last sent it a heartbeat.
    Hello,
    /// Forwards a user's request because the sender cannot reach the state store. The receiver doesn't forward it
    /// again.
    Forward {
        /// The HTTP method.
        method: String,
        /// The HTTP path.
        path: String,
        /// The unmodified HTTP body.
        body: Vec<u8>,
    },
    /// The leader's task counts, for status responses only. Replaces the previous list.
    Counts {
        /// For each job: id, number of completed tasks, number of running tasks.
        jobs: Vec<(JobId, u32, u32)>,
    },
    /// Reports jobs whose cancellation the state store has confirmed.
    Cancelled {
        /// For each job: id, number of tasks.
        jobs: Vec<(JobId, u32)>,
    },
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The reply to [`PeerRequest::Hello`].
    Hello {
        /// Whether the replying controller recently reached the state store.
        state_ok: bool,
        /// Time since the replying controller last received a heartbeat, in milliseconds; `None` if it never did.
        workers_heard_ms: Option<i64>,
    },
    /// The reply to [`PeerRequest::Forward`]: the HTTP response for the user.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The HTTP body.
        body: Vec<u8>,
    },
    /// Acknowledges any other request.
    Noted,
}
