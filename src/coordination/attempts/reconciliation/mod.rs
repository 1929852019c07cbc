//! Reconciliation of what workers report with the ledger: which message is newer, what follows from it for
//! the machine, for the attempts that it lists, and for those that it doesn't.
//!
//! What a status proves is decided in `ledger::proof`.

mod absent;
mod listed;
mod session;

use crate::coordination::{Effect, RequestId, Scheduler, StepDownReason};
use crate::ids::{FencingToken, MachineId};
use crate::protocol::workers::{Command, WorkerStatus};
use crate::time::Instant;

use super::ledger::PushDelivery;

/// How a status came.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StatusSource {
    Heartbeat,
    PushResponse,
}

/// The answer to a heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// 200 with these commands.
    Commands(Vec<Command>),
    /// Not to be answered with 200: the machine is terminated or given up, or a newer leader exists.
    Refused,
}

impl Scheduler {
    /// A worker's heartbeat. The caller has made sure of the leader's authority, and sends the commands only
    /// if it still holds then.
    pub fn heartbeat(&mut self, now: Instant, status: &WorkerStatus) -> HeartbeatOutcome {
        let machine_id = &status.machine_id;
        if self.is_superseded(status.token)
            || self.machines.terminated.contains(machine_id)
            || self.is_duplicate_heartbeat(status)
        {
            return HeartbeatOutcome::Refused;
        }
        let is_news = self.take_status(now, status, StatusSource::Heartbeat);
        self.review(now, machine_id);
        let token = self.leadership.token();
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return HeartbeatOutcome::Refused;
        };
        machine.last_heartbeat = (status.session, status.sequence_number);
        machine.last_heartbeat_at = Some(now);
        if machine.lease_withheld {
            // Its lease is to run out: that is the proof that removes its attempts.
            return HeartbeatOutcome::Refused;
        }
        machine.last_response_at = now;
        machine.reachability.record_response(token);
        let mut commands = self.heartbeat_commands(now, machine_id, is_news);
        if !is_news {
            // Overtaken by the answer to a push: what it lists is old. It renews the lease all the same, so
            // it says what is to stop: otherwise a cancelled task might be renewed without being told.
            commands.retain(|command| matches!(command, Command::Stop { .. }));
        }
        HeartbeatOutcome::Commands(commands)
    }

    /// A push was answered: its commands were executed, or certainly not. Either way it no longer is in
    /// flight, and what the status lists is what came of it.
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
        self.settle_push(machine_id, request_id, PushDelivery::None);
        self.take_status(now, status, StatusSource::PushResponse);
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.mark_reachable();
        }
    }

    /// Whether a worker has seen a higher fencing token than ours: then another controller leads, and this
    /// one steps down.
    fn is_superseded(&mut self, token: FencingToken) -> bool {
        let is_superseded = token > self.leadership.token();
        if is_superseded {
            self.effects.push(Effect::StepDown {
                reason: StepDownReason::HigherFencingTokenSeen,
            });
        }
        is_superseded
    }

    /// Guards against late copies: each heartbeat has a larger (session, tick) than the one before, so one
    /// that has not is a copy. It renews no clock and is answered by nothing, for the worker does not wait
    /// for it.
    fn is_duplicate_heartbeat(&self, status: &WorkerStatus) -> bool {
        let machine = self.machines.get(&status.machine_id);
        let is_duplicate = machine.is_some_and(|machine| {
            (status.session, status.sequence_number) <= machine.last_heartbeat
        });
        if is_duplicate {
            tracing::debug!(machine = %status.machine_id, "duplicate heartbeat");
        }
        is_duplicate
    }

    /// Takes a status in. False if it is no news: the list of an old status proves nothing.
    fn take_status(&mut self, now: Instant, status: &WorkerStatus, source: StatusSource) -> bool {
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
