//! Detection of inbound-unreachable machines: heartbeats arrive from them, but responses don't reach them,
//! since the network is partitioned in one direction only.

use crate::ids::FencingToken;
use crate::time::Instant;

/// A machine counts as unreachable after this many consecutive responses that its heartbeats don't acknowledge.
const MAX_UNACKNOWLEDGED_RESPONSES: u32 = 2;

/// Which responses a machine has acknowledged.
#[derive(Debug)]
pub struct Reachability {
    delivery: Delivery,
    /// The highest fencing token sent to the machine in a response to a heartbeat.
    token_sent: FencingToken,
    /// The highest fencing token reported in a status of the machine.
    token_acknowledged: FencingToken,
}

/// Whether responses reach the machine.
#[derive(Debug)]
enum Delivery {
    /// Responses reach the machine as far as is known; the last `unacknowledged` ones were not acknowledged.
    Working { unacknowledged: u32 },
    /// Responses don't reach the machine, as detected at `since` by an unacknowledged response. `None` if it
    /// was detected by the expiry of its lease in spite of responses, and none has gone unacknowledged
    /// afterwards.
    Failing { since: Option<Instant> },
}

impl Default for Reachability {
    fn default() -> Reachability {
        Reachability {
            delivery: Delivery::Working { unacknowledged: 0 },
            token_sent: FencingToken(0),
            token_acknowledged: FencingToken(0),
        }
    }
}

impl Reachability {
    /// Whether the machine seems to receive no responses.
    pub fn is_unreachable(&self) -> bool {
        matches!(self.delivery, Delivery::Failing { .. })
    }

    /// Since when the machine has counted as unreachable because of unacknowledged responses.
    pub fn unreachable_since(&self) -> Option<Instant> {
        match self.delivery {
            Delivery::Working { .. } => None,
            Delivery::Failing { since } => since,
        }
    }

    /// Records that something sent to the machine has reached it.
    pub fn mark_reachable(&mut self) {
        self.delivery = Delivery::Working { unacknowledged: 0 };
    }

    /// Records that a response with the fencing token is sent.
    pub fn record_response(&mut self, token: FencingToken) {
        self.token_sent = self.token_sent.max(token);
    }

    /// Whether a higher fencing token was sent to the machine than the one in its status.
    pub fn awaits_acknowledgement(&self, token_in_status: FencingToken) -> bool {
        self.token_sent > token_in_status
    }

    /// Records the highest fencing token that the machine has seen, as reported in its status. A new token of
    /// this leadership term, which started with `initial_token`, can only have come from this leader: the
    /// machine is reachable.
    pub fn record_token(&mut self, token: FencingToken, initial_token: FencingToken) {
        if token > self.token_acknowledged && token >= initial_token {
            self.mark_reachable();
        }
        self.token_acknowledged = self.token_acknowledged.max(token);
    }

    /// Whether a worker that reports this token as the highest that it has seen has lost its state, or the report is older
    /// than another.
    pub fn has_acknowledged_more_than(&self, token_in_status: FencingToken) -> bool {
        token_in_status < self.token_acknowledged
    }

    /// Records that the worker has lost its state: no response has reached it since.
    pub fn worker_restarted(&mut self, token_in_status: FencingToken) {
        self.token_sent = token_in_status;
        self.token_acknowledged = token_in_status;
    }

    /// Records that the lease of the machine's worker expired although its heartbeats were answered: responses
    /// don't reach the machine.
    pub fn record_lease_expiry(&mut self) {
        if let Delivery::Working { .. } = self.delivery {
            self.delivery = Delivery::Failing { since: None };
        }
    }

    /// Records a heartbeat that doesn't acknowledge the responses before it. Returns whether the machine counts
    /// as unreachable since `now` because of it.
    pub fn record_unacknowledged_response(&mut self, now: Instant) -> bool {
        match &mut self.delivery {
            Delivery::Working { unacknowledged } => {
                *unacknowledged += 1;
                if *unacknowledged < MAX_UNACKNOWLEDGED_RESPONSES {
                    return false;
                }
            }
            Delivery::Failing { since: None } => {}
            Delivery::Failing { since: Some(_) } => return false,
        }
        self.delivery = Delivery::Failing { since: Some(now) };
        true
    }
}
