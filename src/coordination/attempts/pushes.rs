//! Pushes: commands that are sent to a worker without waiting for its next heartbeat.

use crate::coordination::attempts::commands::MAX_COMMANDS;
use crate::coordination::attempts::ledger::PushDelivery;
use crate::coordination::machines::machine::MachineState;
use crate::coordination::{Effect, RequestId, Scheduler};
use crate::ids::{MachineId, Session};
use crate::protocol::workers::Command;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// How long a machine that does not answer a push is sent no further one.
const PUSH_RETRY_DELAY: TimeSpan = TimeSpan(3000);

impl Scheduler {
    /// Launches and stops that needn't wait for the next heartbeat go straight to the worker: one
    /// command at a time on each machine, and a bounded number of them at once.
    pub(crate) fn send_pushes(&mut self, now: Instant) {
        let mut later = BTreeSet::new();
        while let Some(machine_id) = self.outbox.pushes_due.pop_first() {
            let Some(m) = self.machines.get(&machine_id) else {
                continue;
            };
            // An answer that is awaited brings it back here; so does the worker's first report.
            let never =
                m.push_in_flight.is_some() || m.endpoint.is_empty() || m.session == Session(0);
            if never || m.state != MachineState::Up {
                continue;
            }
            if m.push_not_before > now || self.outbox.pushes_in_flight >= self.policy.max_pushes {
                later.insert(machine_id);
                continue;
            }
            self.push_to(now, &machine_id);
        }
        self.outbox.pushes_due = later;
    }

    fn push_to(&mut self, now: Instant, machine_id: &MachineId) {
        let Some(m) = self.machines.get(machine_id) else {
            return;
        };
        let mut commands = Vec::new();
        let mut carried = Vec::new();
        let mut stops = Vec::new();
        for s in m.attempts.iter() {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            if let Some(w) = s.stop.filter(|_| !s.ended()) {
                // Repeats are left to the heartbeats.
                if !w.pushed {
                    commands.extend(Self::stop_command(s, now));
                    stops.push(s.key());
                }
            } else if self.wants_launch(m, s) && !s.in_flight() {
                commands.push(Command::Launch {
                    task: s.task.clone(),
                    attempt_id: s.attempt_id,
                });
                carried.push(s.key());
            }
        }
        // Whether a machine that seems deaf hears us after all is seen by asking it.
        if commands.is_empty() && !m.is_unreachable() {
            return;
        }
        let (endpoint, session) = (m.endpoint.clone(), m.session);
        let request_id = self.next_request_id();
        let token = self.leadership.token();
        self.outbox.pushes_in_flight += 1;
        if let Some(m) = self.machines.get_mut(machine_id) {
            m.push_in_flight = Some(request_id);
            for key in carried {
                if let Some(s) = m.attempts.get_mut(&key) {
                    s.push = PushDelivery::InFlight(request_id);
                    s.launched_in = Some(session);
                    s.launched_with = Some(token);
                }
            }
            for key in stops {
                if let Some(w) = m.attempts.get_mut(&key).and_then(|s| s.stop.as_mut()) {
                    w.pushed = true;
                }
            }
        }
        self.effects.push(Effect::Push {
            machine_id: machine_id.clone(),
            endpoint,
            request_id,
            token,
            session,
            commands,
        });
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
        let Some(m) = self.machines.get_mut(machine_id) else {
            return;
        };
        m.push_not_before = now + PUSH_RETRY_DELAY;
        // Guards against a command that a cut or a hang held back: it may execute at any later
        // time in this session, until the worker has seen a higher token, so the launch stays in
        // flight until then.
        let end = if sent {
            PushDelivery::Lost(m.session, token)
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
        let Some(m) = self.machines.get_mut(machine_id) else {
            return;
        };
        if m.push_in_flight == Some(request_id) {
            m.push_in_flight = None;
            self.outbox.pushes_in_flight = self.outbox.pushes_in_flight.saturating_sub(1);
        }
        for s in m.attempts.iter_mut() {
            if s.push == PushDelivery::InFlight(request_id) {
                s.push = end;
            }
        }
        self.outbox.pushes_due.insert(machine_id.clone());
    }
}
