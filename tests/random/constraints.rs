//! Jobs with every placement constraint, under seeded random faults: no task starts where its constraints forbid it.
//!
//! Guards against faults that need several conditions at once: too little capacity, so that some tasks of a job are
//! pending while others run; zones unreachable for longer than a lease; several failovers; and launch intents on so
//! many pages that obsolete intents remain recorded.

use super::logging::init_logging;
use super::random_faults::seeds;
use super::scenario_language::{submit, Setup};
use super::simulation::{PartitionMode, Simulation};
use chalklug::ids::{MachineId, Zone};
use chalklug::time::TimeSpan;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The number of runs, and so the last seed, unless `SEEDS` is set.
const RUNS: u64 = 64;
/// The number of rounds in a run, each with new jobs and a fault.
const ROUNDS: u32 = 12;
/// The limit on rented machines: fewer than the jobs could use.
const MACHINES: u32 = 8;
/// The state store's limit on a value's size. It is small, so that there are as many pages as in a large cluster.
const MAX_VALUE_KB: f64 = 0.5;
/// The placement constraints of a job, alone and combined.
const CONSTRAINTS: [&[&str]; 9] = [
    &["affinity"],
    &["affinity", "spot"],
    &["affinity", "machine-types", "box"],
    &["shape", "gang", "affinity"],
    &["anti-affinity"],
    &["anti-affinity", "spot", "checkpoint", "5"],
    &["zone", "b"],
    &["zone", "a", "machine-types", "box,far"],
    &["machine-types", "far", "spot"],
];

struct Run {
    simulation: Simulation,
    rng: StdRng,
    submitted: u32,
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut setup = Setup::from_lines(&[
            "team blue guaranteed-gpus 16 max-gpus 60",
            "machine-type box gpus 4 boot 5 zones a,b",
            "machine-type far gpus 8 boot 7 price 25 zones a,b,c",
        ]);
        (setup.max_machines, setup.seed) = (MACHINES, seed);
        setup.facts.state.value_kb = MAX_VALUE_KB;
        Run {
            simulation: setup.simulation(),
            rng: StdRng::seed_from_u64(seed),
            submitted: 0,
        }
    }

    /// Runs the simulation for a random time in the range, in milliseconds.
    fn wait(&mut self, range_ms: std::ops::Range<i64>) {
        let span = TimeSpan(self.rng.random_range(range_ms));
        self.simulation.run_for(span);
    }

    /// Submits the next job, with random constraints.
    fn submit(&mut self) {
        let id = format!("wk-{:06}", self.submitted);
        let tasks = self.rng.random_range(2..16).to_string();
        let run = self.rng.random_range(10..90).to_string();
        let mut words = vec![id.as_str(), "tasks", &tasks, "run", &run];
        words.extend(CONSTRAINTS[self.rng.random_range(0..CONSTRAINTS.len())]);
        submit(&mut self.simulation, &words);
        self.submitted += 1;
    }

    /// Partitions the workers of a random zone, mostly for longer than a lease, while the cloud is unavailable.
    fn partition_zone(&mut self) {
        let zone = Zone::from(["a", "b", "c"][self.rng.random_range(0..3)]);
        let now = self.simulation.now;
        let end = now + TimeSpan(self.rng.random_range(10_000..60_000));
        let mode = match self.rng.random_bool(0.5) {
            true => PartitionMode::Delay,
            false => PartitionMode::Drop,
        };
        self.simulation.faults.cloud_unavailable_until = end;
        for worker in self.simulation.workers.values_mut() {
            if worker.zone == zone {
                worker.faults.partition_until(end, mode);
            }
        }
    }

    /// Reclaims a random machine without notice.
    fn reclaim_machine(&mut self) {
        let workers = &self.simulation.workers;
        let ids: Vec<MachineId> = workers.keys().cloned().collect();
        if !ids.is_empty() {
            let id = &ids[self.rng.random_range(0..ids.len())];
            self.simulation.workers.remove(id);
        }
    }

    /// Crashes the leader and elects another one a random time later.
    fn fail_over(&mut self) {
        self.simulation.crash_leader();
        self.wait(100..6_000);
        self.simulation.elect_leader();
    }

    fn run_round(&mut self) {
        for _ in 0..self.rng.random_range(1..4) {
            self.submit();
        }
        self.wait(2_000..15_000);
        match self.rng.random_range(0..4) {
            0 => self.reclaim_machine(),
            _ => self.partition_zone(),
        }
        self.wait(1_000..40_000);
        if self.rng.random_bool(0.7) {
            self.fail_over();
        }
    }
}

#[test]
fn jobs_with_constraints_start_only_where_they_may() {
    init_logging();
    for seed in seeds(RUNS) {
        let mut run = Run::new(seed);
        run.simulation.elect_leader();
        for _ in 0..ROUNDS {
            run.run_round();
        }
        let checker = &run.simulation.checker;
        let first = &checker.first_violation;
        assert!(checker.broken_rules.is_empty(), "seed {seed}: {first:?}");
    }
}
