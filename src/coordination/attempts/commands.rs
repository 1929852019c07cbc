//! What is sent to workers: launches, stops and clears, in answers to heartbeats and as pushes.

use crate::coordination::attempts::ledger::{PushDelivery, TaskAttempt};
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::Scheduler;
use crate::ids::MachineId;
use crate::protocol::workers::{Cause, Command, TaskPhase};
use crate::time::Instant;

/// The part of the wait for a gang by which fetches may differ, as estimated: they take up to half as
/// long again.
const PATIENT: f64 = 0.4;
/// Orders in one message: keeps its line well under 64 KiB.
pub(super) const MAX_COMMANDS: usize = 400;

impl Scheduler {
    /// Whether an ended attempt may be cleared: its outcome is durable (or of no interest), and no
    /// launch of the same attempt can arrive any more and start it afresh.
    ///
    /// Guards against a copy of a push that is executed again: once cleared, the worker
    /// would not know the attempt any more. The command that clears carries a higher token than any that
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

    pub(super) fn wants_launch(&self, m: &Machine, s: &TaskAttempt) -> bool {
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

    /// The commands that answer a heartbeat: all that the worker should know now.
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

    /// The commands of a push with what is known as it leaves: launches of tasks that are no longer
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
}
