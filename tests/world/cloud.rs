//! The cloud: machines rented, and a list that lags.

use super::worker::Worker;
use super::World;
use chalklug::coordination::autoscaler::MachineOffer;
use chalklug::coordination::{Event, ScaleOutAnswer};
use chalklug::ids::*;
use chalklug::protocol::cloud::{CloudPhase, ListedMachine};
use chalklug::time::TimeSpan;

impl World {
    pub(super) fn list_machines(&mut self) {
        let now = self.now;
        let machine_ids = self
            .workers
            .values()
            .map(|w| ListedMachine {
                id: w.id.clone(),
                endpoint: w.endpoint(),
                machine_type: w.machine_type.clone(),
                zone: w.zone.clone(),
                spot: w.spot,
                phase: if w.up_at <= now {
                    CloudPhase::Running
                } else {
                    CloudPhase::Starting
                },
                age_s: (now - w.rented_at).secs(),
            })
            .collect();
        self.list_history.push((now, machine_ids));
        if now < self.cloud_down {
            return;
        }
        let lag = TimeSpan::from_secs(self.policy.facts.cloud.list_lag_s);
        let old = self
            .list_history
            .iter()
            .rev()
            .find(|(t, _)| now - *t >= lag)
            .cloned();
        if let (Some((_, machines)), Some(core)) = (old, self.core.as_mut()) {
            core.on(
                now,
                Event::MachinesListed {
                    asked: now,
                    machines,
                },
            );
        }
    }

    pub(super) fn rent(
        &mut self,
        idempotency_key: &IdempotencyKey,
        offer: &MachineOffer,
        n: u32,
    ) -> ScaleOutAnswer {
        if let Some(machine_ids) = self.hired.get(idempotency_key) {
            return ScaleOutAnswer::Granted(machine_ids.clone());
        }
        let free = self
            .capacity
            .saturating_sub(self.workers.len() as u32)
            .min(n);
        if free == 0 {
            return ScaleOutAnswer::NoCapacity;
        }
        let mut types = self.machine_types.iter();
        let Some(machine_type) = types.find(|t| t.name == offer.machine_type) else {
            return ScaleOutAnswer::NoCapacity;
        };
        let boot = machine_type.boot_s;
        let machine_ids: Vec<MachineId> = (0..free)
            .map(|_| {
                self.rented += 1;
                let id = MachineId::from(format!("host-{:06}", self.rented).as_str());
                let never = self.rented <= self.boot_never;
                let wait = if never { 1e6 } else { boot };
                let up = self.now + TimeSpan::from_secs(wait);
                let w = Worker::new(
                    id.clone(),
                    offer.machine_type.clone(),
                    offer.zone.clone(),
                    offer.spot,
                    self.now,
                    up,
                );
                self.workers.insert(id.clone(), w);
                id
            })
            .collect();
        self.hired
            .insert(idempotency_key.clone(), machine_ids.clone());
        ScaleOutAnswer::Granted(machine_ids)
    }
}
