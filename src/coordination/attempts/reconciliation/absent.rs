//! Attempts that a worker's status does not list: which of them are proven gone, and which launches were lost.

use crate::coordination::attempts::ledger::{RemovalProof, StatusEvidence};
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, MachineId};
use crate::time::Instant;

impl Scheduler {
    /// Settles the launches that the status shows to be over, and removes the attempts that it proves gone.
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
        let mut proven_gone = Vec::new();
        for attempt in machine.attempts.iter_mut() {
            let response_settled = attempt.settle_launches(evidence);
            if evidence.lists(attempt) || attempt.was_never_launched() {
                continue;
            }
            // The response that carried the launch was dropped: the launch shows nowhere.
            is_unacknowledged |= response_settled;
            if let Some(proof) = RemovalProof::from_status(attempt, evidence) {
                proven_gone.push((attempt.key(), proof));
            }
        }
        if evidence.is_heartbeat && is_unacknowledged {
            self.note_unacknowledged_response(now, machine_id);
        }
        for (key, proof) in proven_gone {
            if !self.plan_launch_again(machine_id, &key) {
                self.ledger().remove(now, machine_id, &key, proof);
            }
        }
    }

    fn note_unacknowledged_response(&mut self, now: Instant, machine_id: &MachineId) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if machine.reachability.record_unacknowledged_response(now) {
            tracing::info!(machine = %machine_id, "machine unreachable: heartbeats arrive, responses don't");
            self.outbox.pushes_due.insert(machine_id.clone());
        }
    }

    /// An attempt that is proven to be nowhere, though its worker's session goes on: its launch was dropped and
    /// nothing was started, so it may simply be launched again. False if it is to be removed.
    fn plan_launch_again(&mut self, machine_id: &MachineId, key: &AttemptKey) -> bool {
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
        self.outbox.pushes_due.insert(machine_id.clone());
        true
    }
}
