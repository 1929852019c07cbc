//! Signs that a worker was restarted without its tasks and its fencing token, and what it has to see since.

use crate::ids::FencingToken;
use crate::time::Instant;

/// After this many heartbeats without a token, none of them newer than one with a token, the worker was restarted: it
/// reports again and again, while only the first heartbeat or two of a machine have duplicates like these.
const MIN_SUSPECTED_RESTARTS: u32 = 2;

/// What is known of restarts of one machine's worker.
#[derive(Debug)]
pub struct WorkerRestarts {
    /// When a message last showed that the worker may have been restarted.
    last_sign_at: Instant,
    /// Outdated heartbeats without a token since the last newer heartbeat.
    suspected: u32,
    /// The highest token of commands of which the worker may execute a copy: it has to see a higher one.
    token_to_exceed: Option<FencingToken>,
}

impl Default for WorkerRestarts {
    fn default() -> WorkerRestarts {
        WorkerRestarts {
            last_sign_at: Instant::LONG_AGO,
            suspected: 0,
            token_to_exceed: None,
        }
    }
}

impl WorkerRestarts {
    /// Returns when the lease of a restarted worker may have started: at the last sign of a restart, at the latest.
    pub fn latest_lease_start(&self) -> Instant {
        self.last_sign_at
    }

    /// Records a message by which the worker has lost its state.
    pub fn state_lost(&mut self, now: Instant) {
        self.last_sign_at = now;
    }

    /// Records a heartbeat that is no newer than others and reports a lower token than one of them: the worker may have
    /// been restarted, and count its messages or sessions from the beginning. Returns whether this shows a restart; a
    /// single one may as well be a delayed duplicate.
    pub fn outdated_heartbeat(&mut self, now: Instant, token: FencingToken) -> bool {
        self.last_sign_at = now;
        if token > FencingToken(0) {
            return false;
        }
        self.suspected += 1;
        self.suspected == MIN_SUSPECTED_RESTARTS
    }

    /// Records a heartbeat that is newer than all before.
    pub fn newer_heartbeat(&mut self) {
        self.suspected = 0;
    }

    /// Records that the worker may execute copies of commands with tokens up to `token`.
    pub fn require_token_above(&mut self, token: FencingToken) {
        self.token_to_exceed = self.token_to_exceed.max(Some(token));
    }

    /// Records the highest token that the worker has seen.
    pub fn token_seen(&mut self, token: FencingToken) {
        self.token_to_exceed.take_if(|exceeded| *exceeded < token);
    }

    /// Whether the worker may execute copies of commands.
    pub fn may_execute_copies(&self) -> bool {
        self.token_to_exceed.is_some()
    }

    /// Whether the worker may execute copies of commands until it sees this token.
    pub fn must_see(&self, token: FencingToken) -> bool {
        self.token_to_exceed
            .is_some_and(|exceeded| exceeded < token)
    }
}
