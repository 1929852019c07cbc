//! Faults of the network, the state store and the cloud. Each `…_until` holds until that moment.

use chalklug::time::Instant;

/// What goes wrong outside the workers.
#[derive(Default)]
pub struct Faults {
    /// The state store refuses everything.
    pub store_unavailable_until: Instant,
    /// The state store refuses the present leader alone.
    pub store_refuses_leader_until: Instant,
    /// The state store carries transactions out, and its responses are lost.
    pub store_responses_lost_until: Instant,
    /// Transactions are carried out seconds late, after the leader gave them up.
    pub transactions_late_until: Instant,
    /// The state store responds late, but in time.
    pub store_slow_until: Instant,
    /// Changes don't reach the leader, while its lease renewals and writes are served.
    pub watch_stalled_until: Instant,
    /// Controllers don't hear of each other.
    pub peers_partitioned_until: Instant,
    /// The cloud refuses everything.
    pub cloud_unavailable_until: Instant,
    /// The share of transactions that get no response and are carried out late, after newer ones.
    pub late_transaction_share: f64,
    /// The share of heartbeats that are lost.
    pub lost_heartbeat_share: f64,
    /// The share of heartbeats of which a duplicate comes late.
    pub duplicate_heartbeat_share: f64,
    /// The share of pushed commands of which a duplicate comes late.
    pub duplicate_push_share: f64,
    /// The first so many machines never boot.
    pub machines_never_booting: u32,
    /// Changes never reach the leader. It is no fault that excuses anything: it shows that the
    /// checker sees what follows.
    pub watch_blocked: bool,
}

impl Faults {
    /// Whether any fault that excuses delays is active.
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
            + self.duplicate_push_share;
        shares > 0.0 || ends.iter().any(|end| now < *end)
    }

    /// Whether the state store serves the present leader.
    pub fn store_serves_leader(&self, now: Instant) -> bool {
        now >= self.store_unavailable_until && now >= self.store_refuses_leader_until
    }
}
