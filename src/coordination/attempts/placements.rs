//! Where the tasks of jobs may be, and how starts leave the ledger.

use crate::coordination::attempts::task_attempt::TaskAttempt;
use crate::coordination::Scheduler;
use crate::ids::{AttemptId, AttemptKey, JobId, MachineId, TaskId};
use crate::time::Instant;

impl Scheduler {
    pub(crate) fn attempt_mut(
        &mut self,
        machine_id: &MachineId,
        key: &AttemptKey,
    ) -> Option<&mut TaskAttempt> {
        self.machines.get_mut(machine_id)?.attempts.get_mut(key)
    }

    pub(crate) fn add_place(&mut self, machine_id: &MachineId, task: &TaskId) {
        self.jobs
            .update(&task.job, |job| job.task_placed(task.index, machine_id));
    }

    /// The task is no longer on that machine (ended there, or proven gone).
    pub(crate) fn drop_place(&mut self, machine_id: &MachineId, task: &TaskId) {
        // Another try of the same task may be on this machine.
        let still = self.machines.get(machine_id).is_some_and(|m| {
            let key = |attempt_id| AttemptKey {
                task: task.clone(),
                attempt_id,
            };
            let tries = key(AttemptId(0))..=key(AttemptId(u64::MAX));
            m.attempts.range(tries).any(|(_, s)| !s.ended())
        });
        self.placement.request_pass();
        if still {
            return;
        }
        let gang = self.jobs.update(&task.job, |job| {
            job.task_left_machine(task.index, machine_id);
            job.needs_gang_scheduling()
        });
        if gang == Some(true) {
            self.outbox.gangs_to_check.insert(task.job.clone());
        }
    }

    /// A start is proven gone. Callers name the proof.
    pub(crate) fn remove_attempt(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &AttemptKey,
    ) {
        let Some(s) = self.detach_attempt(now, machine_id, key) else {
            return;
        };
        self.note_idle(now, machine_id);
        if !s.ended() {
            tracing::debug!(task = %key.task, machine = %machine_id, "proven gone");
            self.drop_place(machine_id, &key.task);
        }
    }

    /// Notes since when a machine has had nothing to do.
    pub(crate) fn note_idle(&mut self, now: Instant, machine_id: &MachineId) {
        if let Some(m) = self.machines.get_mut(machine_id) {
            if m.live_count > 0 {
                m.idle_since = None;
            } else {
                m.idle_since.get_or_insert(now);
            }
        }
    }

    /// Starts of a closed job that were never launched by anybody are dropped at once.
    pub(crate) fn drop_untouched(&mut self, now: Instant, machine_id: &MachineId, job: &JobId) {
        let Some(m) = self.machines.get(machine_id) else {
            return;
        };
        let keys: Vec<_> = m
            .attempts
            .values()
            .filter(|s| s.task.job == *job && s.untouched())
            .map(|s| s.key())
            .collect();
        for key in keys {
            // Proof: never launched. If its intent is being written, that only errs on the safe side.
            self.remove_attempt(now, machine_id, &key);
        }
    }

    /// All starts of a machine are proven gone at once: its lease is over, or the cloud said so.
    pub(crate) fn empty_machine(&mut self, now: Instant, machine_id: &MachineId) {
        let Some(m) = self.machines.get(machine_id) else {
            return;
        };
        let keys: Vec<_> = m.attempts.keys().cloned().collect();
        for key in keys {
            self.remove_attempt(now, machine_id, &key);
        }
    }
}
