//! Updates a machine from a worker status: its state, session, reachability and preemption notice.

use super::StatusSource;
use crate::coordination::attempts::ledger::StatusEvidence;
use crate::coordination::autoscaler::MachineOffer;
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::Scheduler;
use crate::ids::{MachineId, Session};
use crate::protocol::workers::WorkerStatus;
use crate::time::{Instant, TimeSpan};

impl Scheduler {
    /// Adds the machine of a status if it is unknown. The status may be a delayed duplicate from a machine
    /// terminated long ago, so the machine stays unverified and gets no work until the cloud's machine list or the
    /// response to a scale-out request contains it.
    pub(super) fn add_unknown_machine(&mut self, now: Instant, status: &WorkerStatus) {
        if self.machines.contains_key(&status.machine_id) {
            return;
        }
        tracing::info!(machine = %status.machine_id, machine_type = %status.machine_type, "heartbeat of an unknown machine");
        let offer = MachineOffer {
            machine_type: status.machine_type.clone(),
            zone: status.zone.clone(),
            spot: status.spot,
        };
        self.add_machine(now, &status.machine_id, &offer, now, false);
    }

    /// Updates the machine from its status, and returns what the status proves about attempts; `None` if the
    /// status is not newer than all earlier ones.
    pub(super) fn update_session(
        &mut self,
        now: Instant,
        status: &WorkerStatus,
        source: StatusSource,
    ) -> Option<StatusEvidence> {
        let machine = self.machines.get(&status.machine_id)?;
        if (status.session, status.sequence_number) <= (machine.session, machine.sequence_number) {
            return None;
        }
        if machine.state == MachineState::Booting {
            self.machine_came_up(now, &status.machine_id);
        }
        let initial_token = self.leadership.initial_token();
        let lease_expiry_bound = self.policy.lease_expiry_bound();
        let machine = self.machines.get_mut(&status.machine_id)?;
        verify_reported_kind(machine, now, status);
        let evidence = StatusEvidence {
            message_id: (status.session, status.sequence_number),
            token: status.token,
            is_heartbeat: source == StatusSource::Heartbeat,
            starts_session: status.session > machine.session,
            is_confirmed: status.token >= initial_token,
        };
        if machine.endpoint != status.endpoint {
            machine.endpoint.clone_from(&status.endpoint);
        }
        self.check_for_lost_state(now, status, &evidence);
        let machine = self.machines.get_mut(&status.machine_id)?;
        machine
            .reachability
            .record_token(status.token, initial_token);
        machine.restarts.token_seen(status.token);
        if evidence.starts_session {
            start_session(machine, now, lease_expiry_bound);
        }
        machine.session = status.session;
        machine.sequence_number = status.sequence_number;
        machine.last_message_at = Some(now);
        self.update_reclaim_notice(now, status);
        if evidence.is_confirmed {
            self.confirm_machine(&status.machine_id);
        }
        Some(evidence)
    }

    /// Checks whether a worker reports a lower token than before: it was restarted without its tasks and token.
    fn check_for_lost_state(
        &mut self,
        now: Instant,
        status: &WorkerStatus,
        evidence: &StatusEvidence,
    ) {
        let machine = self.machines.get_mut(&status.machine_id);
        let restarted = machine.filter(|machine| {
            machine
                .reachability
                .has_acknowledged_more_than(status.token)
        });
        let Some(machine) = restarted else {
            return;
        };
        machine.reachability.worker_restarted(status.token);
        machine.restarts.state_lost(now);
        tracing::info!(machine = %status.machine_id, session = %status.session, "worker lost its state");
        // In a new session the worker refuses all commands that were sent before.
        if !evidence.starts_session {
            let token = self.leadership.token();
            self.revoke_commands_to(&status.machine_id, token);
        }
    }

    fn machine_came_up(&mut self, now: Instant, machine_id: &MachineId) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.state = MachineState::Up;
        machine.idle_since = Some(now);
        tracing::debug!(machine = %machine_id, boot_ms = (now - machine.first_known_at).0, "machine is up");
        let page = machine.page;
        self.placement.request_pass();
        self.machines.reindex(machine_id);
        if let Some(page) = page {
            self.writer.mark_machine_page_outdated(now, page);
        }
    }

    fn update_reclaim_notice(&mut self, now: Instant, status: &WorkerStatus) {
        let Some(machine) = self.machines.get_mut(&status.machine_id) else {
            return;
        };
        let reclaim_at = status
            .preemption_notice_s
            .map(|s| now + TimeSpan::from_secs(s));
        let is_new = machine.reclaim_at.is_none() && reclaim_at.is_some();
        machine.reclaim_at = reclaim_at;
        if is_new {
            tracing::debug!(machine = %status.machine_id, "spot preemption notice");
            self.placement.request_pass();
            self.work_queues
                .machines_to_review
                .insert(status.machine_id.clone());
        }
    }

    /// Marks a machine as confirmed: its status carries a token of this term, so it was written after the term started.
    fn confirm_machine(&mut self, machine_id: &MachineId) {
        let unconfirmed = self.machines.get_mut(machine_id).filter(|m| !m.confirmed);
        let Some(machine) = unconfirmed else {
            return;
        };
        machine.confirmed = true;
        machine.mark_reachable();
        self.placement.request_pass();
        self.machines.reindex(machine_id);
    }
}

/// Drains a machine whose status contradicts the type, zone or spot flag on record. Guards against launches on
/// machines that a job's constraints exclude.
fn verify_reported_kind(machine: &mut Machine, now: Instant, status: &WorkerStatus) {
    if machine.check_reported_kind(now, &status.machine_type, &status.zone, status.spot) {
        tracing::error!(
            machine = %machine.id,
            recorded_type = %machine.machine_type,
            recorded_zone = %machine.zone,
            recorded_spot = machine.spot,
            reported_type = %status.machine_type,
            reported_zone = %status.zone,
            reported_spot = status.spot,
            "machine contradicts its record, drained"
        );
    }
}

/// Records that the worker has started a new session, after the lease of the previous one expired.
fn start_session(machine: &mut Machine, now: Instant, lease_expiry_bound: TimeSpan) {
    let is_first = machine.session == Session(0);
    if !is_first && now - machine.last_response_at < lease_expiry_bound {
        machine.reachability.record_lease_expiry();
    }
    machine.session_first_seen_at = now;
}
