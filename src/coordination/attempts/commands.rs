//! Commands for workers: launches, stops and clears, sent in heartbeat responses and as pushes.

use crate::coordination::attempts::ledger::{LastStatus, PushDelivery, TaskAttempt};
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::placement::start_check::check_planned_start;
use crate::coordination::{Policy, Scheduler};
use crate::ids::{AttemptId, AttemptKey, JobId, MachineId, TaskId};
use crate::protocol::workers::{Cause, Command, TaskPhase};
use crate::time::Instant;
use std::collections::BTreeMap;

/// Maximum difference between the estimated image fetches of a gang's members, as a share of the gang wait
/// timeout. Fetches take up to half as long again as estimated.
const MAX_FETCH_SPREAD_SHARE: f64 = 0.4;
/// Maximum number of commands in one message: keeps the message well under 64 KiB.
pub(super) const MAX_COMMANDS: usize = 400;

/// The longest image fetches that gangs still wait for, by gang attempt. Collected while one message is put together, so
/// that the members of a gang are looked through once for all its attempts on the machine.
#[derive(Default)]
pub(super) struct AwaitedFetches {
    longest_s_by_gang: BTreeMap<(JobId, AttemptId), f64>,
}

/// Returns by how much, in seconds, the estimated image fetches of a gang's members may differ if all are launched at
/// once.
fn max_fetch_spread_s(policy: &Policy) -> f64 {
    policy.facts.workers.gang_wait_timeout_s * MAX_FETCH_SPREAD_SHARE
}

/// Whether some members of a gang have to be launched later than others, given the estimated waits for their images in
/// seconds.
pub(crate) fn must_stagger_launches(policy: &Policy, image_waits_s: &[f64]) -> bool {
    let shortest_s = image_waits_s.iter().copied().fold(f64::INFINITY, f64::min);
    let longest_s = image_waits_s.iter().copied().fold(0.0, f64::max);
    longest_s > shortest_s + max_fetch_spread_s(policy)
}

