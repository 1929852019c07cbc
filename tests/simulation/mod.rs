//! Deterministic simulation of a cluster around the scheduler: virtual time, network, workers, cloud,
//! state store and leader election. Runs with the same seed are identical.
//!
//! The checker verifies the protocol's rules on the state of the simulated components. It doesn't read
//! the scheduler's own tables.

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

/// All simulated components, including the leader's scheduler.
pub struct Simulation {
    /// Virtual time.
    pub now: Instant,
    pub policy: Arc<Policy>,
    pub store: StateStore,
    /// All machines in the cloud, including those that are still booting.
    pub workers: BTreeMap<MachineId, Worker>,
    pub workload: Workload,
    pub checker: Checker,
    /// Faults of the network, the state store and the cloud; `Worker::faults` has those of a machine.
    pub faults: Faults,
    /// Digest of all messages that leaders send.
    pub digest: WireDigest,
    cloud: Cloud,
    network: Network,
    leadership: Leadership,
    rng: StdRng,
}

impl Simulation {
    /// Creates a simulation without a leader and without jobs, whose cloud runs at most `capacity`
    /// machines.
    pub fn new(
        policy: Policy,
        machine_types: Vec<MachineTypeInfo>,
        max_machines: u32,
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
            cloud: Cloud::new(machine_types, max_machines),
            network: Network::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Advances virtual time to `end`, tick by tick.
    pub fn run_until(&mut self, end: Instant) {
        while self.now < end {
            self.now += TICK;
            self.tick();
        }
    }

    /// Advances virtual time by `span`.
    pub fn run_for(&mut self, span: TimeSpan) {
        self.run_until(self.now + span);
    }

    fn tick(&mut self) {
        if self.leadership.elections_enabled {
            self.renew_lease_or_elect();
        }
        self.advance_workers();
        self.checker.record_completed_tasks(&self.workers);
        for message in self.network.take_due(self.now) {
            self.deliver(message);
        }
        self.deliver_job_changes();
        if self.now.0 % MACHINE_LIST_INTERVAL.0 == 0 {
            self.list_machines();
        }
        self.step_leader();
        self.check_rules();
    }

    fn step_leader(&mut self) {
        let now = self.now;
        let scheduler = self.leadership.scheduler.as_mut();
        let effects = scheduler.map_or(Vec::new(), |scheduler| scheduler.step(now));
        self.digest.add_effects(now, &effects);
        for effect in effects {
            self.execute_effect(effect);
        }
    }

    fn check_rules(&mut self) {
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

    /// Returns the machines that run tasks of the job.
    pub fn machines_of(&self, id: &JobId) -> BTreeSet<MachineId> {
        let workers = self.workers.values();
        workers
            .filter(|worker| worker.tasks_on_machine().any(|(task, _)| task.job == *id))
            .map(|worker| worker.id.clone())
            .collect()
    }

    /// Returns a random delay for a duplicate message: from 1 s to three worker leases.
    fn duplicate_delay(&mut self) -> TimeSpan {
        let lease = TimeSpan::from_secs(self.policy.facts.workers.lease_s);
        TimeSpan(self.rng.random_range(1_000..lease.0 * 3))
    }
}
