//! Handles the end of a task attempt on its machine.

use crate::coordination::jobs::job::Job;
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, JobId, MachineId, TaskId};
use crate::protocol::workers::Cause;
use crate::time::{Instant, TimeSpan};

/// How long a machine that refused an attempt for lack of capacity gets no new work: its next heartbeats list
/// what runs on it.
const FULL_MACHINE_DELAY: TimeSpan = TimeSpan(3_000);
/// How long a machine that refused an attempt because it runs another attempt of the task gets no new work: its
/// next heartbeats list that attempt.
const BUSY_MACHINE_DELAY: TimeSpan = TimeSpan(6_000);
/// How long a machine on which a task failed gets no new work.
const FAILED_MACHINE_DELAY: TimeSpan = TimeSpan(2_000);
/// Delay before a job is placed again after a worker could not fetch its description.
const UNKNOWN_JOB_DELAY: TimeSpan = TimeSpan(2_000);

impl Scheduler {
    /// Handles the end of an attempt. The attempt stays in the ledger as a tombstone until it is cleared.
    pub(crate) fn attempt_ended(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &AttemptKey,
        cause: Cause,
    ) {
        let task = &key.task;
        tracing::debug!(task = %task, machine = %machine_id, cause = ?cause, "task ended");
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.update_idle_since(now);
        }
        if cause == Cause::Done {
            self.task_completed(now, machine_id, key);
        }
        self.ledger().attempt_ended(machine_id, task);
        match cause {
            Cause::Error => self.task_failed(now, machine_id, task),
            Cause::Full => self.suspend_placement_on(machine_id, now + FULL_MACHINE_DELAY),
            Cause::Busy => self.suspend_placement_on(machine_id, now + BUSY_MACHINE_DELAY),
            Cause::Unknown => {
                let until = now + UNKNOWN_JOB_DELAY;
                self.jobs.update(&task.job, |job| job.postpone(until));
            }
            Cause::Incomplete => self.gang_wait_timed_out(now, machine_id, &task.job),
            Cause::Done | Cause::Stopped | Cause::MatesGone => {}
        }
    }

    fn task_completed(&mut self, now: Instant, machine_id: &MachineId, key: &AttemptKey) {
        let task = &key.task;
        self.record_run_time(now, machine_id, key);
        self.jobs
            .update(&task.job, |job| job.task_completed(task.index));
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.failed_jobs.clear();
        }
    }

    /// Excludes the machine from placement until the given time.
    fn suspend_placement_on(&mut self, machine_id: &MachineId, until: Instant) {
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.unschedulable_until = until;
        }
    }

    /// Handles a gang member that timed out waiting for the others. Its image is cached, so the machine is
    /// reserved for the gang's next attempt.
    fn gang_wait_timed_out(&mut self, now: Instant, machine_id: &MachineId, job: &JobId) {
        let lease = TimeSpan::from_secs(self.policy.facts.workers.lease_s);
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.reserve_for(job.clone(), now + lease);
        }
        self.jobs.update(job, Job::gang_member_timed_out);
    }

    /// Handles a failed task: in most cases the machine is faulty, but the job may be.
    fn task_failed(&mut self, now: Instant, machine_id: &MachineId, task: &TaskId) {
        self.jobs
            .update(&task.job, |job| job.task_failed(now, machine_id));
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        // A job that failed on several machines is retried with backoff and counts against none of them.
        let fails_everywhere = job.fails_everywhere();
        if fails_everywhere {
            self.discount_failures_of(&task.job);
        }
        self.suspend_placement_on(machine_id, now + FAILED_MACHINE_DELAY);
        if let Some(machine) = self.machines.get_mut(machine_id) {
            if !fails_everywhere {
                machine.failed_jobs.insert(task.job.clone());
            }
        }
        self.quarantine_if_faulty(now, machine_id);
    }

    /// Removes a job that fails everywhere from the failed jobs of the machines that it failed on.
    ///
    /// Guards against faulty jobs that cause healthy machines to be quarantined.
    fn discount_failures_of(&mut self, job_id: &JobId) {
        let max_failed_jobs = self.policy.operator.quarantine_threshold as usize;
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        for machine_id in job.retry().failed_on() {
            if let Some(machine) = self.machines.get_mut(machine_id) {
                machine.clear_failures_of(job_id, max_failed_jobs);
            }
            self.machines.reindex(machine_id);
        }
    }

    /// Quarantines a machine on which tasks of too many different jobs failed without a success in between.
    fn quarantine_if_faulty(&mut self, now: Instant, machine_id: &MachineId) {
        let max_failed_jobs = self.policy.operator.quarantine_threshold as usize;
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if machine.failed_jobs.len() >= max_failed_jobs && !machine.draining {
            tracing::info!(machine = %machine_id, "machine quarantined");
            machine.start_draining(now);
            machine.quarantined = true;
        }
    }
}
