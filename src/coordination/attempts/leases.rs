//! Checks made once a second: expired leases, machines that no command reaches, and the periodic review of all
//! machines.

use crate::coordination::attempts::ledger::{PushDelivery, RemovalProof, TaskAttempt};
use crate::coordination::machines::machine::Machine;
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, MachineId};
use crate::time::{Instant, TimeSpan};

/// How long a launch whose push was not answered, and which no status lists, keeps its placement before its
/// machine is drained.
const UNCONFIRMED_LAUNCH_TIMEOUT: TimeSpan = TimeSpan(45_000);
/// Every machine is reviewed at least once in this many seconds, in slices of one a second.
const REVIEW_CYCLE_SECS: u64 = 4;

impl Scheduler {
    /// Runs the checks that are due once a second.
    pub(crate) fn recheck_machines(&mut self, now: Instant) {
        self.remove_attempts_of_expired_leases(now);
        self.drain_unresponsive_machines(now);
        self.review_next_machines();
    }

    fn remove_attempts_of_expired_leases(&mut self, now: Instant) {
        let expiry_bound = self.policy.lease_expiry_bound();
        let started_at = self.leadership.started_at();
        let is_expired =
            |machine: &&Machine| now - machine.last_response_at.max(started_at) > expiry_bound;
        let occupied = self.machines.values().filter(|m| !m.attempts.is_empty());
        let expired: Vec<(MachineId, AttemptKey, RemovalProof)> = occupied
            .filter(is_expired)
            .flat_map(|machine| {
                machine.attempts.iter().filter_map(move |attempt| {
                    let proof = RemovalProof::lease_expired(
                        machine,
                        attempt,
                        started_at,
                        expiry_bound,
                        now,
                    )?;
                    Some((machine.id.clone(), attempt.key(), proof))
                })
            })
            .collect();
        for (machine_id, key, proof) in expired {
            tracing::info!(machine = %machine_id, task = %key.task, attempt = %key.attempt_id, "lease expired");
            self.ledger().remove(now, &machine_id, &key, proof);
        }
    }

    fn drain_unresponsive_machines(&mut self, now: Instant) {
        let timeout = self.policy.heartbeat_timeout();
        let mut drained = Vec::new();
        for machine in self.machines.values_mut() {
            if !machine.draining && has_overdue_launch(machine, now) {
                tracing::info!(machine = %machine.id, reason = "lost launch", "machine given up");
                machine.start_draining(now);
                drained.push(machine.id.clone());
            }
            // Guards against an inbound-unreachable machine: its heartbeats arrive but the responses to them do
            // not. Each response would extend the lease as recorded here, though not on the worker, so the
            // lease would never count as expired and its attempts would stay in the ledger forever. So its
            // heartbeats are refused from now on.
            let unreachable_since = machine.reachability.unreachable_since();
            if !machine.lease_withheld && unreachable_since.is_some_and(|t| now - t > timeout) {
                tracing::info!(machine = %machine.id, reason = "unreachable", "machine given up, lease withheld");
                machine.lease_withheld = true;
                machine.start_draining(now);
                drained.push(machine.id.clone());
            }
        }
        self.work_queues.machines_to_review.extend(drained);
    }

    /// Queues the next slice of all machines for review, in case an event that should have done so was missed.
    fn review_next_machines(&mut self) {
        self.work_queues.review_round += 1;
        let slice = self.work_queues.review_round % REVIEW_CYCLE_SECS;
        let ids = self.machines.keys().enumerate();
        let ids = ids.filter(|(position, _)| *position as u64 % REVIEW_CYCLE_SECS == slice);
        let ids = ids.map(|(_, id)| id.clone());
        self.work_queues.machines_to_review.extend(ids);
    }
}

/// Whether the machine has a launch that has been unconfirmed for longer than the timeout.
fn has_overdue_launch(machine: &Machine, now: Instant) -> bool {
    let is_overdue = |attempt: &TaskAttempt| {
        matches!(attempt.last_push, PushDelivery::Unconfirmed(..))
            && attempt.last_status.is_none()
            && now - attempt.placed_at > UNCONFIRMED_LAUNCH_TIMEOUT
    };
    machine.attempts.iter().any(is_overdue)
}
