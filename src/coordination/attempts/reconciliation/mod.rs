//! Reconciliation of worker statuses with the ledger: discards outdated messages, and updates the machine, the
//! attempts that the status lists and those that it does not list.
//!
//! `ledger::proof` decides what a status proves.

mod absent;
mod listed;
mod session;

use crate::coordination::machines::machine::Machine;
use crate::coordination::{Effect, RequestId, Scheduler, StepDownReason};
use crate::ids::{AttemptId, FencingToken, MachineId, TaskId};
use crate::protocol::workers::{Command, WorkerStatus};
use crate::time::Instant;
use std::collections::BTreeSet;

use super::ledger::PushDelivery;

/// The message that carried a status.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StatusSource {
    Heartbeat,
    PushResponse,
}

/// How to answer a heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// Respond with 200 and these commands.
    Commands(Vec<Command>),
    /// Do not respond with 200: the heartbeat is a duplicate, the machine is terminated, its lease is
    /// withheld or must end with an unconfirmed launch, or a newer leader exists.
    Refused,
}

impl Scheduler {
    /// Handles a worker's heartbeat. The caller has checked the leader's authority, and checks it again before
    /// the commands are sent.
    pub fn heartbeat(&mut self, now: Instant, status: &WorkerStatus) -> HeartbeatOutcome {
        let machine_id = &status.machine_id;
        if self.is_superseded(status.token) || self.machines.terminated.contains(machine_id) {
            return HeartbeatOutcome::Refused;
        }
        if self.is_duplicate_heartbeat(status) {
            self.check_for_restart(now, status);
            return HeartbeatOutcome::Refused;
        }
        let is_newer = self.apply_status(now, status, StatusSource::Heartbeat);
        self.review_machine(now, machine_id);
        let token = self.leadership.token();
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return HeartbeatOutcome::Refused;
        };
        machine.last_heartbeat = (status.session, status.sequence_number);
        machine.restarts.newer_heartbeat();
        machine.last_heartbeat_at = Some(now);
        if machine.lease_withheld {
            // The lease has to expire: its expiry is the proof that removes the machine's attempts.
            return HeartbeatOutcome::Refused;
        }
        if machine.awaits_launch_revocation(now, token) {
            // Guards against a late launch that starts a task of a job cancelled more than `cancel_s` ago.
            tracing::info!(machine = %machine_id, fencing_token = %token, "lease not renewed: a launch of a closed job is unconfirmed");
            return HeartbeatOutcome::Refused;
        }
        machine.last_response_at = now;
        machine.reachability.record_response(token);
        let mut commands = self.heartbeat_commands(now, machine_id, is_newer);
        if !is_newer {
            // A push response overtook this heartbeat, so its task list is outdated. The response still renews
            // the lease and therefore carries the stops: otherwise the lease of a cancelled task might be
            // renewed without a stop.
            commands.retain(|command| matches!(command, Command::Stop { .. }));
        }
        HeartbeatOutcome::Commands(commands)
    }

    /// Handles the response to a push. The worker has executed the commands or certainly never will, so the
    /// push is no longer in flight, and the status lists the result.
    pub(crate) fn push_answered(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        request_id: RequestId,
        status: &WorkerStatus,
    ) {
        if self.is_superseded(status.token)
            || status.machine_id != *machine_id
            || self.machines.terminated.contains(machine_id)
        {
            return;
        }
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.restarts.token_seen(status.token);
            drop_unexecuted_launches(machine, request_id, status);
        }
        self.settle_push(machine_id, request_id, PushDelivery::None);
        self.apply_status(now, status, StatusSource::PushResponse);
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.mark_reachable();
        }
    }

    /// Whether a worker has seen a higher fencing token than this leader's. If so, another controller leads and
    /// this one steps down.
    fn is_superseded(&mut self, token: FencingToken) -> bool {
        let is_superseded = token > self.leadership.token();
        if is_superseded {
            self.effects.push(Effect::StepDown {
                reason: StepDownReason::HigherFencingTokenSeen,
            });
        }
        is_superseded
    }

    /// Whether a heartbeat is a delayed duplicate: a new one has a higher (session, sequence number) than all
    /// before. A duplicate is refused and renews no lease, because the worker no longer waits for its response.
    fn is_duplicate_heartbeat(&self, status: &WorkerStatus) -> bool {
        let machine = self.machines.get(&status.machine_id);
        let is_duplicate =
            machine.is_some_and(|m| (status.session, status.sequence_number) <= m.last_heartbeat);
        if is_duplicate {
            tracing::debug!(machine = %status.machine_id, "duplicate heartbeat");
        }
        is_duplicate
    }

    /// Records that an outdated heartbeat may come from a worker that was restarted and counts its messages, or its
    /// sessions, from the beginning: one that reports a lower token than before.
    fn check_for_restart(&mut self, now: Instant, status: &WorkerStatus) {
        let Some(machine) = self.machines.get_mut(&status.machine_id) else {
            return;
        };
        if !machine
            .reachability
            .has_acknowledged_more_than(status.token)
        {
            return;
        }
        if machine.restarts.outdated_heartbeat(now, status.token) {
            let token = self.leadership.token();
            self.revoke_commands_to(&status.machine_id, token);
        }
    }

    /// Updates the ledger from a status. Returns false for an outdated status, whose task list proves nothing.
    fn apply_status(&mut self, now: Instant, status: &WorkerStatus, source: StatusSource) -> bool {
        self.add_unknown_machine(now, status);
        let Some(evidence) = self.update_session(now, status, source) else {
            return false;
        };
        for task in &status.tasks {
            self.reconcile_listed(now, &status.machine_id, task, &evidence);
        }
        self.reconcile_absent(now, &status.machine_id, &evidence);
        true
    }
}

/// Marks the launches of a push as not sent that its response does not list: the worker has not executed them.
fn drop_unexecuted_launches(machine: &mut Machine, request_id: RequestId, status: &WorkerStatus) {
    let tasks = status.tasks.iter();
    let listed: BTreeSet<(&TaskId, AttemptId)> = tasks
        .map(|listed| (&listed.task, listed.attempt_id))
        .collect();
    for attempt in machine.attempts.iter_mut() {
        let is_in_push = attempt.last_push == PushDelivery::InFlight(request_id);
        if is_in_push && !listed.contains(&(&attempt.task, attempt.attempt_id)) {
            attempt.launch_not_sent();
        }
    }
}
