//! Controllers <-> controllers, as postcard in length-delimited frames.

use crate::ids::JobId;
use serde::{Deserialize, Serialize};

/// What one controller asks of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Is the state service reachable from where you are, and do workers reach you?
    Hello,
    /// Answer this user's request for me: the state service refuses me. Never passed on again.
    Forward {
        method: String,
        path: String,
        body: Vec<u8>,
    },
    /// Task counts for display, from the leader; replaces the previous list.
    Counts { jobs: Vec<(JobId, u32, u32)> },
    /// The state service has confirmed that these jobs, of so many tasks, are cancelled.
    Cancelled { jobs: Vec<(JobId, u32)> },
}

/// The answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    Hello {
        state_ok: bool,
        /// Milliseconds since a worker last reported here, if one ever did.
        workers_heard_ms: Option<i64>,
    },
    Answer {
        status: u16,
        body: Vec<u8>,
    },
    Noted,
}
