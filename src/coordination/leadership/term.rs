//! The leadership term: what a leader holds on the state store, its fencing tokens, and the attempt ids it
//! gives out.

use crate::ids::{AttemptId, FencingToken, KeyRevision, LeaseId};
use crate::protocol::state::KeyValue;
use crate::storage::records::LeaderRecord;
use crate::time::{Instant, TimeSpan};

/// Bits of an attempt id that count within one term. Guards against ids that come again: with 20 bits they
/// did after eleven hours of placement without a change of leaders; this takes five years.
const ATTEMPT_COUNTER_BITS: u32 = 32;
const ATTEMPT_COUNTER_MASK: u64 = (1 << ATTEMPT_COUNTER_BITS) - 1;

/// What a leader holds on the state store.
#[derive(Debug, Clone)]
pub struct LeadershipTerm {
    /// The fencing token in force: a leader may raise its own.
    pub token: FencingToken,
    /// The fencing token that this term began with. It names the term.
    pub initial_token: FencingToken,
    /// Revision of the leader key, the precondition of every write.
    pub leader_key_revision: KeyRevision,
    /// Revision of the durable counter of fencing tokens.
    pub token_counter_revision: KeyRevision,
    /// The lease that the leader key is on.
    pub lease: LeaseId,
    /// The host name that the leader key carries.
    pub host_name: String,
}

/// What reading the leader key again has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum LeaderKeyOwner {
    /// It is still ours, with the fencing token that we knew.
    Us,
    /// It is still ours, with a higher fencing token: we raised it without learning of it.
    UsWithRaisedToken,
    /// It is gone, or another controller's.
    Other,
}

/// The leadership that the scheduler acts for. Owns the term, and changes it as the leader key does.
#[derive(Debug)]
pub struct Leadership {
    term: LeadershipTerm,
    started_at: Instant,
    /// The time of day at the steady clock's zero, in milliseconds since 1970.
    unix_time_at_zero_ms: u64,
    attempt_ids_issued: u64,
}

impl Leadership {
    /// A leadership that begins at that moment. The time of day at the steady clock's zero, in milliseconds
    /// since 1970, serves hints about ages in records only: it may be off.
    pub fn new(term: LeadershipTerm, started_at: Instant, unix_time_at_zero_ms: u64) -> Leadership {
        Leadership {
            term,
            started_at,
            unix_time_at_zero_ms,
            attempt_ids_issued: 0,
        }
    }

    /// The fencing token in force.
    pub(crate) fn token(&self) -> FencingToken {
        self.term.token
    }

    /// The fencing token that the term began with: a status with at least this one was written after that.
    pub(crate) fn initial_token(&self) -> FencingToken {
        self.term.initial_token
    }

    /// When the term began: no former leader has answered a worker since.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// How long the term has lasted.
    pub(crate) fn age(&self, now: Instant) -> TimeSpan {
        now - self.started_at
    }

    /// What is held on the state store.
    pub(crate) fn term(&self) -> &LeadershipTerm {
        &self.term
    }

    /// A transaction that raised the fencing token has been applied; it wrote both keys.
    pub(crate) fn token_raised(&mut self, token: FencingToken, revision: KeyRevision) {
        self.term.token = token;
        self.term.leader_key_revision = revision;
        self.term.token_counter_revision = revision;
    }

    /// The counter of fencing tokens has been read again.
    pub(crate) fn token_counter_reread(&mut self, revision: KeyRevision) {
        self.term.token_counter_revision = revision;
    }

    /// The leader key has been read again. It is ours as long as it is on our lease.
    pub(crate) fn leader_key_reread(&mut self, item: Option<KeyValue>) -> LeaderKeyOwner {
        let Some((token, revision)) = item.and_then(|item| self.own_leader_key(item)) else {
            return LeaderKeyOwner::Other;
        };
        self.term.leader_key_revision = revision;
        if token <= self.term.token {
            return LeaderKeyOwner::Us;
        }
        self.term.token = token;
        LeaderKeyOwner::UsWithRaisedToken
    }

    /// The fencing token and the revision of the leader key, if it is ours.
    fn own_leader_key(&self, item: KeyValue) -> Option<(FencingToken, KeyRevision)> {
        if item.lease != Some(self.term.lease) {
            return None;
        }
        let record: LeaderRecord = serde_json::from_value(item.data).ok()?;
        let is_ours = record.host_name == self.term.host_name;
        is_ours.then_some((record.token, item.revision))
    }

    /// An attempt id never used before: initial tokens are unique for ever, and so is the count within a term.
    pub(crate) fn next_attempt_id(&mut self) -> AttemptId {
        self.attempt_ids_issued += 1;
        let counter = self.attempt_ids_issued & ATTEMPT_COUNTER_MASK;
        AttemptId((self.term.initial_token.0 << ATTEMPT_COUNTER_BITS) | counter)
    }

    /// A time of day on record, given as the time since 1970, on this process's steady clock. Only hints rest
    /// on it.
    pub(crate) fn monotonic_from_unix(&self, time_of_day: TimeSpan) -> Instant {
        Instant(time_of_day.0) - TimeSpan(self.unix_time_at_zero_ms as i64)
    }

    /// The time of day at a point on the steady clock, in milliseconds since 1970: a hint for records.
    pub(crate) fn unix_time_ms(&self, at: Instant) -> u64 {
        self.unix_time_at_zero_ms.saturating_add_signed(at.0)
    }
}