impl Scheduler {
    /// Whether an ended attempt may be cleared: its outcome is durable (or no longer relevant), and no launch
    /// of it can arrive any more.
    ///
    /// Guards against a duplicate of a push that starts the attempt again, since a worker that has cleared an
    /// attempt does not recognize it any more. The clear therefore carries a higher token than any push that
    /// launched the attempt, and the worker refuses lower tokens from then on.
    fn may_clear(&self, attempt: &TaskAttempt) -> bool {
        let may_be_launched_again = attempt.may_be_launched_again(self.leadership.token());
        if !attempt.has_ended() || attempt.has_launch_in_flight() || may_be_launched_again {
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

    /// Whether a planned attempt may be launched now: its intent is durable, its job still needs the task and
    /// allows it on the machine, and the machine is in use.
    pub(super) fn should_launch(
        &self,
        machine: &Machine,
        attempt: &TaskAttempt,
        fetches: &mut AwaitedFetches,
    ) -> bool {
        attempt.intent_page.is_some()
            && attempt.stop.is_none()
            && attempt.last_status.is_none()
            && !attempt.recovered
            && !machine.is_draining_or_reclaimed()
            && machine.state == MachineState::Up
            && self.job_allows_launch(machine, &attempt.task)
            && !self.waits_for_gang_members(attempt, fetches)
    }

    /// Whether the job still needs the task to run and allows it on the machine, given where its other tasks
    /// may be.
    ///
    /// Guards against launches that were planned before other attempts of the job became known: every launch is
    /// checked again when it is sent.
    fn job_allows_launch(&self, machine: &Machine, task: &TaskId) -> bool {
        self.jobs.get(&task.job).is_some_and(|job| {
            job.needs_run(task.index) && check_planned_start(job, machine).is_ok()
        })
    }

    /// Whether a gang member has its image so much sooner than another member that it would time out waiting
    /// for it. The member is launched once all of these have their images.
    ///
    /// Guards against a gang that never starts: one member had a large image cached and the other's fetch took
    /// longer than the gang wait timeout, so both ended and the fetch was aborted, four times in a row.
    fn waits_for_gang_members(&self, attempt: &TaskAttempt, fetches: &mut AwaitedFetches) -> bool {
        let Some(own_wait_s) = attempt.image_wait_s else {
            return false;
        };
        let Some(job) = self.jobs.get(&attempt.task.job) else {
            return false;
        };
        let gang = (attempt.task.job.clone(), attempt.attempt_id);
        let longest_s = *fetches.longest_s_by_gang.entry(gang).or_insert_with(|| {
            self.longest_awaited_fetch_s(job, &attempt.task.job, attempt.attempt_id)
        });
        longest_s > own_wait_s + max_fetch_spread_s(&self.policy)
    }

    /// Returns the longest estimated image fetch, in seconds, among the members of a gang attempt that don't have their
    /// image yet.
    fn longest_awaited_fetch_s(&self, job: &Job, job_id: &JobId, attempt_id: AttemptId) -> f64 {
        let is_fetching = |status: LastStatus| status.phase == TaskPhase::Fetching;
        job.placement_machines()
            .into_iter()
            .filter_map(|machine_id| self.machines.get(machine_id))
            .flat_map(Machine::live_attempts)
            .filter(|member| member.task.job == *job_id && member.attempt_id == attempt_id)
            .filter(|member| member.last_status.is_none_or(is_fetching))
            .filter_map(|member| member.image_wait_s)
            .fold(0.0, f64::max)
    }

    /// Returns the commands for a heartbeat response. Launches are included only if the heartbeat's status is
    /// newer than all earlier ones.
    pub(crate) fn heartbeat_commands(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        is_newer: bool,
    ) -> Vec<Command> {
        let Some(machine) = self.machines.get(machine_id) else {
            return Vec::new();
        };
        let (session, sequence_number) = (machine.session, machine.sequence_number);
        let mut commands = Vec::new();
        let mut launched = Vec::new();
        let mut fetches = AwaitedFetches::default();
        for attempt in machine.attempts.iter() {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            let command = self.heartbeat_command(now, machine, attempt, is_newer, &mut fetches);
            let Some(command) = command else {
                continue;
            };
            if matches!(command, Command::Launch { .. }) {
                launched.push(attempt.key());
            }
            commands.push(command);
        }
        for key in launched {
            if let Some(attempt) = self.ledger().get_mut(machine_id, &key) {
                attempt.launch_heartbeat = Some(sequence_number);
                attempt.launch_session = Some(session);
            }
        }
        commands
    }

    /// Returns the command for one attempt in a heartbeat response, if there is one.
    fn heartbeat_command(
        &self,
        now: Instant,
        machine: &Machine,
        attempt: &TaskAttempt,
        is_newer: bool,
        fetches: &mut AwaitedFetches,
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
        let may_launch =
            is_newer && !push_in_flight && self.should_launch(machine, attempt, fetches);
        may_launch.then_some(Command::Launch { task, attempt_id })
    }

    /// Returns the commands of a push without the launches that are no longer allowed or needed, checked as the
    /// push is sent.
    ///
    /// Guards against a launch that waits for CPU time while its job is cancelled. The push response does not
    /// list the task, so the attempt is removed as never launched.
    pub fn revalidate_commands(
        &mut self,
        machine_id: &MachineId,
        commands: Vec<Command>,
    ) -> Vec<Command> {
        let (wanted, dropped): (Vec<Command>, Vec<Command>) = commands
            .into_iter()
            .partition(|command| self.is_still_wanted(machine_id, command));
        for command in dropped {
            self.launch_dropped(machine_id, command);
        }
        wanted
    }

    fn is_still_wanted(&self, machine_id: &MachineId, command: &Command) -> bool {
        match command {
            Command::Launch { task, .. } => self
                .machines
                .get(machine_id)
                .is_some_and(|machine| self.job_allows_launch(machine, task)),
            Command::Stop { .. } | Command::Clear { .. } => true,
        }
    }

    /// Records that a launch is left out of the push that is about to be sent.
    fn launch_dropped(&mut self, machine_id: &MachineId, command: Command) {
        let Command::Launch { task, attempt_id } = command else {
            return;
        };
        let key = AttemptKey { task, attempt_id };
        if let Some(attempt) = self.ledger().get_mut(machine_id, &key) {
            attempt.launch_not_sent();
        }
    }
}
