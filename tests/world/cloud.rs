//! The cloud: machines rented, and a list that lags.

use super::worker::Worker;
use super::World;
use chalklug::coordination::Event;
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
        idempotency_key: &str,
        machine_type: &MachineType,
        zone: &Zone,
        spot: bool,
        n: u32,
    ) -> Option<Vec<MachineId>> {
        if let Some(machine_ids) = self.hired.get(idempotency_key) {
            return Some(machine_ids.clone());
        }
        let free = self
            .capacity
            .saturating_sub(self.workers.len() as u32)
            .min(n);
        if free == 0 {
            return None;
        }
        let boot = self
            .machine_types
            .iter()
            .find(|r| r.name == *machine_type)?
            .boot_s;
        let machine_ids: Vec<MachineId> = (0..free)
            .map(|_| {
                self.rented += 1;
                let id = MachineId::from(format!("host-{:06}", self.rented).as_str());
                let never = self.rented <= self.boot_never;
                let wait = if never { 1e6 } else { boot };
                let up = self.now + TimeSpan::from_secs(wait);
                let w = Worker::new(
                    id.clone(),
                    machine_type.clone(),
                    zone.clone(),
                    spot,
                    self.now,
                    up,
                );
                self.workers.insert(id.clone(), w);
                id
            })
            .collect();
        self.hired
            .insert(idempotency_key.into(), machine_ids.clone());
        Some(machine_ids)
    }
}
