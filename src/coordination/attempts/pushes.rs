//! Pushes: commands sent to a worker without waiting for its next heartbeat.

use crate::coordination::attempts::commands::{AwaitedFetches, MAX_COMMANDS};
use crate::coordination::attempts::ledger::PushDelivery;
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::{Effect, RequestId, Scheduler};
use crate::ids::{AttemptKey, JobId, MachineId, Session};
use crate::protocol::workers::Command;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// Delay before the next push to a machine that did not answer one.
const PUSH_RETRY_DELAY: TimeSpan = TimeSpan(3000);

/// The commands of a push, and the keys of the attempts that it launches and stops.
#[derive(Default)]
struct PushDraft {
    commands: Vec<Command>,
    launches: Vec<AttemptKey>,
    stops: Vec<AttemptKey>,
}

impl Scheduler {
    /// Sends the launches and stops that are due to the workers: one push at a time to each machine, and a
    /// bounded number in flight to all machines.
    pub(crate) fn send_pushes(&mut self, now: Instant) {
        for job_id in std::mem::take(&mut self.work_queues.gangs_with_new_images) {
            self.queue_gang_pushes(&job_id);
        }
        let mut deferred = BTreeSet::new();
        while let Some(machine_id) = self.work_queues.pushes_due.pop_first() {
            let Some(machine) = self.machines.get(&machine_id) else {
                continue;
            };
            // The response to the push in flight, or the worker's first heartbeat, makes the next push due.
            let is_waiting = machine.push_in_flight.is_some()
                || machine.endpoint.is_empty()
                || machine.session == Session(0);
            if is_waiting || machine.state != MachineState::Up {
                continue;
            }
            if machine.push_not_before > now
                || self.work_queues.pushes_in_flight >= self.policy.max_pushes
            {
                deferred.insert(machine_id);
                continue;
            }
            self.send_push(now, &machine_id);
        }
        self.work_queues.pushes_due = deferred;
    }

    /// Queues pushes to the machines of a gang: members that waited for the image of another may be launched now.
    fn queue_gang_pushes(&mut self, job_id: &JobId) {
        if let Some(job) = self.jobs.get(job_id) {
            let machines = job.placement_machines().into_iter();
            self.work_queues.pushes_due.extend(machines.cloned());
        }
    }

    fn send_push(&mut self, now: Instant, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let draft = self.draft_push(now, machine);
        // An empty push probes whether a machine that seems unreachable receives requests, or raises the token of a
        // worker that may execute copies of commands.
        let must_raise_token = machine.restarts.must_see(self.leadership.token());
        if draft.commands.is_empty() && !machine.is_unreachable() && !must_raise_token {
            return;
        }
        let (endpoint, session) = (machine.endpoint.clone(), machine.session);
        let request_id = self.next_request_id();
        self.record_push_in_flight(machine_id, request_id, session, &draft);
        self.effects.push(Effect::Push {
            machine_id: machine_id.clone(),
            endpoint,
            request_id,
            token: self.leadership.token(),
            session,
            commands: draft.commands,
        });
    }

    /// Returns the launches and stops that the machine has not been sent yet.
    fn draft_push(&self, now: Instant, machine: &Machine) -> PushDraft {
        let mut draft = PushDraft::default();
        let mut fetches = AwaitedFetches::default();
        for attempt in machine.attempts.iter() {
            if draft.commands.len() >= MAX_COMMANDS {
                break;
            }
            if let Some(request) = attempt.stop.filter(|_| !attempt.has_ended()) {
                // Heartbeat responses repeat a stop that was sent in a push.
                if !request.pushed {
                    draft.commands.extend(Self::stop_command(attempt, now));
                    draft.stops.push(attempt.key());
                }
            } else if !attempt.has_launch_in_flight()
                && self.should_launch(machine, attempt, &mut fetches)
            {
                draft.commands.push(Command::Launch {
                    task: attempt.task.clone(),
                    attempt_id: attempt.attempt_id,
                });
                draft.launches.push(attempt.key());
            }
        }
        draft
    }

    /// Records on the machine and its attempts that a push is in flight.
    fn record_push_in_flight(
        &mut self,
        machine_id: &MachineId,
        request_id: RequestId,
        session: Session,
        draft: &PushDraft,
    ) {
        let token = self.leadership.token();
        self.work_queues.pushes_in_flight += 1;
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.push_in_flight = Some(request_id);
        for key in &draft.launches {
            if let Some(attempt) = machine.attempts.get_mut(key) {
                attempt.push_launched(request_id, session, token);
            }
        }
        for key in &draft.stops {
            let attempt = machine.attempts.get_mut(key);
            if let Some(request) = attempt.and_then(|attempt| attempt.stop.as_mut()) {
                request.pushed = true;
            }
        }
    }

    /// Handles a push without a response. `sent` is false if the request certainly was not sent.
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
        // Guards against a push that a partition or a stalled process has delayed: the worker may execute it at
        // any later time in this session, until it has seen a higher token. Until then the launch counts as in
        // flight.
        let delivery = if sent {
            PushDelivery::Unconfirmed(machine.session, token)
        } else {
            PushDelivery::None
        };
        tracing::debug!(machine = %machine_id, sent, "push unanswered");
        if !sent {
            self.push_not_sent(machine_id, request_id);
        }
        self.settle_push(machine_id, request_id, delivery);
        self.revoke_unconfirmed_launches(machine_id);
        self.resend_stops(now, machine_id);
        self.work_queues.pushes_due.insert(machine_id.clone());
    }

    /// Ends a push in flight, and sets the push state of the attempts that it launched to `delivery`.
    pub(super) fn settle_push(
        &mut self,
        machine_id: &MachineId,
        request_id: RequestId,
        delivery: PushDelivery,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if machine.push_in_flight == Some(request_id) {
            machine.push_in_flight = None;
            self.work_queues.pushes_in_flight = self.work_queues.pushes_in_flight.saturating_sub(1);
        }
        for attempt in machine.attempts.iter_mut() {
            if attempt.last_push == PushDelivery::InFlight(request_id) {
                attempt.last_push = delivery;
            }
        }
        self.work_queues.pushes_due.insert(machine_id.clone());
    }

    /// Records that the push in flight to a machine was not sent: none of its launches can arrive.
    fn push_not_sent(&mut self, machine_id: &MachineId, request_id: RequestId) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        for attempt in machine.attempts.iter_mut() {
            if attempt.last_push == PushDelivery::InFlight(request_id) {
                attempt.launch_not_sent();
            }
        }
    }
}
