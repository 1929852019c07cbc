//! What is sent to workers: launches, stops and clears, in answers to heartbeats and as pushes.

use crate::coordination::attempts::ledger::{LastStatus, PushDelivery, TaskAttempt};
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::placement::start_check::check_planned_start;
use crate::coordination::Scheduler;
use crate::ids::{MachineId, TaskId};
use crate::protocol::workers::{Cause, Command, TaskPhase};
use crate::time::Instant;

/// The share of the wait for a gang by which its members' estimated fetches may differ: they take up to
/// half as long again.
const MAX_FETCH_SPREAD_SHARE: f64 = 0.4;
/// Commands in one message: keeps its line well under 64 KiB.
pub(super) const MAX_COMMANDS: usize = 400;

impl Scheduler {
    /// Whether an ended attempt may be cleared: its outcome is durable (or of no interest), and no
    /// launch of the same attempt can arrive any more and start it afresh.
    ///
    /// Guards against a copy of a push that is executed again: once cleared, the worker
    /// would not know the attempt any more. The command that clears carries a higher token than any that
    /// launched, and a worker refuses lower ones from then on.
    fn may_clear(&self, attempt: &TaskAttempt) -> bool {
        let token = self.leadership.token();
        let launched_with_this_token = attempt.launch_token.is_some_and(|t| t >= token);
        if !attempt.has_ended() || attempt.has_launch_in_flight() || launched_with_this_token {
            return false;
        }
        let status = attempt.last_status;
        let is_done = status.is_some_and(|status| status.cause == Some(Cause::Done));
        let index = attempt.task.index;
        match self.jobs.get(&attempt.task.job) {
            Some(job) if is_done && !job.is_closed() => {
                job.completed().contains(index) && !job.unpersisted().contains(&index)
            }
            _ => true,
        }
    }

    /// Whether a planned attempt may be launched now: its intent is durable, its job still needs it and allows
    /// it there, and its machine is in use.
    pub(super) fn wants_launch(&self, machine: &Machine, attempt: &TaskAttempt) -> bool {
        attempt.intent_page.is_some()
            && !self.waits_for_gang_members(attempt)
            && attempt.stop.is_none()
            && attempt.last_status.is_none()
            && !attempt.recovered
            && !machine.is_draining_or_reclaimed()
            && machine.state == MachineState::Up
            && self.allows_launch(machine, &attempt.task)
    }

    /// Whether the task's job needs it to run, and allows it on the machine given where its other tasks may be.
    ///
    /// Guards against what has come to light since the launch was planned: each one is judged as it leaves.
    fn allows_launch(&self, machine: &Machine, task: &TaskId) -> bool {
        self.jobs.get(&task.job).is_some_and(|job| {
            job.needs_run(task.index) && check_planned_start(job, machine).is_ok()
        })
    }

    /// Whether a member of a gang has its image so much sooner than another that it would give up
    /// before the other has it: it is launched once all of those have theirs.
    ///
    /// Guards against a gang that never starts: on a calm day one member had a large image already, the
    /// other's fetch took longer than the wait for a gang; both ended, the fetch was given up, and the
    /// same began anew, four times.
    fn waits_for_gang_members(&self, attempt: &TaskAttempt) -> bool {
        let Some(own_wait_s) = attempt.image_wait_s else {
            return false;
        };
        let Some(job) = self.jobs.get(&attempt.task.job) else {
            return false;
        };
        let max_spread_s = self.policy.facts.workers.gang_wait_timeout_s * MAX_FETCH_SPREAD_SHARE;
        let is_fetching_much_longer = |other: &TaskAttempt| {
            let is_fetching = |status: LastStatus| status.phase == TaskPhase::Fetching;
            other.task.job == attempt.task.job
                && other.attempt_id == attempt.attempt_id
                && other
                    .image_wait_s
                    .is_some_and(|wait_s| wait_s > own_wait_s + max_spread_s)
                && other.last_status.is_none_or(is_fetching)
        };
        job.placements()
            .values()
            .flatten()
            .filter_map(|machine_id| self.machines.get(machine_id))
            .flat_map(Machine::live_attempts)
            .any(is_fetching_much_longer)
    }

    /// The commands that answer a heartbeat: all that the worker should know now. Launches go only with
    /// the response to a status that is news.
    pub(crate) fn heartbeat_commands(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        is_news: bool,
    ) -> Vec<Command> {
        let Some(machine) = self.machines.get(machine_id) else {
            return Vec::new();
        };
        let (session, tick) = (machine.session, machine.tick);
        let mut commands = Vec::new();
        let mut launched = Vec::new();
        for attempt in machine.attempts.iter() {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            let Some(command) = self.heartbeat_command(now, machine, attempt, is_news) else {
                continue;
            };
            if matches!(command, Command::Launch { .. }) {
                launched.push(attempt.key());
            }
            commands.push(command);
        }
        for key in launched {
            if let Some(attempt) = self.ledger().get_mut(machine_id, &key) {
                attempt.launch_heartbeat = Some(tick);
                attempt.launch_session = Some(session);
            }
        }
        commands
    }

    /// What a worker should be told of one attempt in the response to its heartbeat.
    fn heartbeat_command(
        &self,
        now: Instant,
        machine: &Machine,
        attempt: &TaskAttempt,
        is_news: bool,
    ) -> Option<Command> {
        let (task, attempt_id) = (attempt.task.clone(), attempt.attempt_id);
        if attempt.has_ended() {
            let clear = Command::Clear { task, attempt_id };
            return self.may_clear(attempt).then_some(clear);
        }
        if attempt.stop.is_some() {
            return Self::stop_command(attempt, now);
        }
        let push_in_flight = matches!(attempt.last_push, PushDelivery::InFlight(_));
        let may_launch = is_news && self.wants_launch(machine, attempt) && !push_in_flight;
        may_launch.then_some(Command::Launch { task, attempt_id })
    }

    /// The commands of a push to a machine with what is known as it leaves: launches of tasks that are no longer
    /// wanted there are left out.
    ///
    /// Guards against a command that waits for its turn on a busy processor while its job is cancelled. The
    /// answer to it lists no such task, so the attempt is dropped as one that was never launched.
    pub fn revalidate_commands(
        &self,
        machine_id: &MachineId,
        mut commands: Vec<Command>,
    ) -> Vec<Command> {
        let machine = self.machines.get(machine_id);
        commands.retain(|command| match command {
            Command::Launch { task, .. } => {
                machine.is_some_and(|machine| self.allows_launch(machine, task))
            }
            Command::Stop { .. } | Command::Clear { .. } => true,
        });
        commands
    }
}
