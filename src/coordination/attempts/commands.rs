//! What is sent to workers: launches, stops and clears, in answers to check-ins and as direct commands.

use crate::coordination::attempts::ledger::{PushDelivery, TaskAttempt};
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::{Effect, Scheduler};
use crate::ids::{MachineId, Session};
use crate::protocol::workers::{Cause, Command, TaskPhase};
use crate::time::Instant;
use std::collections::BTreeSet;

/// The part of the wait for a gang by which fetches may differ, as estimated: they take up to half as
/// long again.
const PATIENT: f64 = 0.4;
/// Orders in one message: keeps its line well under 64 KiB.
const MAX_COMMANDS: usize = 400;

impl Scheduler {
    /// Whether an ended start may be cleared: its outcome is durable (or of no interest), and no
    /// launch of the same try can arrive any more and start it afresh.
    ///
    /// Guards against a copy of a direct command that is executed again: once cleared, the worker
    /// would not know the try any more. The command that clears carries a higher token than any that
    /// launched, and a worker refuses lower ones from then on.
    fn may_clear(&self, s: &TaskAttempt) -> bool {
        if !s.ended()
            || s.in_flight()
            || s.launched_with
                .is_some_and(|b| b >= self.leadership.token())
        {
            return false;
        }
        let done = s.last_status.is_some_and(|x| x.cause == Some(Cause::Done));
        match self.jobs.get(&s.task.job) {
            Some(j) if done && !j.is_closed() => {
                j.completed().has(s.task.index) && !j.unpersisted().contains(&s.task.index)
            }
            _ => true,
        }
    }

    fn wants_launch(&self, m: &Machine, s: &TaskAttempt) -> bool {
        s.page.is_some()
            && !self.waits_for_mates(s)
            && s.stop.is_none()
            && s.last_status.is_none()
            && !s.recovered
            && !m.draining
            && m.reclaim_at.is_none()
            && m.state == MachineState::Up
            && self
                .jobs
                .get(&s.task.job)
                .is_some_and(|j| j.needs_run(s.task.index))
    }

    /// Whether a member of a gang has its image so much sooner than another that it would give up
    /// before the other has it: it is launched once all of those have theirs.
    ///
    /// Guards against a gang that never stands: on a calm day of the fleet one member had a large
    /// image already, the other's fetch took longer than the wait for a gang; both ended, the fetch
    /// was given up, and the same began anew, four times.
    fn waits_for_mates(&self, s: &TaskAttempt) -> bool {
        let Some(soon) = s.image_s else {
            return false;
        };
        let Some(job) = self.jobs.get(&s.task.job) else {
            return false;
        };
        let patience = self.policy.facts.workers.gang_wait_s * PATIENT;
        let fetches = |m: &TaskAttempt| {
            m.task.job == s.task.job
                && m.attempt_id == s.attempt_id
                && m.image_s.is_some_and(|later| later > soon + patience)
                && m.last_status.is_none_or(|x| x.phase == TaskPhase::Fetching)
        };
        job.placements()
            .values()
            .flatten()
            .filter_map(|h| self.machines.get(h))
            .flat_map(Machine::live_attempts)
            .any(fetches)
    }

    /// The orders that answer a check-in: all that the worker should know now.
    pub(crate) fn heartbeat_commands(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        fresh: bool,
    ) -> Vec<Command> {
        let Some(m) = self.machines.get(machine_id) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        let mut launched = Vec::new();
        for s in m.attempts.iter() {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            if s.ended() {
                if self.may_clear(s) {
                    commands.push(Command::Clear {
                        task: s.task.clone(),
                        attempt_id: s.attempt_id,
                    });
                }
            } else if s.stop.is_some() {
                commands.extend(Self::stop_command(s, now));
            } else if fresh
                && self.wants_launch(m, s)
                && !matches!(s.push, PushDelivery::InFlight(_))
            {
                commands.push(Command::Launch {
                    task: s.task.clone(),
                    attempt_id: s.attempt_id,
                });
                launched.push(s.key());
            }
        }
        let (session, tick) = (m.session, m.tick);
        for key in launched {
            if let Some(s) = self.ledger().get_mut(machine_id, &key) {
                s.heartbeat_carrier = Some(tick);
                s.launched_in = Some(session);
            }
        }
        commands
    }

    /// The orders of a direct command with what is known as it leaves: launches of tasks that are no longer
    /// wanted are left out.
    ///
    /// Guards against a command that waits for its turn on a busy processor while its job is cancelled. The
    /// answer to it lists no such task, so the start is dropped as one that was never launched.
    pub fn still_wanted(&self, mut commands: Vec<Command>) -> Vec<Command> {
        commands.retain(|command| match command {
            Command::Launch { task, .. } => {
                let job = self.jobs.get(&task.job);
                job.is_some_and(|j| j.needs_run(task.index))
            }
            Command::Stop { .. } | Command::Clear { .. } => true,
        });
        commands
    }

    /// Launches and stops that needn't wait for the next check-in go straight to the worker: one
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
                // Repeats are left to the check-ins.
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
}
