//! The proofs by which a task attempt leaves the ledger: docs/SAFETY.md, claim 6.
//!
//! A proof is made only here, by functions that look at its premises, and the ledger removes nothing
//! without one. So whether a task can be started twice is to be judged from this module and from what the
//! ledger does with its proofs.

use super::task_attempt::TaskAttempt;
use crate::coordination::machines::machine::Machine;
use crate::ids::{FencingToken, SequenceNumber, Session};
use crate::time::{Instant, TimeSpan};

/// Why an attempt certainly runs nowhere, nor ever will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalReason {
    /// No leader has ever launched it.
    NeverLaunched,
    /// Proof 1: its worker does not list it, and no launch of it can arrive any more.
    AbsentFromStatus,
    /// Proof 2: it was launched in a session of its worker that has ended.
    SessionEnded,
    /// Proof 3: no entitled controller has renewed the lease that it lives by for longer than a lease lasts.
    LeaseExpired,
    /// Proof 4: the cloud has confirmed that its machine is terminated.
    MachineTerminated,
}

/// Evidence that an attempt runs nowhere, nor ever will.
#[derive(Debug)]
#[must_use = "an attempt stays in the ledger until it is removed with the proof"]
pub struct RemovalProof(RemovalReason);

impl RemovalProof {
    /// Which proof it is.
    pub fn reason(&self) -> RemovalReason {
        self.0
    }

    /// The attempt is only planned. An intent of it that is being written errs on the safe side.
    pub fn never_launched(attempt: &TaskAttempt) -> Option<RemovalProof> {
        attempt
            .was_never_launched()
            .then_some(RemovalProof(RemovalReason::NeverLaunched))
    }

    /// Proofs 1 and 2: what a worker's status proves of an attempt, once what the status says of the
    /// launches under way has been taken in.
    pub fn from_status(attempt: &TaskAttempt, status: &StatusEvidence) -> Option<RemovalProof> {
        if status.lists(attempt) || attempt.was_never_launched() {
            return None;
        }
        if status.starts_session && !attempt.recovered {
            // Launched in an earlier session, whose tasks are all killed and forgotten, and whose launches
            // the worker refuses.
            return Some(RemovalProof(RemovalReason::SessionEnded));
        }
        if !status.is_confirmed {
            // Guards against a command of the former leader that may still be executed.
            return None;
        }
        // For an attempt of a former leader our token in the status is enough: commands with a lower one are
        // no longer accepted by this worker.
        (attempt.recovered || !attempt.has_launch_in_flight())
            .then_some(RemovalProof(RemovalReason::AbsentFromStatus))
    }

    /// Proof 3. `leadership_began_at` stands for the last answer of a former leader; `lease_expiry_bound`
    /// is a lease's duration with room for drift. An attempt that was never launched is planned there no
    /// longer either.
    pub fn lease_expired(
        machine: &Machine,
        attempt: &TaskAttempt,
        leadership_started_at: Instant,
        lease_expiry_bound: TimeSpan,
        now: Instant,
    ) -> Option<RemovalProof> {
        let lease_from = lease_valid_from(machine, attempt).max(leadership_started_at);
        (now - lease_from > lease_expiry_bound).then_some(RemovalProof(RemovalReason::LeaseExpired))
    }

    /// Proof 4: for the ledger's method that takes in the cloud's 200 to terminating the machine.
    pub(super) fn machine_terminated() -> RemovalProof {
        RemovalProof(RemovalReason::MachineTerminated)
    }
}

/// The latest moment from which the lease that an attempt lives by can count.
///
/// Guards against a machine that reaches no controller while pushes reach it: a session that began after its
/// last answer has a lease of its own, and what was launched in it was taken for gone with the session before,
/// and started elsewhere. What a former leader launched is in a session that had begun when we took over,
/// unless it is seen in a later one.
fn lease_valid_from(machine: &Machine, attempt: &TaskAttempt) -> Instant {
    let in_present_session = attempt.launch_session == Some(machine.session)
        || attempt
            .last_status
            .is_some_and(|status| status.at.0 == machine.session);
    if in_present_session {
        machine.last_response_at.max(machine.session_first_seen_at)
    } else {
        machine.last_response_at
    }
}

/// What a worker's status proves of attempts beyond those that it lists. Only of a status that is newer, by
/// (session, tick), than all before.
#[derive(Clone, Copy, Debug)]
pub struct StatusEvidence {
    /// The worker's session, and its count of messages in it.
    pub at: (Session, SequenceNumber),
    /// The highest fencing token that the worker has seen.
    pub token: FencingToken,
    /// It came in a heartbeat, not in answer to a push.
    pub is_heartbeat: bool,
    /// Its session is higher than that of all before.
    pub starts_session: bool,
    /// Its token is of this leadership: the worker refuses commands of all former leaders.
    pub is_confirmed: bool,
}

impl StatusEvidence {
    /// Whether this status lists the attempt.
    pub fn lists(&self, attempt: &TaskAttempt) -> bool {
        attempt
            .last_status
            .is_some_and(|status| status.at == self.at)
    }
}
