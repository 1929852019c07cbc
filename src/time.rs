//! Time as the scheduler sees it: points on the steady clock of this process, and spans between them.
//!
//! Both are signed milliseconds: a job may have been submitted before this process began. Arithmetic
//! saturates, for times may come from outside.

use std::ops::{Add, AddAssign, Sub};

/// Seconds are clamped to this many milliseconds, so that sums of them can't overflow.
const MAX_MILLIS: f64 = 9.0e15;

/// A point on the steady clock of this process, in milliseconds since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(pub i64);

impl Instant {
    /// A point before all others that occur: for what never happened yet.
    pub const LONG_AGO: Instant = Instant(i64::MIN / 4);
    /// The moment at which this process began.
    pub const ZERO: Instant = Instant(0);

    /// The time since the clock's zero, in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

/// The time between two points, in milliseconds; negative if the second one comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeSpan(pub i64);

impl TimeSpan {
    /// No time at all.
    pub const ZERO: TimeSpan = TimeSpan(0);

    /// A span from seconds; values that are not finite, or absurd, are clamped rather than wrapped.
    pub fn from_secs(s: f64) -> Self {
        TimeSpan((s * 1000.0).clamp(-MAX_MILLIS, MAX_MILLIS) as i64)
    }

    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Add<TimeSpan> for Instant {
    type Output = Instant;
    fn add(self, span: TimeSpan) -> Instant {
        Instant(self.0.saturating_add(span.0))
    }
}

impl AddAssign<TimeSpan> for Instant {
    fn add_assign(&mut self, span: TimeSpan) {
        *self = *self + span;
    }
}

impl Sub<TimeSpan> for Instant {
    type Output = Instant;
    fn sub(self, span: TimeSpan) -> Instant {
        Instant(self.0.saturating_sub(span.0))
    }
}

impl Sub for Instant {
    type Output = TimeSpan;
    fn sub(self, earlier: Instant) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl Add for TimeSpan {
    type Output = TimeSpan;
    fn add(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_add(other.0))
    }
}

impl Sub for TimeSpan {
    type Output = TimeSpan;
    fn sub(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(other.0))
    }
}
