//! The machines that the cloud lists, squared with those that are known.
//!
//! The list lags, so it never proves a machine absent: one that was listed and no longer is, is asked
//! to be terminated, and the answer to that is the proof.

use super::scale_in::DRAIN_TIMEOUT;
use super::MachineOffer;
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::Scheduler;
use crate::ids::MachineId;
use crate::protocol::cloud::{CloudPhase, ListedMachine};
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// A machine missing from the list counts as lost after so many times the lag of the list.
const MISSING_LIST_LAGS: f64 = 2.0;
/// Seconds added to that, for lists that hardly lag.
const MISSING_MARGIN_SECS: f64 = 2.0;

impl Scheduler {
    /// Takes a machine into the machine table, unless it is there. `verified` if more than a heartbeat
    /// speaks for its existence.
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

    /// The machine exists: it is put on record, and may be given work.
    pub(crate) fn verify_machine(&mut self, id: &MachineId) {
        let machine = self.machines.get_mut(id);
        if let Some(machine) = machine.filter(|machine| !machine.verified) {
            machine.verify(self.writer.assign_machine_page(id));
            self.placement.request_pass();
        }
    }

    /// Takes in the cloud's whole list, as requested at that moment.
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
                self.take_in_listed_machine(now, requested_at, listed);
            }
        }
        self.drain_missing_machines(now, &listed_ids);
        self.placement.request_pass();
    }

    fn take_in_listed_machine(
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

    /// Drains machines that have been missing from the list, and silent, for longer than it lags.
    fn drain_missing_machines(&mut self, now: Instant, listed_ids: &BTreeSet<MachineId>) {
        let list_lag_s = self.policy.facts.cloud.list_lag_s;
        let lag = TimeSpan::from_secs(list_lag_s * MISSING_LIST_LAGS + MISSING_MARGIN_SECS);
        for machine in self.machines.values_mut() {
            if listed_ids.contains(&machine.id) || machine.state == MachineState::Terminating {
                continue;
            }
            let known_long = now - machine.first_known_at.max(self.leadership.started_at()) > lag;
            let missing_since = machine.mark_unlisted(now);
            let silent = machine.last_message_at.is_none_or(|at| now - at > lag);
            if known_long && silent && now - missing_since > lag {
                tracing::debug!(machine = %machine.id, "machine no longer listed by the cloud, and silent");
                machine.start_draining(now - DRAIN_TIMEOUT);
            }
        }
    }
}
