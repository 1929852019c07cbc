//! Handles attempts that a worker status lists.

use crate::coordination::attempts::ledger::{LastStatus, StatusEvidence};
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, JobId, MachineId};
use crate::protocol::workers::{Cause, TaskPhase, TaskStatus};
use crate::time::{Instant, TimeSpan};

impl Scheduler {
    /// Updates the ledger from one task entry of a worker status.
    pub(super) fn reconcile_listed(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        task: &TaskStatus,
        evidence: &StatusEvidence,
    ) {
        let key = AttemptKey {
            task: task.task.clone(),
            attempt_id: task.attempt_id,
        };
        if !self.has_attempt(machine_id, &key) {
            if !evidence.is_confirmed {
                // An attempt that may be on a machine has a launch intent. One without was removed with a
                // proof, and this status may be older than that proof: a later status decides.
                return;
            }
            self.adopt_attempt(now, machine_id, &key, task.phase);
        }
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let Some(attempt) = machine.attempts.get_mut(&key) else {
            return;
        };
        let previous = attempt.last_status;
        let confirms_launch =
            previous.is_none() && attempt.launch_session == Some(evidence.message_id.0);
        let status = LastStatus::after(previous, task, evidence.message_id, now);
        let has_changed = previous.is_none_or(|previous| !previous.reports_same_state_as(&status));
        if !has_changed {
            // Only marks the attempt as listed by the newest status.
            attempt.last_status = Some(status);
        }
        if confirms_launch {
            machine.mark_reachable();
        }
        if has_changed {
            self.record_status(now, machine_id, &key, status);
            if previous.map(|previous| previous.phase) != Some(task.phase) {
                self.phase_changed(now, machine_id, &key, task);
            }
        }
    }

    fn has_attempt(&self, machine_id: &MachineId, key: &AttemptKey) -> bool {
        let machine = self.machines.get(machine_id);
        machine.is_some_and(|machine| machine.attempts.contains(key))
    }

    /// Inserts an attempt that a worker lists and the ledger lacks: usually a tombstone, as launch intents of
    /// ended attempts need not be kept.
    fn adopt_attempt(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &AttemptKey,
        phase: TaskPhase,
    ) {
        let mut attempt = self.new_attempt(machine_id, key.clone(), now);
        attempt.recovered = true;
        if phase == TaskPhase::Ended {
            self.ledger().insert_without_placement(machine_id, attempt);
        } else {
            self.ledger().insert(machine_id, attempt);
        }
    }

    fn phase_changed(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &AttemptKey,
        task: &TaskStatus,
    ) {
        match task.phase {
            TaskPhase::Waiting => {
                self.record_cached_image(now, machine_id, &key.task.job);
                let job_id = key.task.job.clone();
                self.work_queues.gangs_with_new_images.insert(job_id);
            }
            TaskPhase::Running => {
                tracing::debug!(task = %key.task, attempt = %key.attempt_id, machine = %machine_id, "task running");
                self.record_cached_image(now, machine_id, &key.task.job);
            }
            TaskPhase::Ended => {
                let cause = task.cause.unwrap_or(Cause::Error);
                self.attempt_ended(now, machine_id, key, cause);
            }
            TaskPhase::Fetching | TaskPhase::Saving => {}
        }
    }

    /// Records the reported status of an attempt in the ledger, and the start of its job.
    fn record_status(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &AttemptKey,
        status: LastStatus,
    ) {
        let running_since = self.running_since(now, machine_id, key);
        let is_first = self
            .ledger()
            .record_status(machine_id, key, status, running_since);
        if let Some(job) = self.jobs.get(&key.task.job).filter(|_| is_first) {
            self.aging.job_started(now, job);
        }
    }

    /// Returns the latest time at which an attempt that is first seen running may have started. An attempt of a
    /// former leader may have started as soon as its image was fetched.
    fn running_since(&self, now: Instant, machine_id: &MachineId, key: &AttemptKey) -> Instant {
        let machine = self.machines.get(machine_id);
        let attempt = machine.and_then(|machine| machine.attempts.get(key));
        match attempt.filter(|attempt| attempt.recovered) {
            Some(attempt) => {
                let fetch_s = self.image_fetch_s_on(machine_id, &key.task.job);
                (attempt.placed_at + TimeSpan::from_secs(fetch_s)).min(now)
            }
            None => now,
        }
    }

    fn record_cached_image(&mut self, now: Instant, machine_id: &MachineId, job: &JobId) {
        let Some(job) = self.jobs.get(job) else {
            return;
        };
        let (image, image_gb) = (&job.spec().image, job.spec().image_gb);
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let size_gb = self.machines.cached_gb(machine, image_gb);
        let cache_gb = self.machines.cache_gb(machine_id);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let is_new = !machine.has_image(image);
        machine.record_image_use(image, size_gb, cache_gb);
        if let Some(page) = machine.page.filter(|_| is_new) {
            self.writer.mark_machine_page_outdated(now, page);
        }
    }
}
