//! Reconciles the machine table with the cloud's machine list.
//!
//! The list lags, so it never proves that a machine is absent. A machine that is missing from it for too long is
//! terminated, and the cloud's confirmation of that is the proof.

use super::scale_in::DRAIN_TIMEOUT;
use super::MachineOffer;
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::Scheduler;
use crate::ids::MachineId;
use crate::protocol::cloud::{CloudPhase, ListedMachine};
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// A machine counts as lost when it has been missing from the list for this multiple of the list's lag.
const MISSING_LAG_FACTOR: f64 = 2.0;
/// Seconds added to that, for lists with little lag.
const MISSING_MARGIN_SECS: f64 = 2.0;

impl Scheduler {
    /// Inserts a machine into the machine table, unless it is there. `verified` means that its existence is
    /// known from more than a heartbeat.
    pub(crate) fn add_machine(
        &mut self,
        now: Instant,
        id: &MachineId,
        offer: &MachineOffer,
        rented_at: Instant,
        verified: bool,
    ) {
        if !self.machines.contains_key(id) {
            let mut machine = Machine::new(
                id.clone(),
                offer.machine_type.clone(),
                offer.zone.clone(),
                offer.spot,
                self.machines.capacity(&offer.machine_type),
                rented_at,
            );
            machine.last_response_at = self.leadership.started_at();
            machine.verified = false;
            machine.push_not_before = now;
            self.machines.insert(id.clone(), machine);
        }
        if verified {
            self.verify_machine(id);
        }
    }

    /// Marks a machine as known to exist: it is recorded in the state store, and tasks may be placed on it.
    pub(crate) fn verify_machine(&mut self, id: &MachineId) {
        let machine = self.machines.get_mut(id);
        if let Some(machine) = machine.filter(|machine| !machine.verified) {
            machine.verify(self.writer.assign_machine_page(id));
            self.placement.request_pass();
        }
    }

    /// Handles the cloud's complete machine list, which was requested at `requested_at`.
    pub(crate) fn machines_listed(
        &mut self,
        now: Instant,
        requested_at: Instant,
        listed_machines: Vec<ListedMachine>,
    ) {
        let listed_ids: BTreeSet<MachineId> = listed_machines
            .iter()
            .map(|machine| machine.id.clone())
            .collect();
        for listed in listed_machines {
            if !self.machines.terminated.contains(&listed.id) {
                self.upsert_listed_machine(now, requested_at, listed);
            }
        }
        self.drain_missing_machines(now, &listed_ids);
        self.placement.request_pass();
    }

    fn upsert_listed_machine(
        &mut self,
        now: Instant,
        requested_at: Instant,
        listed: ListedMachine,
    ) {
        if !self.machines.contains_key(&listed.id) {
            tracing::info!(
                machine = %listed.id,
                machine_type = %listed.machine_type,
                "unknown machine listed by the cloud"
            );
        }
        let rented_at = requested_at - TimeSpan::from_secs(listed.age_s);
        let offer = MachineOffer {
            machine_type: listed.machine_type,
            zone: listed.zone,
            spot: listed.spot,
        };
        self.add_machine(now, &listed.id, &offer, rented_at, true);
        let Some(machine) = self.machines.get_mut(&listed.id) else {
            return;
        };
        if machine.endpoint.is_empty() {
            machine.endpoint = listed.endpoint;
        }
        machine.mark_listed(listed.phase == CloudPhase::Failed);
    }

    /// Drains machines that have been missing from the list, and silent, for longer than the list may lag.
    fn drain_missing_machines(&mut self, now: Instant, listed_ids: &BTreeSet<MachineId>) {
        let list_lag_s = self.policy.facts.cloud.list_lag_s;
        let missing_timeout =
            TimeSpan::from_secs(list_lag_s * MISSING_LAG_FACTOR + MISSING_MARGIN_SECS);
        for machine in self.machines.values_mut() {
            if listed_ids.contains(&machine.id) || machine.state == MachineState::Terminating {
                continue;
            }
            let known_long =
                now - machine.first_known_at.max(self.leadership.started_at()) > missing_timeout;
            let missing_since = machine.mark_unlisted(now);
            let silent = machine
                .last_message_at
                .is_none_or(|at| now - at > missing_timeout);
            if known_long && silent && now - missing_since > missing_timeout {
                tracing::debug!(machine = %machine.id, "machine no longer listed by the cloud, and silent");
                machine.start_draining(now - DRAIN_TIMEOUT);
            }
        }
    }
}
