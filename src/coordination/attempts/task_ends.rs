//! What follows when a task has ended on its machine.

use crate::coordination::jobs::job::Job;
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, MachineId, TaskId};
use crate::protocol::workers::Cause;
use crate::time::{Instant, TimeSpan};

impl Scheduler {
    /// An attempt ended on its machine. It stays there as a tombstone until cleared.
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
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.note_idle(now);
        }
        if cause == Cause::Done {
            self.note_run_time(now, machine_id, key);
            self.jobs
                .update(&task.job, |job| job.task_completed(task.index));
            if let Some(m) = self.machines.get_mut(machine_id) {
                m.failed_jobs.clear();
            }
        }
        self.ledger().attempt_ended(machine_id, task);
        match cause {
            Cause::Error => self.failed(now, machine_id, task),
            Cause::Full => {
                if let Some(m) = self.machines.get_mut(machine_id) {
                    m.unschedulable_until = now + TimeSpan(3000);
                }
            }
            Cause::Unknown => {
                // The description isn't there yet; try again a little later.
                let until = now + TimeSpan(2000);
                self.jobs.update(&task.job, |job| job.postpone(until));
            }
            Cause::Busy => {
                // Another attempt of this task is on the machine although we held it for empty: leave
                // the machine to its next reports, which list that try.
                if let Some(m) = self.machines.get_mut(machine_id) {
                    m.unschedulable_until = now + TimeSpan(6000);
                }
            }
            Cause::Incomplete => {
                // Its image is there: the machine is kept for when the others have theirs.
                if let Some(m) = self.machines.get_mut(machine_id) {
                    m.reserve_for(task.job.clone(), now + lease);
                }
                self.jobs.update(&task.job, Job::gang_member_gave_up);
            }
            Cause::Done | Cause::Stopped | Cause::MatesGone => {}
        }
    }

    /// A task failed: mostly the machine is faulty, but a job may be.
    pub(crate) fn failed(&mut self, now: Instant, machine_id: &MachineId, task: &TaskId) {
        let most = self.policy.operator.sick_errors as usize;
        self.jobs
            .update(&task.job, |job| job.task_failed(now, machine_id));
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        // A job that failed on several machines backs off and condemns none of them.
        let fails_everywhere = job.fails_everywhere();
        if fails_everywhere {
            // Guards against jobs submitted with a mistake that take machines down with them: the marks
            // of the first machines that it failed on are taken back.
            for machine_id in job.retry().failed_on() {
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
