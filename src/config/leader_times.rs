//! What bounds a leader's right to act, derived from the settings.

use super::operator::OperatorConfig;
use super::platform::WorkerTimes;
use crate::time::TimeSpan;

/// What bounds a leader's right to act. `max_staleness` is the term that keeps the time for cancellations, see
/// docs/SAFETY.md, "The bound on cancelled work".
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderTimes {
    /// How long the leader's lease in the state store lasts.
    pub lease_duration: TimeSpan,
    /// Taken off the authority that the lease gives, for pauses and drift.
    pub authority_margin: TimeSpan,
    /// A leader acts on no view of the open jobs that it asked for longer ago than this.
    pub max_staleness: TimeSpan,
    /// How long one watch request is held open. One that fails and the next fit into the staleness, and so do
    /// two that are as late as they may be.
    pub watch_hold: TimeSpan,
    /// How much longer than that its response may take.
    pub watch_timeout: TimeSpan,
}

/// Two steady clocks may differ by 0.05% each way: 0.2% covers them with room.
const CLOCK_DRIFT: f64 = 1.002;
/// What stopping takes apart from waiting: a decision of the scheduler, the grain of timers, and what a worker
/// needs to act on the end of its lease.
const STOPPING_SECS: f64 = 2.0;
/// A leader that must know everything of the last moments would lose its authority by chance.
const MIN_STALENESS_SECS: f64 = 2.0;
/// The watch's part of the staleness, and its bounds in seconds.
const WATCH_HOLD_SHARE: f64 = 1.0 / 8.0;
const MIN_WATCH_HOLD_SECS: f64 = 0.25;
const MAX_WATCH_HOLD_SECS: f64 = 8.0;
/// The part of the staleness for a late response, and its bounds in seconds.
const WATCH_TIMEOUT_SHARE: f64 = 0.375;
const MIN_WATCH_TIMEOUT_SECS: f64 = 0.5;
const MAX_WATCH_TIMEOUT_SECS: f64 = 10.0;

/// Heartbeats are sent every `report_s`, give or take a quarter.
const HEARTBEAT_JITTER: f64 = 1.25;
/// An election, and what the new leader reads before it answers.
const FAILOVER_SECS: f64 = 1.0;

impl LeaderTimes {
    /// The times that keep `cancel_s`; None if it is too close to `lease_s` for any leader.
    ///
    /// Guards against tasks that outlive their cancellation: a leader that has not learnt of it goes on answering
    /// a worker, whose lease is then renewed. Nothing that reaches the leader is counted on, only its own clock.
    pub fn derive(workers: &WorkerTimes, operator: &OperatorConfig) -> Option<LeaderTimes> {
        let room_secs = workers.cancel_s - workers.lease_s * CLOCK_DRIFT - STOPPING_SECS;
        let staleness_secs = room_secs / CLOCK_DRIFT;
        if staleness_secs < MIN_STALENESS_SECS {
            return None;
        }
        let max_staleness = TimeSpan::from_secs(staleness_secs);
        let lease_duration = TimeSpan(operator.leader_lease_ms as i64).min(max_staleness);
        let authority_margin = TimeSpan(operator.authority_margin_ms as i64);
        let watch_hold_secs = staleness_secs * WATCH_HOLD_SHARE;
        let watch_timeout_secs = staleness_secs * WATCH_TIMEOUT_SHARE;
        Some(LeaderTimes {
            lease_duration,
            authority_margin: authority_margin.min(TimeSpan(lease_duration.0 / 3)),
            max_staleness,
            watch_hold: TimeSpan::from_secs(
                watch_hold_secs.clamp(MIN_WATCH_HOLD_SECS, MAX_WATCH_HOLD_SECS),
            ),
            watch_timeout: TimeSpan::from_secs(
                watch_timeout_secs.clamp(MIN_WATCH_TIMEOUT_SECS, MAX_WATCH_TIMEOUT_SECS),
            ),
        })
    }

    /// The smallest `lease_s`, in seconds, with which tasks outlive the end of a leader: a worker's last answer is a
    /// heartbeat old by then, the leader's lease has to run out, and the next leader to be elected and recovered.
    pub fn min_worker_lease_secs(&self, workers: &WorkerTimes) -> f64 {
        let longest_heartbeat_gap_secs = workers.heartbeat_interval_s * HEARTBEAT_JITTER;
        self.lease_duration.secs() + longest_heartbeat_gap_secs + FAILOVER_SECS
    }

    /// The smallest `cancel_s`, in seconds, for which a leader's times can be derived.
    pub fn min_cancel_secs(workers: &WorkerTimes) -> f64 {
        workers.lease_s * CLOCK_DRIFT + STOPPING_SECS + MIN_STALENESS_SECS * CLOCK_DRIFT
    }
}
