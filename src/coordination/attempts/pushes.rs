//! Pushes: commands that are sent to a worker without waiting for its next heartbeat.

use crate::coordination::attempts::commands::MAX_COMMANDS;
use crate::coordination::attempts::ledger::PushDelivery;
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::{Effect, RequestId, Scheduler};
use crate::ids::{AttemptKey, MachineId, Session};
use crate::protocol::workers::Command;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// How long a machine that does not answer a push is sent no further one.
const PUSH_RETRY_DELAY: TimeSpan = TimeSpan(3000);

/// The commands of a push, and the attempts that they are about.
#[derive(Default)]
struct PushDraft {
    commands: Vec<Command>,
    launches: Vec<AttemptKey>,
    stops: Vec<AttemptKey>,
}

impl Scheduler {
    /// Launches and stops that needn't wait for the next heartbeat go straight to the worker: one
    /// command at a time on each machine, and a bounded number of them at once.
    pub(crate) fn send_pushes(&mut self, now: Instant) {
        let mut later = BTreeSet::new();
        while let Some(machine_id) = self.outbox.pushes_due.pop_first() {
            let Some(machine) = self.machines.get(&machine_id) else {
                continue;
            };
            // An answer that is awaited brings it back here; so does the worker's first heartbeat.
            let is_waiting = machine.push_in_flight.is_some()
                || machine.endpoint.is_empty()
                || machine.session == Session(0);
            if is_waiting || machine.state != MachineState::Up {
                continue;
            }
            if machine.push_not_before > now
                || self.outbox.pushes_in_flight >= self.policy.max_pushes
            {
                later.insert(machine_id);
                continue;
            }
            self.push_to(now, &machine_id);
        }
        self.outbox.pushes_due = later;
    }

    fn push_to(&mut self, now: Instant, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let draft = self.draft_push(now, machine);
        // Whether a machine that seems unreachable hears us after all is seen by asking it.
        if draft.commands.is_empty() && !machine.is_unreachable() {
            return;
        }
        let (endpoint, session) = (machine.endpoint.clone(), machine.session);
        let request_id = self.next_request_id();
        self.push_leaves(machine_id, request_id, session, &draft);
        self.effects.push(Effect::Push {
            machine_id: machine_id.clone(),
            endpoint,
            request_id,
            token: self.leadership.token(),
            session,
            commands: draft.commands,
        });
    }

    /// The launches and stops that a machine has not been sent yet.
    fn draft_push(&self, now: Instant, machine: &Machine) -> PushDraft {
        let mut draft = PushDraft::default();
        for attempt in machine.attempts.iter() {
            if draft.commands.len() >= MAX_COMMANDS {
                break;
            }
            if let Some(request) = attempt.stop.filter(|_| !attempt.has_ended()) {
                // Repeats are left to the heartbeats.
                if !request.pushed {
                    draft.commands.extend(Self::stop_command(attempt, now));
                    draft.stops.push(attempt.key());
                }
            } else if self.wants_launch(machine, attempt) && !attempt.has_launch_in_flight() {
                draft.commands.push(Command::Launch {
                    task: attempt.task.clone(),
                    attempt_id: attempt.attempt_id,
                });
                draft.launches.push(attempt.key());
            }
        }
        draft
    }

    /// Notes on the machine and its attempts that a push is in flight.
    fn push_leaves(
        &mut self,
        machine_id: &MachineId,
        request_id: RequestId,
        session: Session,
        draft: &PushDraft,
    ) {
        let token = self.leadership.token();
        self.outbox.pushes_in_flight += 1;
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.push_in_flight = Some(request_id);
        for key in &draft.launches {
            if let Some(attempt) = machine.attempts.get_mut(key) {
                attempt.last_push = PushDelivery::InFlight(request_id);
                attempt.launch_session = Some(session);
                attempt.launch_token = Some(token);
            }
        }
        for key in &draft.stops {
            let attempt = machine.attempts.get_mut(key);
            if let Some(request) = attempt.and_then(|attempt| attempt.stop.as_mut()) {
                request.pushed = true;
            }
        }
    }

    /// A push was not answered. `sent` is false if it certainly never left.
    pub(crate) fn push_failed(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        request_id: RequestId,
        sent: bool,
    ) {
        let token = self.leadership.token();
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.push_not_before = now + PUSH_RETRY_DELAY;
        // Guards against a command that a partition or a hang held back: it may execute at any later
        // time in this session, until the worker has seen a higher token, so the launch stays in
        // flight until then.
        let end = if sent {
            PushDelivery::Unconfirmed(machine.session, token)
        } else {
            PushDelivery::None
        };
        tracing::debug!(machine = %machine_id, sent, "push unanswered");
        self.settle_push(machine_id, request_id, end);
        self.stop_again(now, machine_id);
        self.outbox.pushes_due.insert(machine_id.clone());
    }

    /// A push is no longer in flight; its launches are left as `end` says.
    pub(super) fn settle_push(
        &mut self,
        machine_id: &MachineId,
        request_id: RequestId,
        end: PushDelivery,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if machine.push_in_flight == Some(request_id) {
            machine.push_in_flight = None;
            self.outbox.pushes_in_flight = self.outbox.pushes_in_flight.saturating_sub(1);
        }
        for attempt in machine.attempts.iter_mut() {
            if attempt.last_push == PushDelivery::InFlight(request_id) {
                attempt.last_push = end;
            }
        }
        self.outbox.pushes_due.insert(machine_id.clone());
    }
}
