//! Authority: until when a leader may act, on its own steady clock.
//!
//! Promises that a leader's authority ends before another controller can take over. It is shared by the
//! tasks of a leader without a lock, and knows nothing of the scheduler.

use crate::config::LeaderTimes;
use crate::time::{Instant, TimeSpan};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

/// Each of two steady clocks may drift by 0.05%: one part in so many of a lease's duration covers both, with
/// room.
const CLOCK_DRIFT_DIVISOR: i64 = 500;

/// Why a leader may not act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthorityLoss {
    /// It gave its authority up, or a record or a worker showed it that another controller leads.
    Resigned,
    /// No lease renewal that was sent recently has succeeded.
    LeaseExpired,
    /// What it knows of the open jobs is too old.
    ViewTooOld,
}

/// A leader's right to act. It ends with the earlier of two:
///
/// - the moment the last successful lease renewal was *sent*, plus the lease's duration, less a margin: the
///   state store can't have ended the lease before that, so no other controller can have taken over;
/// - the moment the last answered request for the open jobs was *sent*, plus the staleness allowed.
///
/// The second guards against a leader whose renewals succeed while what it knows of the jobs grows old: each
/// of its responses would renew the lease of a worker whose tasks were cancelled meanwhile. It bounds what a
/// cancellation that the leader never hears of costs, see docs/SAFETY.md.
#[derive(Debug)]
pub struct Authority {
    times: LeaderTimes,
    /// Milliseconds on the steady clock, as the two bounds; neither ever moves back.
    lease_valid_until_ms: AtomicI64,
    view_valid_until_ms: AtomicI64,
    resigned: AtomicBool,
}

impl Authority {
    /// Authority from a lease granted by a request that was sent at `sent_at`. The open jobs are read later
    /// than that.
    pub fn new(times: LeaderTimes, sent_at: Instant) -> Authority {
        let authority = Authority {
            times,
            lease_valid_until_ms: AtomicI64::new(i64::MIN),
            view_valid_until_ms: AtomicI64::new(i64::MIN),
            resigned: AtomicBool::new(false),
        };
        authority.lease_renewed(sent_at);
        authority.view_refreshed(sent_at);
        authority
    }

    /// A lease renewal sent at that moment succeeded. Later answers to earlier renewals change nothing.
    pub fn lease_renewed(&self, sent_at: Instant) {
        let lease_duration = self.times.lease_duration;
        let drift = TimeSpan(lease_duration.0 / CLOCK_DRIFT_DIVISOR + 1);
        let until = sent_at + lease_duration - self.times.authority_margin - drift;
        self.lease_valid_until_ms
            .fetch_max(until.0, Ordering::Relaxed);
    }

    /// A request for the open jobs, or for what changed in them, sent at that moment was answered, and the
    /// scheduler has taken the answer in.
    pub fn view_refreshed(&self, sent_at: Instant) {
        let until = sent_at + self.times.max_staleness;
        self.view_valid_until_ms
            .fetch_max(until.0, Ordering::Relaxed);
    }

    /// Gives authority up for good: a renewal still under way can't bring it back.
    pub fn resign(&self) {
        self.resigned.store(true, Ordering::Relaxed);
    }

    /// Whether the leader may act at this moment.
    #[must_use]
    pub fn is_held(&self, now: Instant) -> bool {
        self.loss(now).is_none()
    }

    /// Why the leader may not act at this moment; None if it may.
    #[must_use]
    pub fn loss(&self, now: Instant) -> Option<AuthorityLoss> {
        if self.resigned.load(Ordering::Relaxed) {
            return Some(AuthorityLoss::Resigned);
        }
        if now.0 >= self.lease_valid_until_ms.load(Ordering::Relaxed) {
            return Some(AuthorityLoss::LeaseExpired);
        }
        let view_too_old = now.0 >= self.view_valid_until_ms.load(Ordering::Relaxed);
        view_too_old.then_some(AuthorityLoss::ViewTooOld)
    }

    /// How long ago the last answered request for the open jobs was sent.
    pub fn view_age(&self, now: Instant) -> TimeSpan {
        let valid_until = Instant(self.view_valid_until_ms.load(Ordering::Relaxed));
        now - (valid_until - self.times.max_staleness)
    }
}
