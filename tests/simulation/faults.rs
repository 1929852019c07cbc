//! Faults of the network, the state store and the cloud. A fault with a field `…_until` is active until
//! that time.

use chalklug::time::{Instant, TimeSpan};

/// The faults outside the workers.
#[derive(Default)]
pub struct Faults {
    /// The state store refuses all requests.
    pub store_unavailable_until: Instant,
    /// The state store refuses the requests of the current leader only.
    pub store_refuses_leader_until: Instant,
    /// The state store applies transactions, but its responses are lost.
    pub store_responses_lost_until: Instant,
    /// Transactions are applied seconds late, after the leader's timeout.
    pub transactions_late_until: Instant,
    /// The state store responds slowly, but within the leader's timeout.
    pub store_slow_until: Instant,
    /// The watch delivers no changes to the leader, while lease renewals and writes succeed.
    pub watch_stalled_until: Instant,
    /// Messages between controllers are lost.
    pub peers_partitioned_until: Instant,
    /// The cloud refuses all requests.
    pub cloud_unavailable_until: Instant,
    /// Share of transactions that get no response and are applied late, after newer ones.
    pub late_transaction_share: f64,
    /// Share of heartbeats that are lost.
    pub lost_heartbeat_share: f64,
    /// Share of heartbeats that are followed by a late duplicate.
    pub duplicate_heartbeat_share: f64,
    /// Share of pushes that are followed by a late duplicate.
    pub duplicate_push_share: f64,
    /// Share of pushes that arrive late, and alone: other messages to and from the machine arrive in time.
    pub late_push_share: f64,
    /// How much later the late pushes arrive.
    pub late_push_delay: TimeSpan,
    /// Number of machines, counted from the first one rented, that never finish booting.
    pub machines_never_booting: u32,
    /// The watch never delivers changes to the leader. Doesn't count as an active fault, since
    /// scenarios use it to show that the checker detects the broken rules.
    pub watch_blocked: bool,
}

impl Faults {
    /// Whether any fault is active for which the checker tolerates delays.
    pub fn any_active(&self, now: Instant) -> bool {
        let ends = [
            self.cloud_unavailable_until,
            self.store_unavailable_until,
            self.store_responses_lost_until,
            self.transactions_late_until,
            self.store_slow_until,
            self.store_refuses_leader_until,
            self.watch_stalled_until,
            self.peers_partitioned_until,
        ];
        let shares = self.lost_heartbeat_share
            + self.late_transaction_share
            + self.duplicate_heartbeat_share
            + self.duplicate_push_share
            + self.late_push_share;
        shares > 0.0 || ends.iter().any(|end| now < *end)
    }

    /// Whether the state store serves the current leader.
    pub fn store_serves_leader(&self, now: Instant) -> bool {
        now >= self.store_unavailable_until && now >= self.store_refuses_leader_until
    }
}
