//! The ledger of task attempts: every attempt that may be on a machine, of this leadership and of former ones.
//!
//! It answers "can a task start twice?": a task is placed only while the ledger holds no live attempt of it,
//! an attempt is entered before its launch can leave, and leaves only by a [`RemovalProof`]. Attempts enter,
//! change between live and ended, and leave through [`AttemptLedger`] alone, which keeps the sums and
//! indexes of machines, teams and jobs in step, so that no decision adds everything up again; `audit` does,
//! for tests.

mod audit;
pub mod machine_attempts;
pub mod proof;
pub mod task_attempt;
pub mod team_usage;

pub use audit::AuditError;
pub use machine_attempts::MachineAttempts;
pub use proof::{RemovalProof, RemovalReason, StatusEvidence};
pub use task_attempt::{LastStatus, PushDelivery, StopRequest, TaskAttempt};
pub use team_usage::TeamUsage;

use super::Outbox;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::table::JobTable;
use crate::coordination::machines::table::MachineTable;
use crate::coordination::persistence::Writer;
use crate::coordination::placement::PlacementState;
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, JobId, MachineId, PageNumber, TaskId};
use crate::storage::records::LaunchIntent;
use crate::time::Instant;

/// Attempts on one machine, tombstones included: keeps its worker's status well under 64 KiB.
pub(crate) const MAX_ATTEMPTS_PER_MACHINE: usize = 400;

/// All that a change of the ledger touches.
pub(crate) struct AttemptLedger<'a> {
    machines: &'a mut MachineTable,
    jobs: &'a mut JobTable,
    team_usage: &'a mut TeamUsage,
    writer: &'a mut Writer,
    outbox: &'a mut Outbox,
    placement: &'a mut PlacementState,
}

impl Scheduler {
    /// The ledger, to be changed.
    pub(crate) fn ledger(&mut self) -> AttemptLedger<'_> {
        AttemptLedger {
            machines: &mut self.machines,
            jobs: &mut self.jobs,
            team_usage: &mut self.team_usage,
            writer: &mut self.writer,
            outbox: &mut self.outbox,
            placement: &mut self.placement,
        }
    }
}

