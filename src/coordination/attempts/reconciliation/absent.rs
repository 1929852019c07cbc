//! Handles attempts that a worker status does not list: removes those proven not to run, and finds dropped
//! launches.

use crate::coordination::attempts::ledger::{RemovalProof, StatusEvidence};
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, MachineId};
use crate::time::Instant;

impl Scheduler {
    /// Settles launches in flight from the status, and removes the attempts that the status proves not to
    /// run.
    pub(super) fn reconcile_absent(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        evidence: &StatusEvidence,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let mut is_unacknowledged = machine.reachability.awaits_acknowledgement(evidence.token);
        let mut removals = Vec::new();
        let mut repeatable_token = None;
        for attempt in machine.attempts.iter_mut() {
            let response_settled = attempt.settle_launches(evidence);
            if evidence.lists(attempt) || attempt.was_never_launched() {
                continue;
            }
            // The response that carried the launch was dropped, since no status lists the attempt.
            is_unacknowledged |= response_settled;
            if let Some(proof) = RemovalProof::from_status(attempt, evidence) {
                removals.push((attempt.key(), proof));
            }
            if RemovalProof::awaits_higher_token(attempt, evidence) {
                repeatable_token = repeatable_token.max(attempt.launch_token);
            }
        }
        if let Some(token) = repeatable_token {
            self.revoke_commands_to(machine_id, token);
        }
        if evidence.is_heartbeat && is_unacknowledged {
            self.record_unacknowledged_response(now, machine_id);
        }
        for (key, proof) in removals {
            if !self.reset_dropped_launch(machine_id, &key) {
                self.ledger().remove(now, machine_id, &key, proof);
            }
        }
    }

    fn record_unacknowledged_response(&mut self, now: Instant, machine_id: &MachineId) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if machine.reachability.record_unacknowledged_response(now) {
            tracing::info!(machine = %machine_id, "machine unreachable: heartbeats arrive, responses don't");
            self.work_queues.pushes_due.insert(machine_id.clone());
        }
    }

    /// Makes an attempt launchable again whose launch was dropped: it is proven absent while its worker's
    /// session continues, so nothing was started. Returns false if the attempt has to be removed instead.
    fn reset_dropped_launch(&mut self, machine_id: &MachineId, key: &AttemptKey) -> bool {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return false;
        };
        let session = machine.session;
        let dropped = machine.attempts.get_mut(key).filter(|attempt| {
            attempt.last_status.is_none()
                && !attempt.recovered
                && attempt.launch_session == Some(session)
        });
        let Some(attempt) = dropped else {
            return false;
        };
        attempt.launch_session = None;
        self.work_queues.pushes_due.insert(machine_id.clone());
        true
    }
}
