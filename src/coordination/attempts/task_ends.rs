//! What follows when a task has ended on its machine.

use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, MachineId, TaskId};
use crate::protocol::workers::Cause;
use crate::time::{Instant, TimeSpan};

/// Errors of one job on several machines make it wait, doubling, between these.
const JOB_BACKOFF: (TimeSpan, TimeSpan) = (TimeSpan(2000), TimeSpan(60_000));

impl Scheduler {
    /// A start ended on its machine. It stays there as a tombstone until cleared.
    pub(crate) fn ended(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &AttemptKey,
        cause: Cause,
    ) {
        let task = &key.task;
        let lease = TimeSpan::from_secs(self.policy.facts.workers.lease_s);
        tracing::debug!(task = %task, machine = %machine_id, cause = ?cause, "ended");
        self.note_idle(now, machine_id);
        if cause == Cause::Done {
            self.note_run_time(now, machine_id, key);
            if let Some(job) = self.jobs.get_mut(&task.job) {
                if task.index < job.spec.tasks && !job.closed && job.done.add(task.index) {
                    job.unpersisted.insert(task.index);
                    job.pending.remove(&task.index);
                }
                job.failures = 0;
            }
            self.jobs.reindex(&task.job);
            if let Some(m) = self.machines.get_mut(machine_id) {
                m.failed_jobs.clear();
            }
        }
        self.drop_place(machine_id, task);
        match cause {
            Cause::Error => self.failed(now, machine_id, task),
            Cause::Full => {
                if let Some(m) = self.machines.get_mut(machine_id) {
                    m.unschedulable_until = now + TimeSpan(3000);
                }
            }
            Cause::Unknown => {
                // The description isn't there yet; try again a little later.
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.not_before = job.not_before.max(now + TimeSpan(2000));
                }
            }
            Cause::Busy => {
                // Another try of this task is on the machine although we held it for empty: leave
                // the machine to its next reports, which list that try.
                if let Some(m) = self.machines.get_mut(machine_id) {
                    m.unschedulable_until = now + TimeSpan(6000);
                }
            }
            Cause::Incomplete => {
                // Its image is there: the machine is kept for when the others have theirs.
                if let Some(m) = self.machines.get_mut(machine_id) {
                    m.reservation = Some((task.job.clone(), now + lease));
                }
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.incomplete = true;
                }
            }
            Cause::Done | Cause::Stopped | Cause::MatesGone => {}
        }
    }

    /// A task failed: mostly the machine is faulty, but a job may be.
    pub(crate) fn failed(&mut self, now: Instant, machine_id: &MachineId, task: &TaskId) {
        let most = self.policy.operator.sick_errors as usize;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.failures += 1;
        job.failed_on.insert(machine_id.clone());
        // A job that failed on several machines backs off and condemns none of them.
        let fails_everywhere = job.fails_everywhere();
        let failed_on = job.failed_on.clone();
        if job.failed_on.len() > 1 {
            let step = JOB_BACKOFF.0 .0 << (job.failed_on.len() as u32 - 2).min(5);
            job.not_before = now + TimeSpan(step.min(JOB_BACKOFF.1 .0));
        }
        if fails_everywhere {
            // Guards against jobs submitted with a mistake that take machines down with them: the marks
            // of the first machines that it failed on are taken back.
            for machine_id in &failed_on {
                if let Some(m) = self.machines.get_mut(machine_id) {
                    m.forget_failures_of(&task.job, most);
                }
                self.machines.reindex(machine_id);
            }
        }
        if let Some(m) = self.machines.get_mut(machine_id) {
            if !fails_everywhere {
                m.failed_jobs.insert(task.job.clone());
            }
            m.unschedulable_until = now + TimeSpan(2000);
            if m.failed_jobs.len() >= most && !m.draining {
                tracing::info!(machine = %machine_id, "sick: tasks of different jobs fail here");
                m.start_draining(now);
                m.quarantined = true;
            }
        }
    }
}
