//! Authority: until when a leader may act, by its own monotonic clock.
//!
//! Guarantees that a leader's authority ends before another controller can take over. The leader's tasks share
//! it without a lock; it does not depend on the scheduler.

use crate::config::LeaderTimes;
use crate::time::{Instant, TimeSpan};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

/// The allowance for clock drift is the lease's duration divided by this. The resulting 0.2% covers two monotonic
/// clocks that drift by up to 0.05% each.
const CLOCK_DRIFT_DIVISOR: i64 = 500;

/// Why a leader may not act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthorityLoss {
    /// The leader resigned, or a record or a worker showed that another controller leads.
    Resigned,
    /// No recent lease renewal has succeeded.
    LeaseExpired,
    /// The leader's view of the open jobs is too old.
    ViewTooOld,
}

/// A leader's right to act. It ends with the earlier of two times:
///
/// - the time the last successful lease renewal was *sent*, plus the lease's duration, minus a margin: the
///   state store cannot have ended the lease before, so no other controller can have taken over;
/// - the time the last answered request for the open jobs was *sent*, plus the allowed staleness.
///
/// The second guards against a leader with a stale view whose renewals still succeed: its responses would keep
/// renewing the leases of workers whose tasks have been cancelled meanwhile. It limits how long tasks run on
/// after a cancellation that the leader never learns of, see docs/SAFETY.md.
#[derive(Debug)]
pub struct Authority {
    times: LeaderTimes,
    /// Both times in milliseconds on the monotonic clock; neither moves back.
    lease_valid_until_ms: AtomicI64,
    view_valid_until_ms: AtomicI64,
    resigned: AtomicBool,
}

impl Authority {
    /// Creates authority from a lease whose grant was requested at `sent_at`. The open jobs must be read after
    /// that.
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

    /// Extends the authority after a lease renewal sent at `sent_at` succeeded. Responses that arrive out of
    /// order have no effect.
    pub fn lease_renewed(&self, sent_at: Instant) {
        let lease_duration = self.times.lease_duration;
        let drift = TimeSpan(lease_duration.0 / CLOCK_DRIFT_DIVISOR + 1);
        let until = sent_at + lease_duration - self.times.authority_margin - drift;
        self.lease_valid_until_ms
            .fetch_max(until.0, Ordering::Relaxed);
    }

    /// Extends the authority after a request for the open jobs or their changes, sent at `sent_at`, was
    /// answered and the scheduler has processed the response.
    pub fn view_refreshed(&self, sent_at: Instant) {
        let until = sent_at + self.times.max_staleness;
        self.view_valid_until_ms
            .fetch_max(until.0, Ordering::Relaxed);
    }

    /// Ends the authority permanently: a renewal in flight cannot restore it.
    pub fn resign(&self) {
        self.resigned.store(true, Ordering::Relaxed);
    }

    /// Whether the leader may act at `now`.
    #[must_use]
    pub fn is_held(&self, now: Instant) -> bool {
        self.loss(now).is_none()
    }

    /// Returns why the leader may not act at `now`; `None` if it may.
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

    /// Returns the age of the view: the time since the last answered request for the open jobs was sent.
    pub fn view_age(&self, now: Instant) -> TimeSpan {
        let valid_until = Instant(self.view_valid_until_ms.load(Ordering::Relaxed));
        now - (valid_until - self.times.max_staleness)
    }
}
