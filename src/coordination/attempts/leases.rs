//! Checks made once a second: leases that have expired, machines that are given up, and a review of a part of
//! all machines.

use crate::coordination::attempts::ledger::{PushDelivery, RemovalProof, TaskAttempt};
use crate::coordination::machines::machine::Machine;
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, MachineId};
use crate::time::{Instant, TimeSpan};

/// A launch whose push was never answered, and which no status has shown, keeps its place for this long
/// before the whole machine is given up.
const LOST_LAUNCH_TIMEOUT: TimeSpan = TimeSpan(45_000);
/// One machine in so many is reviewed each second, beyond those that something happened to.
const REVIEW_PARTS: u64 = 4;

impl Scheduler {
    /// Once a second.
    pub(crate) fn recheck_machines(&mut self, now: Instant) {
        self.remove_attempts_of_expired_leases(now);
        self.give_up_machines(now);
        self.review_a_part_of_machines();
    }

    fn remove_attempts_of_expired_leases(&mut self, now: Instant) {
        let lease_expiry_bound = self.policy.lease_expiry_bound();
        let started_at = self.leadership.started_at();
        let is_expired = |machine: &&Machine| {
            now - machine.last_response_at.max(started_at) > lease_expiry_bound
        };
        let occupied = self.machines.values().filter(|m| !m.attempts.is_empty());
        let expired: Vec<(MachineId, AttemptKey, RemovalProof)> = occupied
            .filter(is_expired)
            .flat_map(|machine| {
                machine.attempts.iter().filter_map(move |attempt| {
                    let proof = RemovalProof::lease_expired(
                        machine,
                        attempt,
                        started_at,
                        lease_expiry_bound,
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

    fn give_up_machines(&mut self, now: Instant) {
        let timeout = self.policy.heartbeat_timeout();
        let mut given_up = Vec::new();
        for machine in self.machines.values_mut() {
            if !machine.draining && has_lost_launch(machine, now) {
                tracing::info!(machine = %machine.id, reason = "lost launch", "machine given up");
                machine.start_draining(now);
                given_up.push(machine.id.clone());
            }
            // Guards against a machine whose heartbeats reach us but which nothing reaches: each of them
            // would renew the clock of its lease for us, though not for it, and a task that may be on it
            // would be held for ever. So it is answered no more.
            let unreachable_since = machine.reachability.unreachable_since();
            if !machine.lease_withheld && unreachable_since.is_some_and(|t| now - t > timeout) {
                tracing::info!(machine = %machine.id, reason = "unreachable", "machine given up, lease withheld");
                machine.lease_withheld = true;
                machine.start_draining(now);
                given_up.push(machine.id.clone());
            }
        }
        self.outbox.machines_to_review.extend(given_up);
    }

    /// Whatever may have been missed.
    fn review_a_part_of_machines(&mut self) {
        self.outbox.review_round += 1;
        let part = self.outbox.review_round % REVIEW_PARTS;
        let ids = self.machines.keys().enumerate();
        let ids = ids.filter(|(position, _)| *position as u64 % REVIEW_PARTS == part);
        let ids = ids.map(|(_, id)| id.clone());
        self.outbox.machines_to_review.extend(ids);
    }
}

/// Whether a launch on the machine has been unaccounted for for too long.
fn has_lost_launch(machine: &Machine, now: Instant) -> bool {
    let is_lost = |attempt: &TaskAttempt| {
        matches!(attempt.last_push, PushDelivery::Unconfirmed(..))
            && attempt.last_status.is_none()
            && now - attempt.placed_at > LOST_LAUNCH_TIMEOUT
    };
    machine.attempts.iter().any(is_lost)
}
