//! Instants on the monotonic clock of this process, and the spans between them.
//!
//! Both are signed milliseconds, since a job may have been submitted before this process started. Arithmetic
//! saturates, since times may come from external input.

use std::ops::{Add, AddAssign, Sub};

/// Limit in milliseconds for spans converted from seconds, so that sums of them can't overflow.
const MAX_MILLIS: f64 = 9.0e15;

/// An instant on the monotonic clock of this process, in milliseconds since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(pub i64);

impl Instant {
    /// An instant before all others that occur, for events that have not happened yet.
    pub const LONG_AGO: Instant = Instant(i64::MIN / 4);
    /// The start of this process.
    pub const ZERO: Instant = Instant(0);

    /// Returns the seconds since the process started.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

/// The time from one instant to another, in milliseconds; negative if the second instant is the earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeSpan(pub i64);

impl TimeSpan {
    /// A span of length zero.
    pub const ZERO: TimeSpan = TimeSpan(0);

    /// Converts seconds to a span. Infinite and very large values are clamped; NaN becomes zero.
    pub fn from_secs(s: f64) -> Self {
        TimeSpan((s * 1000.0).clamp(-MAX_MILLIS, MAX_MILLIS) as i64)
    }

    /// Returns the span in seconds.
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
