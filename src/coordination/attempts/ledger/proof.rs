//! The proofs that allow a task attempt to be removed from the ledger: docs/SAFETY.md, claim 6.
//!
//! Proofs are created only here, by functions that check their premises, and the ledger removes no attempt
//! without one. To verify that a task never runs twice, review this module and how the ledger uses its proofs.

use super::task_attempt::TaskAttempt;
use crate::coordination::machines::machine::Machine;
use crate::ids::{FencingToken, SequenceNumber, Session};
use crate::time::{Instant, TimeSpan};

/// Why an attempt certainly does not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalReason {
    /// No leader has launched the attempt.
    NeverLaunched,
    /// Proof 1: the worker does not list the attempt, and no launch of it can arrive any more.
    AbsentFromStatus,
    /// Proof 2: the attempt was launched in a worker session that has ended.
    SessionEnded,
    /// Proof 3: the lease that the attempt depends on has expired. No controller with the authority to renew it has
    /// done so for longer than a lease lasts.
    LeaseExpired,
    /// Proof 4: the cloud has confirmed that the machine is terminated.
    MachineTerminated,
}

/// Evidence that an attempt does not run and never will.
#[derive(Debug)]
#[must_use = "an attempt stays in the ledger until it is removed with the proof"]
pub struct RemovalProof(RemovalReason);

impl RemovalProof {
    /// Returns which proof this is.
    pub fn reason(&self) -> RemovalReason {
        self.0
    }

    /// Proves that an attempt is only planned. A launch intent that is still being written does no harm: it
    /// only makes a new leader assume that the attempt may run.
    pub fn never_launched(attempt: &TaskAttempt) -> Option<RemovalProof> {
        attempt
            .was_never_launched()
            .then_some(RemovalProof(RemovalReason::NeverLaunched))
    }

    /// Proofs 1 and 2: from a worker status. The launches in flight must have been updated from the status
    /// before.
    pub fn from_status(attempt: &TaskAttempt, status: &StatusEvidence) -> Option<RemovalProof> {
        if status.lists(attempt) || attempt.was_never_launched() {
            return None;
        }
        if status.starts_session && !attempt.recovered {
            // The tasks of the ended session have been killed, and the worker refuses launches addressed to
            // that session.
            return Some(RemovalProof(RemovalReason::SessionEnded));
        }
        if !status.is_confirmed {
            // Guards against a command of a former leader that the worker may still execute.
            return None;
        }
        // For an attempt of a former leader this leader's token in the status is enough: the worker refuses
        // commands with a lower one.
        //
        // A worker that has lost its tasks, because it was restarted, executes a copy of the push that launched them unless
        // it has seen a higher token. Guards against a task that runs twice: it was started elsewhere, and a copy of its
        // launch started it again here.
        let is_settled =
            !attempt.has_launch_in_flight() && !attempt.may_be_launched_again(status.token);
        (attempt.recovered || is_settled).then_some(RemovalProof(RemovalReason::AbsentFromStatus))
    }

    /// Whether only a higher fencing token is missing for a proof from the status: the worker has lost the attempt, but
    /// may execute a copy of the push that launched it.
    pub fn awaits_higher_token(attempt: &TaskAttempt, status: &StatusEvidence) -> bool {
        status.is_confirmed
            && !status.starts_session
            && !status.lists(attempt)
            && !attempt.was_never_launched()
            && !attempt.recovered
            && !attempt.has_launch_in_flight()
            && attempt.may_be_launched_again(status.token)
    }

    /// Proof 3: from the passing of time. `leadership_started_at` is an upper bound on a former leader's last
    /// response, and `lease_expiry_bound` is the lease's duration plus an allowance for clock drift. Also
    /// removes attempts that were never launched.
    pub fn lease_expired(
        machine: &Machine,
        attempt: &TaskAttempt,
        leadership_started_at: Instant,
        lease_expiry_bound: TimeSpan,
        now: Instant,
    ) -> Option<RemovalProof> {
        let lease_from = latest_lease_start(machine, attempt).max(leadership_started_at);
        (now - lease_from > lease_expiry_bound).then_some(RemovalProof(RemovalReason::LeaseExpired))
    }

    /// Proof 4: the cloud has answered the machine's termination with 200. The caller has checked that.
    pub(super) fn machine_terminated() -> RemovalProof {
        RemovalProof(RemovalReason::MachineTerminated)
    }
}

/// Returns the latest time from which the lease that an attempt depends on may count.
///
/// Guards against a task that runs twice: the worker's heartbeats don't arrive while pushes still reach it, so
/// its session changes after the last response. The new session has a lease of its own; counting from the last
/// response alone removed attempts launched in that session too early, and their tasks were started elsewhere.
/// An attempt of a former leader belongs to a session that started before this term, unless a status of a later
/// session lists it.
///
/// A worker that has lost its state counts its lease from its restart, also in the session that it was in.
fn latest_lease_start(machine: &Machine, attempt: &TaskAttempt) -> Instant {
    let last_response_at = machine
        .last_response_at
        .max(machine.restarts.latest_lease_start());
    let in_current_session = attempt.launch_session == Some(machine.session)
        || attempt
            .last_status
            .is_some_and(|status| status.message_id.0 == machine.session);
    if in_current_session {
        last_response_at.max(machine.session_first_seen_at)
    } else {
        last_response_at
    }
}

/// What a worker status proves about attempts that it does not list. Only created from a status that is newer,
/// by (session, sequence number), than all earlier ones.
#[derive(Clone, Copy, Debug)]
pub struct StatusEvidence {
    /// The worker's session and the status's sequence number in it.
    pub message_id: (Session, SequenceNumber),
    /// The highest fencing token that the worker has seen.
    pub token: FencingToken,
    /// Whether the status came in a heartbeat rather than in a push response.
    pub is_heartbeat: bool,
    /// Whether the session is higher than in all earlier statuses.
    pub starts_session: bool,
    /// Whether the token is of this leadership term: the worker then refuses commands of all former leaders.
    pub is_confirmed: bool,
}

impl StatusEvidence {
    /// Whether this status lists the attempt.
    pub fn lists(&self, attempt: &TaskAttempt) -> bool {
        attempt
            .last_status
            .is_some_and(|status| status.message_id == self.message_id)
    }
}
