//! Raising the leader's own fencing token.

use super::{Draft, DraftContext, RecordUpdate};
use crate::coordination::attempts::ledger::{PushDelivery, TaskAttempt};
use crate::coordination::machines::machine::Machine;
use crate::ids::FencingToken;
use crate::protocol::state::Change;
use crate::storage::records::{LeaderRecord, FENCING_TOKEN_KEY, LEADER_KEY};
use crate::time::TimeSpan;

/// Interval between raises of the token while tombstones or unconfirmed launches require a higher token.
const TOKEN_RAISE_INTERVAL: TimeSpan = TimeSpan(60_000);
/// Interval between raises of the token while a machine has [`URGENT_TOMBSTONE_COUNT`] tombstones or more.
const URGENT_TOKEN_RAISE_INTERVAL: TimeSpan = TimeSpan(5_000);
/// Interval between raises of the token while workers that have lost their state may execute copies of commands.
const LOST_STATE_RAISE_INTERVAL: TimeSpan = TimeSpan(1_000);
/// Number of tombstones on one machine from which the token is raised at the shorter interval.
const URGENT_TOMBSTONE_COUNT: usize = 150;
/// Number of raises to revoke launches for which there is time before leases have to end instead.
const RAISES_BEFORE_LEASE_ENDS: i64 = 8;

impl DraftContext<'_> {
    /// Drafts a raise of the leader's own token if one is due. Tombstones of pushed launches can be cleared only after
    /// a raise: the worker then refuses a late copy of the launch command because its token is lower.
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
                put_key: LEADER_KEY.into(),
                data,
                lease: Some(term.lease),
            },
            Change::put(FENCING_TOKEN_KEY.into(), token.0.into()),
        ];
        // The token is the first update in the draft, so it fits.
        let _fits = draft.add(preconditions, changes, RecordUpdate::Token { token });
    }

    fn is_token_raise_due(&self) -> bool {
        let since_last_raise = self.cluster.now - self.writer.token_raised_at();
        if self.leadership.must_revoke_token() && since_last_raise >= self.revocation_interval() {
            return true;
        }
        if since_last_raise < URGENT_TOKEN_RAISE_INTERVAL {
            return false;
        }
        let mut machines = self.cluster.machines.values();
        if machines.any(|machine| machine.attempts.tombstone_count() >= URGENT_TOMBSTONE_COUNT) {
            return true;
        }
        let mut machines = self.cluster.machines.values();
        since_last_raise >= TOKEN_RAISE_INTERVAL
            && machines.any(|machine| self.needs_higher_token(machine))
    }

    /// Returns the interval between raises of the token while it has to be raised to revoke launches.
    fn revocation_interval(&self) -> TimeSpan {
        let mut machines = self.cluster.machines.values();
        if machines.any(|machine| machine.restarts.may_execute_copies()) {
            return LOST_STATE_RAISE_INTERVAL;
        }
        let time_to_revoke = self.cluster.policy.max_staleness();
        URGENT_TOKEN_RAISE_INTERVAL.min(TimeSpan(time_to_revoke.0 / RAISES_BEFORE_LEASE_ENDS))
    }

    /// Whether a machine has an unconfirmed launch, or a tombstone that was launched with the current token.
    fn needs_higher_token(&self, machine: &Machine) -> bool {
        let is_blocked = |attempt: &TaskAttempt| {
            attempt.has_ended() && attempt.launch_token == Some(self.leadership.token())
        };
        let is_unconfirmed =
            |attempt: &TaskAttempt| matches!(attempt.last_push, PushDelivery::Unconfirmed(..));
        machine.attempts.iter().any(is_unconfirmed)
            || (machine.attempts.tombstone_count() > 0 && machine.attempts.iter().any(is_blocked))
    }
}
