//! Revocation of launches that a worker may still execute although their job is closed.
//!
//! A pushed launch without a response may arrive at any later time. The worker executes it as long as its session lasts
//! and it has seen no higher fencing token than that of the push. Two steps keep such a launch from starting a task
//! later than `cancel_s` after the job's cancellation:
//!
//! 1. The leader raises its fencing token soon. From then on each response that renews the worker's lease makes the
//!    worker refuse the launch.
//! 2. If the token is not raised in time, the lease is no longer renewed: the session ends with it. The bound is that of
//!    a leader that has not learnt of the cancellation, see docs/SAFETY.md, "The bound on cancelled work".

use crate::coordination::attempts::ledger::{PushDelivery, TaskAttempt};
use crate::coordination::machines::machine::Machine;
use crate::coordination::Scheduler;
use crate::ids::{FencingToken, JobId, MachineId, SequenceNumber, Session};
use crate::time::Instant;

impl TaskAttempt {
    /// Whether a response with this fencing token must not renew the worker's lease any more: the worker might execute
    /// the launch of a closed job, or a copy of it, too late. An attempt that the worker lists in its newest message has been
    /// launched, so another launch has no effect on it.
    fn forbids_lease_renewal(
        &self,
        now: Instant,
        token: FencingToken,
        newest: (Session, SequenceNumber),
    ) -> bool {
        let is_listed = self
            .last_status
            .is_some_and(|status| status.message_id == newest);
        self.revoke_launch_by.is_some_and(|by| now >= by)
            && !is_listed
            && self.may_be_launched_again(token)
    }
}

impl Machine {
    /// Whether the worker's lease must not be renewed before the fencing token is raised above `token`.
    pub(super) fn awaits_launch_revocation(&self, now: Instant, token: FencingToken) -> bool {
        let newest = (self.session, self.sequence_number);
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.forbids_lease_renewal(now, token, newest))
    }
}

impl Scheduler {
    /// Requests that the worker of a machine sees a fencing token above `token`: it has lost tasks, and may execute copies
    /// of the commands that it was sent with this token.
    ///
    /// The leader's token is raised soon if it isn't higher, and pushed to the worker.
    pub(super) fn revoke_commands_to(&mut self, machine_id: &MachineId, token: FencingToken) {
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.restarts.require_token_above(token);
            self.leadership.revoke_token(token);
            self.work_queues.pushes_due.insert(machine_id.clone());
        }
    }

    /// Queues pushes to the workers that have to see the raised fencing token.
    pub(crate) fn push_raised_token(&mut self) {
        let machines = self.machines.values();
        let waiting = machines.filter(|machine| machine.restarts.may_execute_copies());
        let ids: Vec<MachineId> = waiting.map(|machine| machine.id.clone()).collect();
        self.work_queues.pushes_due.extend(ids);
    }

    /// Sets the time by which pushed launches of a job that is no longer open must be revoked on a machine.
    ///
    /// The job was still open when the leader's last complete view of the open jobs was requested, so no user was told
    /// of a cancellation before that.
    pub(crate) fn limit_launches_of_closed_job(&mut self, machine_id: &MachineId, job: &JobId) {
        let revoke_by = self.leadership.view_requested_at() + self.policy.max_staleness();
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        for attempt in machine.attempts.iter_mut() {
            if attempt.task.job == *job && attempt.revoke_launch_by.is_none() {
                attempt.revoke_launch_by = Some(revoke_by);
            }
        }
        self.revoke_unconfirmed_launches(machine_id);
    }

    /// Requests a raise of the fencing token if a push without a response may still launch a task of a closed job on
    /// the machine.
    pub(super) fn revoke_unconfirmed_launches(&mut self, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        for attempt in machine.live_attempts() {
            let PushDelivery::Unconfirmed(_, token) = attempt.last_push else {
                continue;
            };
            if attempt.revoke_launch_by.is_some() && attempt.last_status.is_none() {
                tracing::info!(machine = %machine_id, task = %attempt.task, attempt = %attempt.attempt_id, fencing_token = %token, "unconfirmed launch of a closed job, fencing token to be raised");
                self.leadership.revoke_token(token);
            }
        }
    }
}