impl AttemptLedger<'_> {
    /// Enters an attempt; from now on its machine is a place of its task.
    pub(crate) fn insert(&mut self, machine_id: &MachineId, attempt: TaskAttempt) {
        let task = attempt.task.clone();
        self.insert_without_place(machine_id, attempt);
        self.add_place(machine_id, &task);
    }

    /// Enters an attempt that is about to be noted as ended.
    pub(crate) fn insert_without_place(&mut self, machine_id: &MachineId, attempt: TaskAttempt) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let job_id = attempt.task.job.clone();
        if !attempt.has_ended() {
            self.team_usage.charge(attempt.team, &attempt.request);
        }
        let runs = attempt.is_running();
        machine.attempts.insert(attempt);
        self.jobs.update(&job_id, |job| job.attempt_added(runs));
        self.machines.reindex(machine_id);
    }

    /// Notes what a worker says of an attempt, which has been running since `running_since` at the earliest
    /// if it is running. Says whether it is the first of its job to be seen running.
    #[must_use]
    pub(crate) fn record_status(
        &mut self,
        machine_id: &MachineId,
        key: &AttemptKey,
        status: LastStatus,
        running_since: Instant,
    ) -> bool {
        let machine = self.machines.get_mut(machine_id);
        let change = machine.and_then(|m| m.attempts.set_status(key, status, running_since));
        let Some(change) = change else {
            return false;
        };
        if change.has_ended() {
            self.team_usage.release(change.team, &change.request);
            self.machines.reindex(machine_id);
        } else if change.has_revived() {
            self.team_usage.charge(change.team, &change.request);
            self.machines.reindex(machine_id);
            self.add_place(machine_id, &key.task);
        }
        let job_id = &key.task.job;
        match (change.was_running, change.is_running) {
            (false, true) => self.jobs.update(job_id, Job::attempt_started) == Some(true),
            (true, false) => {
                self.jobs.update(job_id, Job::attempt_stopped_running);
                false
            }
            (true, true) | (false, false) => false,
        }
    }

    /// The intent of an attempt is durable, on that page: only now may it be launched. Says whether it was
    /// not before; `None` if the attempt has ended or left the ledger meanwhile.
    pub(crate) fn intent_persisted(
        &mut self,
        machine_id: &MachineId,
        key: &AttemptKey,
        page: PageNumber,
    ) -> Option<bool> {
        let attempt = self.get_mut(machine_id, key)?;
        if attempt.has_ended() {
            return None;
        }
        let before = attempt.intent_page.replace(page);
        Some(before.is_none())
    }

    /// Removes an attempt that is proven to run nowhere, nor ever to run.
    pub(crate) fn remove(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &AttemptKey,
        proof: RemovalProof,
    ) {
        let Some(attempt) = self.take_out(now, machine_id, key) else {
            return;
        };
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.update_idle_since(now);
        }
        if !attempt.has_ended() {
            tracing::debug!(task = %key.task, attempt = %key.attempt_id, machine = %machine_id, proof = ?proof.reason(), "attempt removed");
            self.drop_place(machine_id, &key.task);
        }
    }

    fn take_out(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &AttemptKey,
    ) -> Option<TaskAttempt> {
        let machine = self.machines.get_mut(machine_id)?;
        let attempt = machine.attempts.remove(key)?;
        if !attempt.has_ended() {
            self.team_usage.release(attempt.team, &attempt.request);
        }
        self.jobs.update(&key.task.job, |job| {
            job.attempt_removed(attempt.is_running())
        });
        if let Some(page) = attempt.intent_page {
            let removed = LaunchIntent::new(machine_id, key);
            self.writer.remove_intent(now, page, &removed);
        }
        self.machines.reindex(machine_id);
        Some(attempt)
    }

    /// Removes the attempts of a job on a machine that no leader has launched.
    pub(crate) fn remove_never_launched(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        job: &JobId,
    ) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let of_job = machine.attempts.iter().filter(|a| a.task.job == *job);
        let removals: Vec<_> = of_job
            .filter_map(|a| Some((a.key(), RemovalProof::never_launched(a)?)))
            .collect();
        for (key, proof) in removals {
            self.remove(now, machine_id, &key, proof);
        }
    }

    /// Removes all attempts on a machine. Only on the cloud's 200 to terminating it: a list without it proves
    /// nothing, for lists lag.
    pub(crate) fn machine_terminated(&mut self, now: Instant, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let keys: Vec<AttemptKey> = machine.attempts.keys().cloned().collect();
        for key in keys {
            let proof = RemovalProof::machine_terminated();
            self.remove(now, machine_id, &key, proof);
        }
    }

    /// An attempt has ended on its machine, where it stays as a tombstone: the task may be placed anew.
    pub(crate) fn attempt_ended(&mut self, machine_id: &MachineId, task: &TaskId) {
        self.drop_place(machine_id, task);
    }

    /// The attempt with that key, for changes of how it is launched and stopped.
    pub(in crate::coordination::attempts) fn get_mut(
        &mut self,
        machine_id: &MachineId,
        key: &AttemptKey,
    ) -> Option<&mut TaskAttempt> {
        self.machines.get_mut(machine_id)?.attempts.get_mut(key)
    }

    fn add_place(&mut self, machine_id: &MachineId, task: &TaskId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        self.jobs.update(&task.job, |job| {
            job.task_placed(task.index, machine_id, &machine.zone);
        });
    }

    /// A live attempt of the task on that machine has ended or has been removed. The task is pending again
    /// if no other live attempt of it may be anywhere.
    fn drop_place(&mut self, machine_id: &MachineId, task: &TaskId) {
        self.placement.request_pass();
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        if machine.attempts.has_live_attempt_of(task) {
            return;
        }
        let needs_gang_scheduling = self.jobs.update(&task.job, |job| {
            job.task_left_machine(task.index, machine_id, &machine.zone);
            job.needs_gang_scheduling()
        });
        if needs_gang_scheduling == Some(true) {
            self.outbox.gangs_to_check.insert(task.job.clone());
        }
    }
}

impl Scheduler {
    /// A new attempt, here or by a former leader. Without a job (closed and forgotten) it counts as taking
    /// all of its machine: something of which nothing is known may take everything.
    pub(crate) fn new_attempt(
        &self,
        machine_id: &MachineId,
        key: AttemptKey,
        placed_at: Instant,
    ) -> TaskAttempt {
        let machine = self.machines.get(machine_id);
        let capacity = machine.map(|m| self.machines.capacity(&m.machine_type));
        let job = self.jobs.get(&key.task.job);
        TaskAttempt::planned(key, job, capacity.unwrap_or_default(), placed_at)
    }
}
