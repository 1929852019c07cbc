//! The leadership term: the leader's keys in the state store, its fencing tokens, and the attempt ids that it
//! assigns.

use crate::ids::{AttemptId, FencingToken, KeyRevision, LeaseId};
use crate::protocol::state::KeyValue;
use crate::storage::records::LeaderRecord;
use crate::time::{Instant, TimeSpan};

/// Bits of an attempt id that number the attempts of one term. With 20 bits the numbers repeated after eleven
/// hours under one leader; 32 bits last five years.
const ATTEMPT_COUNTER_BITS: u32 = 32;
const ATTEMPT_COUNTER_MASK: u64 = (1 << ATTEMPT_COUNTER_BITS) - 1;

/// The leader's lease, fencing tokens and key revisions in the state store.
#[derive(Debug, Clone)]
pub struct LeadershipTerm {
    /// The current fencing token. A leader may raise its own.
    pub token: FencingToken,
    /// The fencing token at the start of the term, which identifies the term.
    pub initial_token: FencingToken,
    /// Revision of the leader key: a precondition of every write.
    pub leader_key_revision: KeyRevision,
    /// Revision of the key that counts fencing tokens.
    pub token_counter_revision: KeyRevision,
    /// The lease that the leader key is attached to.
    pub lease: LeaseId,
    /// The host name in the leader key.
    pub host_name: String,
}

/// Who owns the leader key, as found when it is read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum LeaderKeyOwner {
    /// This leader, with the fencing token known here.
    ThisLeader,
    /// This leader, with a higher fencing token: a raise succeeded but its outcome was unconfirmed.
    ThisLeaderWithRaisedToken,
    /// Another controller, or none: the key is absent.
    Other,
}

/// The leadership that the scheduler acts under. Keeps the term in line with the leader key.
#[derive(Debug)]
pub struct Leadership {
    term: LeadershipTerm,
    started_at: Instant,
    /// Unix time in milliseconds at the monotonic clock's zero.
    unix_time_at_zero_ms: u64,
    attempt_ids_issued: u64,
    /// When the last complete view of the open jobs was requested.
    view_requested_at: Instant,
    /// The highest token with which a worker may still execute a launch that has to be revoked.
    revoked_token: Option<FencingToken>,
}

impl Leadership {
    /// Creates the leadership of a term that starts at `started_at`. `unix_time_at_zero_ms` is the Unix time in
    /// milliseconds at the monotonic clock's zero; it may be inaccurate and only serves to estimate ages of
    /// records. `view_requested_at` is when the open jobs that the leader starts with were requested.
    pub fn new(
        term: LeadershipTerm,
        started_at: Instant,
        view_requested_at: Instant,
        unix_time_at_zero_ms: u64,
    ) -> Leadership {
        Leadership {
            term,
            started_at,
            unix_time_at_zero_ms,
            attempt_ids_issued: 0,
            view_requested_at,
            revoked_token: None,
        }
    }

    /// Returns the current fencing token.
    pub(crate) fn token(&self) -> FencingToken {
        self.term.token
    }

    /// Returns the fencing token at the start of the term: a status with this token or a higher one was written
    /// later.
    pub(crate) fn initial_token(&self) -> FencingToken {
        self.term.initial_token
    }

    /// Returns when the term started. No former leader has answered a worker since.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns how long the term has lasted.
    pub(crate) fn age(&self, now: Instant) -> TimeSpan {
        now - self.started_at
    }

    /// Returns when the last complete view of the open jobs was requested: each job that is open in it was not
    /// cancelled before.
    pub(crate) fn view_requested_at(&self) -> Instant {
        self.view_requested_at
    }

    /// Records that all changes of the open jobs up to a request at `requested_at` were handled.
    pub(crate) fn view_refreshed(&mut self, requested_at: Instant) {
        self.view_requested_at = self.view_requested_at.max(requested_at);
    }

    /// Requests a raise of the fencing token above `token`.
    pub(crate) fn revoke_token(&mut self, token: FencingToken) {
        self.revoked_token = self.revoked_token.max(Some(token));
    }

    /// Whether the current fencing token has to be raised to revoke launches.
    pub(crate) fn must_revoke_token(&self) -> bool {
        self.revoked_token
            .is_some_and(|revoked| revoked >= self.term.token)
    }

    /// Returns the term's lease, tokens and key revisions.
    pub(crate) fn term(&self) -> &LeadershipTerm {
        &self.term
    }

    /// Records a raised fencing token. The transaction wrote both the leader key and the token counter, at
    /// `revision`.
    pub(crate) fn token_raised(&mut self, token: FencingToken, revision: KeyRevision) {
        self.term.token = token;
        self.term.leader_key_revision = revision;
        self.term.token_counter_revision = revision;
    }

    /// Records the revision of the token counter after it was read again.
    pub(crate) fn token_counter_reread(&mut self, revision: KeyRevision) {
        self.term.token_counter_revision = revision;
    }

    /// Updates the term from the leader key, read again. This leader owns the key if it is attached to its
    /// lease.
    pub(crate) fn leader_key_reread(&mut self, item: Option<KeyValue>) -> LeaderKeyOwner {
        let Some((token, revision)) = item.and_then(|item| self.own_leader_key(item)) else {
            return LeaderKeyOwner::Other;
        };
        self.term.leader_key_revision = revision;
        if token <= self.term.token {
            return LeaderKeyOwner::ThisLeader;
        }
        self.term.token = token;
        LeaderKeyOwner::ThisLeaderWithRaisedToken
    }

    /// Returns the fencing token and revision of the leader key if this leader owns it.
    fn own_leader_key(&self, item: KeyValue) -> Option<(FencingToken, KeyRevision)> {
        if item.lease != Some(self.term.lease) {
            return None;
        }
        let record: LeaderRecord = serde_json::from_value(item.data).ok()?;
        let is_own = record.host_name == self.term.host_name;
        is_own.then_some((record.token, item.revision))
    }

    /// Returns an unused attempt id: initial tokens are unique, and so is the number within a term.
    pub(crate) fn next_attempt_id(&mut self) -> AttemptId {
        self.attempt_ids_issued += 1;
        let counter = self.attempt_ids_issued & ATTEMPT_COUNTER_MASK;
        AttemptId((self.term.initial_token.0 << ATTEMPT_COUNTER_BITS) | counter)
    }

    /// Converts a recorded Unix time to this process's monotonic clock. Wall clocks differ, so use it for hints
    /// only.
    pub(crate) fn monotonic_from_unix(&self, unix_time: TimeSpan) -> Instant {
        Instant(unix_time.0) - TimeSpan(self.unix_time_at_zero_ms as i64)
    }

    /// Converts a time on the monotonic clock to Unix time in milliseconds, as a hint for records.
    pub(crate) fn unix_time_ms(&self, at: Instant) -> u64 {
        self.unix_time_at_zero_ms.saturating_add_signed(at.0)
    }
}
