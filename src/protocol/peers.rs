//! The wire between controllers: postcard in length-delimited frames. The order of variants and of their
//! fields is the format: a new message needs a new variant, at the end.

use crate::ids::JobId;
use serde::{Deserialize, Serialize};

/// A request of one controller to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Does the state store serve you, and do workers reach you?
    Hello,
    /// Answer this user's request for me: the state store does not serve me. Never forwarded again.
    Forward {
        /// The HTTP method.
        method: String,
        /// The HTTP path.
        path: String,
        /// The HTTP body, byte for byte.
        body: Vec<u8>,
    },
    /// Task counts for display, from the leader. Replaces the previous list.
    Counts {
        /// Job, completed tasks, running tasks.
        jobs: Vec<(JobId, u32, u32)>,
    },
    /// The state store has confirmed that these jobs are cancelled.
    Cancelled {
        /// Job and number of its tasks.
        jobs: Vec<(JobId, u32)>,
    },
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The answer to `Hello`.
    Hello {
        /// Whether the state store served the peer a moment ago.
        state_ok: bool,
        /// Milliseconds since a worker last reported here, if one ever did.
        workers_heard_ms: Option<i64>,
    },
    /// The answer to `Forward`: an HTTP response.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The HTTP body.
        body: Vec<u8>,
    },
    /// The answer to everything else.
    Noted,
}
