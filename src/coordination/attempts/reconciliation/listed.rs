//! Attempts that a worker's status lists.

use crate::coordination::attempts::ledger::{LastStatus, StatusEvidence};
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, JobId, MachineId};
use crate::protocol::workers::{Cause, TaskPhase, TaskStatus};
use crate::time::{Instant, TimeSpan};

impl Scheduler {
    /// Takes in what a status says of one attempt.
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
        if !self.holds_attempt(machine_id, &key) {
            if !evidence.is_confirmed {
                // Every attempt that is on a machine has an intent. One without was proven gone: this is a
                // status from before that, and a later one will tell.
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
        let before = attempt.last_status;
        let shows_our_launch = before.is_none() && attempt.launch_session == Some(evidence.at.0);
        let status = LastStatus::after(before, task, evidence.at, now);
        let is_news = before.is_none_or(|before| !before.reports_same_state_as(&status));
        if !is_news {
            // Only noted, so that the attempt isn't taken for absent.
            attempt.last_status = Some(status);
        }
        if shows_our_launch {
            machine.mark_reachable();
        }
        if is_news {
            self.record_status(now, machine_id, &key, status);
            if before.map(|before| before.phase) != Some(task.phase) {
                self.phase_changed(now, machine_id, &key, task);
            }
        }
    }

    fn holds_attempt(&self, machine_id: &MachineId, key: &AttemptKey) -> bool {
        let machine = self.machines.get(machine_id);
        machine.is_some_and(|machine| machine.attempts.contains(key))
    }

    /// Enters an attempt that a worker lists and the ledger doesn't: a tombstone, for its intent needn't be
    /// kept.
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
            self.ledger().insert_without_place(machine_id, attempt);
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
                self.note_image(now, machine_id, &key.task.job);
                self.push_to_gang(&key.task.job);
            }
            TaskPhase::Running => {
                tracing::debug!(task = %key.task, attempt = %key.attempt_id, machine = %machine_id, "task running");
                self.note_image(now, machine_id, &key.task.job);
            }
            TaskPhase::Ended => {
                let cause = task.cause.unwrap_or(Cause::Error);
                self.attempt_ended(now, machine_id, key, cause);
            }
            TaskPhase::Fetching | TaskPhase::Saving => {}
        }
    }

    /// A member has its image: those that had theirs at once may be launched now.
    fn push_to_gang(&mut self, job_id: &JobId) {
        if let Some(job) = self.jobs.get(job_id) {
            let machines = job.placements().values().flatten();
            self.outbox.pushes_due.extend(machines.cloned());
        }
    }

    /// Notes what a status says of an attempt in the ledger.
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

    /// Since when an attempt that is first seen running now has run, at the latest. What a former leader
    /// launched may have run for long: since its image was there.
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

    fn note_image(&mut self, now: Instant, machine_id: &MachineId, job: &JobId) {
        let Some(job) = self.jobs.get(job) else {
            return;
        };
        let cache_gb = self.machines.cache_gb(machine_id);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let new = !machine.has_image(&job.spec().image);
        machine.record_image_use(&job.spec().image, job.spec().image_gb, cache_gb);
        if let Some(page) = machine.page.filter(|_| new) {
            self.writer.mark_machine_page_outdated(now, page);
        }
    }
}
