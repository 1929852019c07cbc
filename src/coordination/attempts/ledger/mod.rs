//! The ledger of task attempts: every attempt that may be on a machine, from this leadership term and earlier
//! ones.
//!
//! It guarantees that no task runs twice at once: a task is placed only while the ledger has no live attempt of
//! it, an attempt is inserted before its launch can be sent, and it is removed only with a [`RemovalProof`].
//! Attempts are inserted, marked as live or ended, and removed through [`AttemptLedger`] alone. It updates the
//! totals and indexes of machines, teams and jobs incrementally, so that no decision recomputes them; `audit`
//! recomputes them in tests.

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

use super::WorkQueues;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::table::JobTable;
use crate::coordination::machines::table::MachineTable;
use crate::coordination::persistence::Writer;
use crate::coordination::placement::PlacementState;
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, JobId, MachineId, PageNumber, TaskId};
use crate::storage::records::LaunchIntent;
use crate::time::Instant;

/// Maximum number of attempts on one machine, tombstones included: keeps its worker's status well under 64 KiB.
pub(crate) const MAX_ATTEMPTS_PER_MACHINE: usize = 400;

/// Mutable access to all state that a change of the ledger updates.
pub(crate) struct AttemptLedger<'a> {
    machines: &'a mut MachineTable,
    jobs: &'a mut JobTable,
    team_usage: &'a mut TeamUsage,
    writer: &'a mut Writer,
    work_queues: &'a mut WorkQueues,
    placement: &'a mut PlacementState,
}

impl Scheduler {
    /// Returns the ledger for changes.
    pub(crate) fn ledger(&mut self) -> AttemptLedger<'_> {
        AttemptLedger {
            machines: &mut self.machines,
            jobs: &mut self.jobs,
            team_usage: &mut self.team_usage,
            writer: &mut self.writer,
            work_queues: &mut self.work_queues,
            placement: &mut self.placement,
        }
    }
}

impl AttemptLedger<'_> {
    /// Inserts an attempt and records its machine as a placement of its task.
    pub(crate) fn insert(&mut self, machine_id: &MachineId, attempt: TaskAttempt) {
        let task = attempt.task.clone();
        self.insert_without_placement(machine_id, attempt);
        self.add_placement(machine_id, &task);
    }

    /// Inserts an attempt without a placement of its task, because it is about to be recorded as ended.
    pub(crate) fn insert_without_placement(
        &mut self,
        machine_id: &MachineId,
        attempt: TaskAttempt,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let job_id = attempt.task.job.clone();
        if !attempt.has_ended() {
            self.team_usage.charge(attempt.team, &attempt.request);
        }
        let is_running = attempt.is_running();
        machine.attempts.insert(attempt);
        self.jobs
            .update(&job_id, |job| job.attempt_added(is_running));
        self.machines.reindex(machine_id);
    }

    /// Records the status that a worker reported for an attempt. `running_since` is when the attempt started to
    /// run, for a status that is the first to list it as running. Returns whether it is the first attempt of
    /// its job seen running.
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
            self.add_placement(machine_id, &key.task);
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

    /// Records that the launch intent of an attempt is durable on the given page: only now may the attempt be
    /// launched. Returns whether the intent was not durable before; `None` if the attempt has ended or was
    /// removed meanwhile.
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
        let previous = attempt.intent_page.replace(page);
        Some(previous.is_none())
    }

    /// Removes an attempt that is proven not to run and never to run later.
    pub(crate) fn remove(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &AttemptKey,
        proof: RemovalProof,
    ) {
        let Some(attempt) = self.remove_entry(now, machine_id, key) else {
            return;
        };
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.update_idle_since(now);
        }
        if !attempt.has_ended() {
            tracing::debug!(task = %key.task, attempt = %key.attempt_id, machine = %machine_id, proof = ?proof.reason(), "attempt removed");
            self.remove_placement(machine_id, &key.task);
        }
    }

    fn remove_entry(
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

    /// Removes the attempts of a job on a machine that were never launched.
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

    /// Removes all attempts on a machine. Called only when the cloud has answered its termination with 200: a
    /// machine list without the machine is no proof, because lists lag.
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

    /// Records that an attempt has ended on its machine: its task may be placed again, while the attempt stays
    /// as a tombstone.
    pub(crate) fn attempt_ended(&mut self, machine_id: &MachineId, task: &TaskId) {
        self.remove_placement(machine_id, task);
    }

    /// Returns an attempt for changes to its launch and stop state.
    pub(in crate::coordination::attempts) fn get_mut(
        &mut self,
        machine_id: &MachineId,
        key: &AttemptKey,
    ) -> Option<&mut TaskAttempt> {
        self.machines.get_mut(machine_id)?.attempts.get_mut(key)
    }

    fn add_placement(&mut self, machine_id: &MachineId, task: &TaskId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        self.jobs.update(&task.job, |job| {
            job.task_placed(task.index, machine_id, &machine.zone);
        });
    }

    /// Updates a task's placement after a live attempt on the machine has ended or was removed. The task is
    /// pending again unless another attempt of it may be live.
    fn remove_placement(&mut self, machine_id: &MachineId, task: &TaskId) {
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
            self.work_queues.gangs_to_check.insert(task.job.clone());
        }
    }
}

impl Scheduler {
    /// Creates an attempt, placed by this leader or recovered from a former one. An attempt of a job that is
    /// closed and forgotten is charged the whole machine, since its resource request is unknown.
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
