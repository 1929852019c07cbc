//! A deterministic simulation around the decision core: virtual time, a network, workers, a cloud,
//! the state store and the election of leaders. The same seed gives the same run.
//!
//! The checker applies the protocol's rules to what the simulated parts see; it knows nothing of the
//! scheduler's own tables.

mod attempt;
pub mod checker;
mod cloud;
mod effects;
mod faults;
mod gang;
mod leadership;
mod network;
pub mod random_faults;
pub mod state_store;
mod users;
pub mod worker;
mod workload;

use super::wire_digest::WireDigest;
use chalklug::coordination::{Policy, Scheduler};
use chalklug::ids::{JobId, MachineId};
use chalklug::protocol::cloud::MachineTypeInfo;
use chalklug::time::{Instant, TimeSpan};
use checker::Checker;
use cloud::Cloud;
use faults::Faults;
use leadership::Leadership;
use network::Network;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state_store::StateStore;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use worker::Worker;
use workload::Workload;

pub use network::PartitionMode;
pub use workload::TaskBehavior;

/// Virtual time advances in ticks of this length.
const TICK: TimeSpan = TimeSpan(100);
/// How often the leader lists the cloud's machines.
const MACHINE_LIST_INTERVAL: TimeSpan = TimeSpan(3_000);

/// All simulated parts, and the leader's scheduler among them.
pub struct Simulation {
    /// Virtual time.
    pub now: Instant,
    pub policy: Arc<Policy>,
    pub store: StateStore,
    /// Machines in the cloud, also those that still boot.
    pub workers: BTreeMap<MachineId, Worker>,
    pub workload: Workload,
    pub checker: Checker,
    /// Faults of the network, the state store and the cloud; each worker has its own besides.
    pub faults: Faults,
    /// Of all that the leaders send.
    pub digest: WireDigest,
    cloud: Cloud,
    network: Network,
    leadership: Leadership,
    rng: StdRng,
}

impl Simulation {
    /// Nobody leads yet, there are no jobs, and the cloud lets at most `capacity` machines run.
    pub fn new(
        policy: Policy,
        machine_types: Vec<MachineTypeInfo>,
        capacity: u32,
        seed: u64,
    ) -> Simulation {
        Simulation {
            now: Instant(0),
            checker: Checker::new(policy.facts.clone(), machine_types.clone()),
            leadership: Leadership::new(&policy),
            policy: Arc::new(policy),
            store: StateStore::default(),
            workers: BTreeMap::new(),
            workload: Workload::default(),
            faults: Faults::default(),
            digest: WireDigest::new(),
            cloud: Cloud::new(machine_types, capacity),
            network: Network::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Advances virtual time, tick by tick.
    pub fn run_until(&mut self, end: Instant) {
        while self.now < end {
            self.now += TICK;
            self.tick();
        }
    }

    /// Advances virtual time by so much.
    pub fn run_for(&mut self, span: TimeSpan) {
        self.run_until(self.now + span);
    }

    fn tick(&mut self) {
        if self.leadership.elections_enabled {
            self.renew_lease_or_elect();
        }
        self.advance_workers();
        for message in self.network.take_due(self.now) {
            self.deliver(message);
        }
        self.deliver_job_changes();
        if self.now.0 % MACHINE_LIST_INTERVAL.0 == 0 {
            self.list_machines();
        }
        self.step_leader();
        self.check();
    }

    fn step_leader(&mut self) {
        let now = self.now;
        let scheduler = self.leadership.scheduler.as_mut();
        let effects = scheduler.map_or(Vec::new(), |scheduler| scheduler.step(now));
        self.digest.add_effects(now, &effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn check(&mut self) {
        let now = self.now;
        if self.any_fault_active() {
            self.checker.fault_active(now);
        }
        let scheduler = self.leadership.scheduler.as_ref();
        if let Some(Err(reason)) = scheduler.map(Scheduler::audit) {
            panic!("{:.1} s: audit failed: {reason}", now.secs());
        }
        self.checker.observe(now, &self.workers, &self.store);
    }

    fn any_fault_active(&self) -> bool {
        let now = self.now;
        self.faults.any_active(now)
            || self.leadership.scheduler.is_none()
            || self
                .workers
                .values()
                .any(|worker| worker.faults.any_active(now))
    }

    fn advance_workers(&mut self) {
        let now = self.now;
        let times = &self.policy.facts.workers;
        let mut heartbeats = Vec::new();
        for worker in self.workers.values_mut() {
            worker.advance(now, &mut self.workload, times);
            heartbeats.extend(worker.heartbeat_due(now, times, &mut self.rng));
        }
        gang::advance(now, &mut self.workers, &self.workload, times);
        for status in heartbeats {
            self.send_heartbeat(status);
        }
    }

    /// Machines that tasks of the job are on.
    pub fn machines_of(&self, id: &JobId) -> BTreeSet<MachineId> {
        let workers = self.workers.values();
        workers
            .filter(|worker| worker.tasks_on_machine().any(|(task, _)| task.job == *id))
            .map(|worker| worker.id.clone())
            .collect()
    }

    /// How late a duplicate comes: from a second to three worker leases.
    fn duplicate_delay(&mut self) -> TimeSpan {
        let lease = TimeSpan::from_secs(self.policy.facts.workers.lease_s);
        TimeSpan(self.rng.random_range(1_000..lease.0 * 3))
    }
}
