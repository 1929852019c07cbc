//! Simulated cloud: rents and boots machines, and lists them with a lag.

use super::worker::Worker;
use super::Simulation;
use chalklug::coordination::autoscaler::MachineOffer;
use chalklug::coordination::{Event, ScaleOutAnswer};
use chalklug::ids::*;
use chalklug::protocol::cloud::{CloudPhase, ListedMachine, MachineTypeInfo};
use chalklug::time::{Instant, TimeSpan};
use std::collections::BTreeMap;

/// The boot time of a machine that never comes up.
const NEVER_BOOTS: TimeSpan = TimeSpan(1_000_000_000);

/// State of the cloud except for its machines, which are in `Simulation::workers`.
pub(super) struct Cloud {
    pub machine_types: Vec<MachineTypeInfo>,
    /// Maximum number of machines at a time.
    max_machines: u32,
    /// Machines granted to each request, by idempotency key.
    granted_machines: BTreeMap<IdempotencyKey, Vec<MachineId>>,
    /// Number of machines rented since the start of the run.
    rented_count: u32,
    list_history: Vec<(Instant, Vec<ListedMachine>)>,
}

impl Cloud {
    pub(super) fn new(machine_types: Vec<MachineTypeInfo>, max_machines: u32) -> Cloud {
        Cloud {
            machine_types,
            max_machines,
            granted_machines: BTreeMap::new(),
            rented_count: 0,
            list_history: Vec::new(),
        }
    }

    /// Returns the latest machine list that is at least `lag` old, if there is one.
    fn lagging_list(&self, now: Instant, lag: TimeSpan) -> Option<Vec<ListedMachine>> {
        let mut latest_first = self.list_history.iter().rev();
        let (_, machines) = latest_first.find(|(taken, _)| now - *taken >= lag)?;
        Some(machines.clone())
    }

    fn next_machine_id(&mut self) -> MachineId {
        self.rented_count += 1;
        MachineId::from(format!("host-{:06}", self.rented_count).as_str())
    }
}

impl Simulation {
    /// Records the machine list, and delivers the lagging one to the leader unless the cloud is
    /// unavailable.
    pub(super) fn list_machines(&mut self) {
        let now = self.now;
        let workers = self.workers.values();
        let machines = workers.map(|worker| listed_machine(worker, now)).collect();
        self.cloud.list_history.push((now, machines));
        if now < self.faults.cloud_unavailable_until {
            return;
        }
        let lag = TimeSpan::from_secs(self.policy.facts.cloud.list_lag_s);
        let machines = self.cloud.lagging_list(now, lag);
        if let (Some(machines), Some(scheduler)) = (machines, self.leadership.scheduler.as_mut()) {
            let requested_at = now;
            scheduler.handle(
                now,
                Event::MachinesListed {
                    requested_at,
                    machines,
                },
            );
        }
    }

    /// Rents up to `count` machines; a repeated idempotency key returns those of its first request.
    pub(super) fn rent_machines(
        &mut self,
        idempotency_key: &IdempotencyKey,
        offer: &MachineOffer,
        count: u32,
    ) -> ScaleOutAnswer {
        if let Some(machine_ids) = self.cloud.granted_machines.get(idempotency_key) {
            return ScaleOutAnswer::Granted(machine_ids.clone());
        }
        let running = self.workers.len() as u32;
        let available = self.cloud.max_machines.saturating_sub(running).min(count);
        if available == 0 {
            return ScaleOutAnswer::NoCapacity;
        }
        let mut types = self.cloud.machine_types.iter();
        let Some(info) = types.find(|info| info.name == offer.machine_type).cloned() else {
            return ScaleOutAnswer::NoCapacity;
        };
        let machine_ids: Vec<MachineId> = (0..available)
            .map(|_| self.rent_machine(&info, &offer.zone, offer.spot))
            .collect();
        let key = idempotency_key.clone();
        self.cloud.granted_machines.insert(key, machine_ids.clone());
        ScaleOutAnswer::Granted(machine_ids)
    }

    fn rent_machine(&mut self, info: &MachineTypeInfo, zone: &Zone, spot: bool) -> MachineId {
        let id = self.cloud.next_machine_id();
        let boot_time = match self.cloud.rented_count <= self.faults.machines_never_booting {
            true => NEVER_BOOTS,
            false => TimeSpan::from_secs(info.boot_s),
        };
        let now = self.now;
        let up_at = now + boot_time;
        let worker = Worker::new(id.clone(), info.clone(), zone.clone(), spot, now, up_at);
        self.workers.insert(id.clone(), worker);
        id
    }
}

fn listed_machine(worker: &Worker, now: Instant) -> ListedMachine {
    ListedMachine {
        id: worker.id.clone(),
        endpoint: worker.endpoint(),
        machine_type: worker.machine_type.name.clone(),
        zone: worker.zone.clone(),
        spot: worker.spot,
        phase: match worker.up_at <= now {
            true => CloudPhase::Running,
            false => CloudPhase::Starting,
        },
        age_s: (now - worker.rented_at).secs(),
    }
}
