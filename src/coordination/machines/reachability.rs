//! Whether a machine that sends heartbeats receives what it is answered: its network may be partitioned in
//! one direction only.

use crate::ids::FencingToken;
use crate::time::Instant;

/// Heartbeats in a row that show nothing of the responses before them: the machine counts as unreachable.
const MAX_UNACKNOWLEDGED_RESPONSES: u32 = 2;

/// What a machine has shown of our responses.
#[derive(Debug)]
pub struct Reachability {
    delivery: Delivery,
    /// The highest fencing token that a heartbeat of it was answered with.
    token_sent: FencingToken,
    /// The highest fencing token that a status of it has shown.
    token_acknowledged: FencingToken,
}

#[derive(Debug)]
enum Delivery {
    /// Responses reach it, as far as we know; so many in a row have not been acknowledged.
    Working { unacknowledged: u32 },
    /// Responses do not reach it: noted at that moment, on an unacknowledged response. `None`: its lease ran
    /// out although we had answered, and no response has gone unacknowledged since.
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
    /// Whether responses seem not to reach the machine.
    pub fn is_unreachable(&self) -> bool {
        matches!(self.delivery, Delivery::Failing { .. })
    }

    /// Since when it has counted as unreachable, by responses that went unacknowledged.
    pub fn unreachable_since(&self) -> Option<Instant> {
        match self.delivery {
            Delivery::Working { .. } => None,
            Delivery::Failing { since } => since,
        }
    }

    /// It has shown that something we sent reached it.
    pub fn mark_reachable(&mut self) {
        self.delivery = Delivery::Working { unacknowledged: 0 };
    }

    /// A heartbeat is answered under that token.
    pub fn record_response(&mut self, token: FencingToken) {
        self.token_sent = self.token_sent.max(token);
    }

    /// Whether it was sent a higher token than its status shows.
    pub fn awaits_acknowledgement(&self, token_in_status: FencingToken) -> bool {
        self.token_sent > token_in_status
    }

    /// A status shows the highest token that the machine has seen. One of this leadership, which began with
    /// `initial_token`, that it has not shown before can only have reached it from us.
    pub fn record_token(&mut self, token: FencingToken, initial_token: FencingToken) {
        if token > self.token_acknowledged && token >= initial_token {
            self.mark_reachable();
        }
        self.token_acknowledged = self.token_acknowledged.max(token);
    }

    /// Its lease ran out although we had answered: nothing that we say reaches it.
    pub fn record_lease_expiry(&mut self) {
        if let Delivery::Working { .. } = self.delivery {
            self.delivery = Delivery::Failing { since: None };
        }
    }

    /// A heartbeat shows nothing of what the machine was answered. True if that makes it unreachable since now.
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
