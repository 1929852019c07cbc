//! Raising the leader's own fencing token.

use super::{Draft, DraftContext, RecordUpdate};
use crate::coordination::attempts::ledger::{PushDelivery, TaskAttempt};
use crate::coordination::machines::machine::Machine;
use crate::ids::FencingToken;
use crate::protocol::state::Change;
use crate::storage::records::{LeaderRecord, FENCING_TOKEN_KEY, LEADER_KEY};
use crate::time::TimeSpan;

/// The token is raised this often while tombstones, or launches without a response, wait for it.
const TOKEN_RAISE_INTERVAL: TimeSpan = TimeSpan(60_000);
/// It is raised this often while a machine has too many tombstones.
const URGENT_TOKEN_RAISE_INTERVAL: TimeSpan = TimeSpan(5_000);
/// So many tombstones on one machine are too many.
const MAX_TOMBSTONES_PER_MACHINE: usize = 150;

impl DraftContext<'_> {
    /// A leader raises its own token from time to time, so that tombstones of pushed launches can be cleared: a
    /// copy of the command that launched carries a lower one by then.
    pub fn draft_token(&self, draft: &mut Draft) {
        if !self.is_token_raise_due() {
            return;
        }
        let term = self.leadership.term();
        let token = FencingToken(term.token.0 + 1);
        let record = LeaderRecord {
            host_name: term.host_name.clone(),
            token,
        };
        let Ok(data) = serde_json::to_value(&record) else {
            return;
        };
        let preconditions = vec![(FENCING_TOKEN_KEY.to_string(), term.token_counter_revision)];
        let changes = vec![
            Change::Put {
                key: LEADER_KEY.into(),
                data,
                lease: Some(term.lease),
            },
            Change::put(FENCING_TOKEN_KEY.into(), token.0.into()),
        ];
        // It is the first in the draft, so it fits.
        let _fits = draft.add(preconditions, changes, RecordUpdate::Token { token });
    }

    fn is_token_raise_due(&self) -> bool {
        let since_last_raise = self.cluster.now - self.writer.token_raised_at();
        if since_last_raise < URGENT_TOKEN_RAISE_INTERVAL {
            return false;
        }
        let mut machines = self.cluster.machines.values();
        if machines.any(|machine| machine.attempts.tombstone_count() >= MAX_TOMBSTONES_PER_MACHINE)
        {
            return true;
        }
        let mut machines = self.cluster.machines.values();
        since_last_raise >= TOKEN_RAISE_INTERVAL
            && machines.any(|machine| self.waits_for_higher_token(machine))
    }

    /// Whether a machine has a launch without a response, or a tombstone launched with the token in force.
    fn waits_for_higher_token(&self, machine: &Machine) -> bool {
        let is_blocked = |attempt: &TaskAttempt| {
            attempt.has_ended() && attempt.launch_token == Some(self.leadership.token())
        };
        let is_lost =
            |attempt: &TaskAttempt| matches!(attempt.last_push, PushDelivery::Unconfirmed(..));
        machine.attempts.iter().any(is_lost)
            || (machine.attempts.tombstone_count() > 0 && machine.attempts.iter().any(is_blocked))
    }
}
