//! Jobs with every constraint on where tasks may run, under random faults, seeded: no task starts where it must
//! not.
//!
//! Guards against what only shows when several things come together: more work than room, so that tasks of a job
//! are still pending while others run; zones lost for longer than a lease; leaders that follow each other; and
//! launch intents on so many pages that obsolete ones stay on record.

use super::logging::init_logging;
use super::random_faults::seeds;
use super::scenario_language::{submit, Setup};
use super::simulation::{PartitionMode, Simulation};
use chalklug::ids::{MachineId, Zone};
use chalklug::time::TimeSpan;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Runs; `SEEDS` gives another number.
const RUNS: u64 = 64;
/// Rounds of jobs and a fault in a run.
const ROUNDS: u32 = 12;
/// Fewer machines than the jobs could use.
const MACHINES: u32 = 8;
/// Small pages, as many as a large cluster has.
const VALUE_KB: f64 = 0.5;
/// Every constraint that a job can have, alone and together.
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
        setup.facts.state.value_kb = VALUE_KB;
        Run {
            simulation: setup.simulation(),
            rng: StdRng::seed_from_u64(seed),
            submitted: 0,
        }
    }

    fn wait(&mut self, range_ms: std::ops::Range<i64>) {
        let span = TimeSpan(self.rng.random_range(range_ms));
        self.simulation.run_for(span);
    }

    fn submit(&mut self) {
        let id = format!("wk-{:06}", self.submitted);
        let tasks = self.rng.random_range(2..16).to_string();
        let run = self.rng.random_range(10..90).to_string();
        let mut words = vec![id.as_str(), "tasks", &tasks, "run", &run];
        words.extend(CONSTRAINTS[self.rng.random_range(0..CONSTRAINTS.len())]);
        submit(&mut self.simulation, &words);
        self.submitted += 1;
    }

    /// A zone is cut off, mostly for longer than a lease, while no machine can be rented or returned.
    fn cut_a_zone(&mut self) {
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

    fn reclaim_a_machine(&mut self) {
        let workers = &self.simulation.workers;
        let ids: Vec<MachineId> = workers.keys().cloned().collect();
        if !ids.is_empty() {
            let id = &ids[self.rng.random_range(0..ids.len())];
            self.simulation.workers.remove(id);
        }
    }

    fn change_leaders(&mut self) {
        self.simulation.crash_leader();
        self.wait(100..6_000);
        self.simulation.elect_leader();
    }

    fn round(&mut self) {
        for _ in 0..self.rng.random_range(1..4) {
            self.submit();
        }
        self.wait(2_000..15_000);
        match self.rng.random_range(0..4) {
            0 => self.reclaim_a_machine(),
            _ => self.cut_a_zone(),
        }
        self.wait(1_000..40_000);
        if self.rng.random_bool(0.7) {
            self.change_leaders();
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
            run.round();
        }
        let checker = &run.simulation.checker;
        let first = &checker.first_violation;
        assert!(checker.broken_rules.is_empty(), "seed {seed}: {first:?}");
    }
}
