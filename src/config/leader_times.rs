//! Time bounds of the leader's authority, derived from the settings.

use super::operator::OperatorConfig;
use super::platform::WorkerTimes;
use crate::time::TimeSpan;

/// Time bounds of the leader's authority. `max_staleness` is what keeps cancellations within `cancel_s`, see
/// docs/SAFETY.md, "The bound on cancelled work".
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderTimes {
    /// Duration of the leader's lease in the state store.
    pub lease_duration: TimeSpan,
    /// How long before the end of its lease the leader stops acting, to allow for process pauses and clock drift.
    pub authority_margin: TimeSpan,
    /// Largest age of the view of the open jobs on which the leader acts, counted from sending the request for it.
    pub max_staleness: TimeSpan,
    /// How long the state store holds a watch request open. A failed watch and the next one fit into
    /// `max_staleness`, and so do two whose responses take as long as allowed.
    pub watch_hold: TimeSpan,
    /// How much longer than `watch_hold` the response to a watch request may take.
    pub watch_timeout: TimeSpan,
}

/// Two monotonic clocks may each drift by 0.05%: 0.2% covers both with a margin.
const CLOCK_DRIFT_FACTOR: f64 = 1.002;
/// Part of `cancel_s` that is reserved for a scheduling step, the granularity of timers, and a worker's reaction to
/// the expiry of its lease.
const STOPPING_SECS: f64 = 2.0;
/// With a smaller bound, a leader would lose its authority by ordinary delays.
const MIN_STALENESS_SECS: f64 = 2.0;
/// Share of `max_staleness` for which a watch request is held open, and the bounds of that time in seconds.
const WATCH_HOLD_SHARE: f64 = 1.0 / 8.0;
const MIN_WATCH_HOLD_SECS: f64 = 0.25;
const MAX_WATCH_HOLD_SECS: f64 = 8.0;
/// Share of `max_staleness` by which the response to a watch may be late, and the bounds of that time in seconds.
const WATCH_TIMEOUT_SHARE: f64 = 0.375;
const MIN_WATCH_TIMEOUT_SECS: f64 = 0.5;
const MAX_WATCH_TIMEOUT_SECS: f64 = 10.0;

/// The longest interval between heartbeats as a multiple of `report_s`: it varies by a quarter.
const HEARTBEAT_JITTER: f64 = 1.25;
/// Time for an election, and for a new leader to read its state before it responds to workers.
const FAILOVER_SECS: f64 = 1.0;

impl LeaderTimes {
    /// Derives the times that keep `cancel_s`; None if `cancel_s` is too close to `lease_s` for any leader.
    ///
    /// Guards against tasks that outlive their cancellation: a leader that has not learnt of the cancellation goes
    /// on responding to a worker, which renews the worker's lease. The bounds rely on the leader's own clock only,
    /// not on any message that reaches it.
    pub fn derive(workers: &WorkerTimes, operator: &OperatorConfig) -> Option<LeaderTimes> {
        let available_secs =
            workers.cancel_s - workers.lease_s * CLOCK_DRIFT_FACTOR - STOPPING_SECS;
        let staleness_secs = available_secs / CLOCK_DRIFT_FACTOR;
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

    /// Returns the smallest `lease_s`, in seconds, with which tasks survive a failover: when a leader fails, the last
    /// response to a worker may be one heartbeat interval old; then the leader's lease has to expire, and a new
    /// leader has to be elected and to recover.
    pub fn min_worker_lease_secs(&self, workers: &WorkerTimes) -> f64 {
        let longest_heartbeat_gap_secs = workers.heartbeat_interval_s * HEARTBEAT_JITTER;
        self.lease_duration.secs() + longest_heartbeat_gap_secs + FAILOVER_SECS
    }

    /// Returns the smallest `cancel_s`, in seconds, for which the leader's times can be derived.
    pub fn min_cancel_secs(workers: &WorkerTimes) -> f64 {
        workers.lease_s * CLOCK_DRIFT_FACTOR
            + STOPPING_SECS
            + MIN_STALENESS_SECS * CLOCK_DRIFT_FACTOR
    }
}
