//! Leadership: until when a leader may act, and what a new one recovers.

pub mod authority;
pub mod recovery;

use crate::ids::AttemptId;
use crate::time::Instant;
use authority::LeadershipTerm;

/// Bits of an attempt's number that count within one leadership. Guards against numbers that come again:
/// with 20 bits they did after eleven hours of passes without a change of leaders; this takes five years.
const ATTEMPT_COUNTER_BITS: u32 = 32;
const ATTEMPT_COUNTER_MASK: u64 = (1 << ATTEMPT_COUNTER_BITS) - 1;

/// The leadership that the scheduler acts for.
#[derive(Debug)]
pub struct Leadership {
    /// What it holds on the state store.
    pub(crate) term: LeadershipTerm,
    /// When it began: no former leader has answered a worker since.
    pub(crate) began_at: Instant,
    /// The time of day at the steady clock's zero, in milliseconds since 1970: for hints about ages in records.
    pub(crate) wall_clock_at_zero_ms: u64,
    /// How many attempt ids have been given out.
    pub(crate) attempts_named: u64,
}

impl Leadership {
    /// A leadership that begins now.
    pub fn new(term: LeadershipTerm, began_at: Instant, wall_clock_at_zero_ms: u64) -> Leadership {
        Leadership {
            term,
            began_at,
            wall_clock_at_zero_ms,
            attempts_named: 0,
        }
    }

    /// An attempt id never used before: first tokens are unique for ever, and so is the count within one.
    pub fn next_attempt_id(&mut self) -> AttemptId {
        self.attempts_named += 1;
        let counter = self.attempts_named & ATTEMPT_COUNTER_MASK;
        AttemptId((self.term.first.0 << ATTEMPT_COUNTER_BITS) | counter)
    }
}
