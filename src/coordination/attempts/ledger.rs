//! The one place where starts are put on machines, change and leave: sums and indexes follow each
//! change, so that no decision has to add everything up again. `audit` does add everything up, for
//! tests.

use crate::coordination::attempts::task_attempt::{LastStatus, TaskAttempt};
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::Machine;
use crate::coordination::Scheduler;
use crate::ids::{AttemptId, AttemptKey, MachineId, TaskId, TeamIndex};
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::storage::records::LaunchIntent;
use crate::time::{Instant, TimeSpan};

impl Scheduler {
    /// What a team uses: everything that may be on a machine, lingering starts included.
    pub(crate) fn used_by(&self, team: Option<TeamIndex>) -> Resources {
        team.and_then(|t| self.team_usage.get(t.0))
            .copied()
            .unwrap_or_default()
    }

    fn charge(&mut self, team: Option<TeamIndex>, request: &Resources, on: bool) {
        if let Some(u) = team.and_then(|t| self.team_usage.get_mut(t.0)) {
            if on {
                u.add(request);
            } else {
                u.sub(request);
            }
        }
    }

    fn charge_machine(m: &mut Machine, request: &Resources, on: bool) {
        if on {
            m.free.sub(request);
            m.live_count += 1;
        } else {
            m.free.add(request);
            m.live_count = m.live_count.saturating_sub(1);
        }
    }

    /// Puts a start on a machine.
    pub(crate) fn insert_attempt(&mut self, machine_id: &MachineId, attempt: TaskAttempt) {
        let Some(m) = self.machines.get_mut(machine_id) else {
            return;
        };
        let (request, team, on) = (attempt.request, attempt.team, !attempt.ended());
        let (job, runs) = (attempt.task.job.clone(), attempt.runs());
        let key = attempt.key();
        if on {
            Self::charge_machine(m, &request, true);
        }
        let before = m.attempts.insert(key, attempt);
        debug_assert!(before.is_none(), "a start is put once");
        if on {
            self.charge(team, &request, true);
        }
        self.jobs.update(&job, |job| job.attempt_added(runs));
        self.machines.reindex(machine_id);
    }

    /// A report says how a start is.
    pub(crate) fn update_status(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &AttemptKey,
        last_status: LastStatus,
    ) {
        let fetch_s = self.longest_fetch_s(machine_id, &key.task.job);
        let Some(m) = self.machines.get_mut(machine_id) else {
            return;
        };
        let Some(s) = m.attempts.get_mut(key) else {
            return;
        };
        let (was_on, ran) = (!s.ended(), s.runs());
        // What a former leader launched may have run for long: since its image was there, at the latest.
        let fetched = s.since + TimeSpan::from_secs(fetch_s);
        let running_since = if s.recovered { fetched.min(now) } else { now };
        s.last_status = Some(last_status);
        if last_status.phase == crate::protocol::workers::TaskPhase::Running
            && s.running_since.is_none()
        {
            s.running_since = Some(running_since);
        }
        let (on, runs) = (!s.ended(), s.runs());
        let (request, team) = (s.request, s.team);
        if was_on != on {
            Self::charge_machine(m, &request, on);
            self.charge(team, &request, on);
            self.machines.reindex(machine_id);
        }
        let job_id = &key.task.job;
        match (ran, runs) {
            (false, true) => {
                if self.jobs.update(job_id, Job::attempt_began) == Some(true) {
                    if let Some(job) = self.jobs.get(job_id) {
                        self.aging.job_began(now, job);
                    }
                }
            }
            (true, false) => drop(self.jobs.update(job_id, Job::attempt_stopped_running)),
            (true, true) | (false, false) => {}
        }
    }

    /// Takes a start off the ledger. Only `remove_attempt` does this, for only proofs may.
    pub(crate) fn detach_attempt(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &AttemptKey,
    ) -> Option<TaskAttempt> {
        let m = self.machines.get_mut(machine_id)?;
        let s = m.attempts.remove(key)?;
        let (request, team, on) = (s.request, s.team, !s.ended());
        if on {
            Self::charge_machine(m, &request, false);
            self.charge(team, &request, false);
        }
        self.jobs
            .update(&key.task.job, |job| job.attempt_removed(s.runs()));
        if let Some(page) = s.page {
            let gone = LaunchIntent::new(machine_id, key);
            self.writer.intents.gone(now, page, &gone);
        }
        self.machines.reindex(machine_id);
        Some(s)
    }

    /// A start as planned for a task of a job, here or by a former leader.
    pub(crate) fn new_attempt(
        &self,
        machine_id: &MachineId,
        task: TaskId,
        attempt_id: AttemptId,
        now: Instant,
    ) -> TaskAttempt {
        // Something of which we know nothing may take everything.
        let whole = self
            .machines
            .get(machine_id)
            .map(|m| self.machines.capacity(&m.machine_type));
        let job = self.jobs.get(&task.job);
        TaskAttempt::planned(task, attempt_id, job, whole.unwrap_or_default(), now)
    }

    /// The team of a job, by its number in the settings.
    pub(crate) fn team_of(&self, spec: &JobSpec) -> Option<TeamIndex> {
        self.policy.team_index(&spec.team)
    }
}
