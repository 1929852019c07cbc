//! Seeded random faults: no rule is broken, and every job that no user cancelled is done.

use super::logging::init_logging;
use super::scenario_language::{submit, Setup};
use super::simulation::random_faults::start_random_fault;
use super::simulation::{PartitionMode, Simulation};
use chalklug::ids::{JobId, MachineId};
use chalklug::protocol::users::{JobPhase, Shape};
use chalklug::time::{Instant, TimeSpan};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The number of runs with pairs of faults, and with single faults, unless `SEEDS` is set.
const PAIR_RUNS: u64 = 16;
const SINGLE_RUNS: u64 = 12;
/// The number of batches of jobs in a run with pairs of faults.
const BATCHES: u32 = 10;
/// The number of runs with late launches, unless `SEEDS` is set, and the number of jobs in each.
const LATE_LAUNCH_RUNS: u64 = 12;
const LATE_LAUNCH_JOBS: u32 = 30;
/// The number of jobs in a run with single faults.
const JOBS: u32 = 24;
/// The time after the last fault within which all jobs must end.
const DRAIN_TIME_AFTER_PAIRS: TimeSpan = TimeSpan(500_000);
const DRAIN_TIME_AFTER_SINGLES: TimeSpan = TimeSpan(400_000);

/// Returns the seeds to run: from `FIRST`, or 1 if it is not set, to `SEEDS`, or `last` if it is not set.
pub fn seeds(last: u64) -> std::ops::RangeInclusive<u64> {
    let variable = |name: &str| std::env::var(name).ok().and_then(|n| n.parse().ok());
    variable("FIRST").unwrap_or(1)..=variable("SEEDS").unwrap_or(last)
}

/// The state of one run.
struct Run {
    simulation: Simulation,
    /// Draws the jobs, the faults and the times between them.
    rng: StdRng,
    seed: u64,
    submitted: u32,
    /// The jobs that users cancelled.
    cancelled: Vec<JobId>,
}

impl Run {
    fn new(seed: u64, elections: bool) -> Run {
        let mut setup = Setup::from_lines(&[
            "team blue guaranteed-gpus 8 max-gpus 24",
            "team red guaranteed-gpus 8 max-gpus 20",
            "machine-type box gpus 4 boot 6 zones a,b,c",
        ]);
        (setup.max_machines, setup.seed, setup.elections) = (14, seed, elections);
        Run {
            simulation: setup.simulation(),
            rng: StdRng::seed_from_u64(seed),
            seed,
            submitted: 0,
            cancelled: Vec::new(),
        }
    }

    /// Sets the share of heartbeats and pushes that arrive a second time.
    fn duplicate_messages(&mut self, share: f64) {
        self.simulation.faults.duplicate_heartbeat_share = share;
        self.simulation.faults.duplicate_push_share = share;
    }

    /// Runs the simulation for a random time in the range, in milliseconds.
    fn wait(&mut self, range_ms: std::ops::Range<i64>) {
        let span = TimeSpan(self.rng.random_range(range_ms));
        self.simulation.run_for(span);
    }

    /// Submits the next job, with a random one of the option sets.
    fn submit(&mut self, tasks: u32, run_secs: u32, option_sets: &[&[&str]]) {
        let id = format!("wk-{:06}", self.submitted);
        let team = ["blue", "red"][self.submitted as usize % 2];
        let (tasks, run) = (tasks.to_string(), run_secs.to_string());
        let mut words = vec![id.as_str(), "team", team, "tasks", &tasks, "run", &run];
        words.extend(option_sets[self.rng.random_range(0..option_sets.len())]);
        submit(&mut self.simulation, &words);
        self.submitted += 1;
    }

    fn cancel(&mut self, number: u32) {
        let id = JobId::from(format!("wk-{number:06}").as_str());
        if self.simulation.cancel(&id) {
            self.cancelled.push(id);
        }
    }

    /// Asserts that no rule is broken and that every job that no user cancelled is done.
    fn check(&mut self) {
        let seed = self.seed;
        let checker = &mut self.simulation.checker;
        checker.check_at_end(self.simulation.now);
        let first = &checker.first_violation;
        assert!(checker.broken_rules.is_empty(), "seed {seed}: {first:?}");
        let ids = self.simulation.workload.specs.keys();
        for id in ids.filter(|id| !self.cancelled.contains(id)) {
            let phase = self.simulation.phase(id);
            assert_eq!(phase, Some(JobPhase::Done), "seed {seed}: {id}");
        }
    }

    /// Submits a few jobs, then starts two faults within seconds of each other, each perhaps followed by a
    /// cancellation.
    fn batch_with_two_faults(&mut self) {
        for _ in 0..self.rng.random_range(1..4) {
            let tasks = self.rng.random_range(1..6);
            let run_secs = self.rng.random_range(3..40);
            let option_sets: [&[&str]; 5] = [
                &["shape", "gang", "affinity"],
                &["anti-affinity", "checkpoint", "4"],
                &["zone", "b"],
                &["affinity"],
                &["spot", "checkpoint", "5"],
            ];
            self.submit(tasks, run_secs, &option_sets);
        }
        self.wait(2_000..9_000);
        for _ in 0..2 {
            start_random_fault(&mut self.simulation, &mut self.rng);
            self.wait(100..4_000);
            if self.rng.random_bool(0.4) {
                let number = self.rng.random_range(0..self.submitted);
                self.cancel(number);
            }
        }
        self.wait(500..30_000);
        self.simulation.faults.late_transaction_share = 0.0;
    }

    /// Submits a job, draws a fault, and perhaps cancels the job and forces a failover.
    fn job_with_one_fault(&mut self) {
        let number = self.submitted;
        let tasks = self.rng.random_range(1..8);
        let run_secs = self.rng.random_range(3..25);
        let option_sets: [&[&str]; 4] = [
            &["shape", "gang", "affinity"],
            &["anti-affinity", "checkpoint", "4"],
            &["spot", "checkpoint", "5"],
            &["affinity"],
        ];
        self.submit(tasks, run_secs, &option_sets);
        self.start_single_fault();
        if self.rng.random_bool(0.15) {
            self.cancel(number);
        }
        self.wait(500..9_000);
        if self.rng.random_bool(0.25) {
            self.simulation.crash_leader();
            self.wait(100..6_000);
            self.simulation.elect_leader();
        }
    }

    /// Sets the share of pushes that arrive up to twice `cancel_s` late, submits a job, and perhaps cancels it before its
    /// push times out. Now and then starts another fault.
    fn job_with_late_launches(&mut self) {
        let longest_ms = TimeSpan::from_secs(2.0 * self.simulation.policy.facts.workers.cancel_s).0;
        let delay = TimeSpan(self.rng.random_range(1_000..longest_ms));
        self.simulation.faults.late_push_share = 0.7;
        self.simulation.faults.late_push_delay = delay;
        let number = self.submitted;
        let tasks = self.rng.random_range(1..5);
        let run_secs = self.rng.random_range(10..60);
        self.submit(
            tasks,
            run_secs,
            &[&[], &["checkpoint", "4"], &["shape", "service"]],
        );
        self.wait(100..2_500);
        if self.rng.random_bool(0.6) {
            self.cancel(number);
        }
        if self.rng.random_bool(0.2) {
            start_random_fault(&mut self.simulation, &mut self.rng);
        }
        self.wait(500..12_000);
        self.simulation.faults.late_transaction_share = 0.0;
    }

    /// Cancels the services, which don't end by themselves.
    fn cancel_services(&mut self) {
        for number in 0..self.submitted {
            let id = JobId::from(format!("wk-{number:06}").as_str());
            if self.simulation.workload.spec(&id).shape == Shape::Service {
                self.cancel(number);
            }
        }
    }

    /// Returns a random machine, or None if there is none.
    fn random_machine(&mut self) -> Option<MachineId> {
        let mut ids: Vec<&MachineId> = self.simulation.workers.keys().collect();
        if ids.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..ids.len());
        Some(ids.swap_remove(index).clone())
    }

    /// Starts a random fault of a machine or of a service; some draws end the loss of heartbeats.
    fn start_single_fault(&mut self) {
        let machine_id = self.random_machine();
        let now = self.simulation.now;
        let end = now + TimeSpan(self.rng.random_range(2_000..30_000));
        let kind = self.rng.random_range(0..12);
        match machine_id {
            Some(id) if matches!(kind, 0..=3 | 10 | 11) => self.start_machine_fault(&id, kind, end),
            _ => self.start_service_fault(kind, end),
        }
    }

    fn start_machine_fault(&mut self, machine_id: &MachineId, kind: u32, end: Instant) {
        let workers = &mut self.simulation.workers;
        if kind == 3 {
            workers.remove(machine_id);
            return;
        }
        let faults = &mut workers
            .get_mut(machine_id)
            .expect("the machine exists")
            .faults;
        match kind {
            0 => faults.suspend_until(end),
            1 => faults.partition_until(end, PartitionMode::Delay),
            2 => faults.partition_until(end, PartitionMode::Drop),
            10 => faults.inbound_unreachable_until(end),
            _ => faults.inbound_unreachable_until(end + TimeSpan(60_000)),
        }
    }

    fn start_service_fault(&mut self, kind: u32, end: Instant) {
        let now = self.simulation.now;
        let faults = &mut self.simulation.faults;
        match kind {
            4 => faults.store_responses_lost_until = now + TimeSpan(2_000),
            5 => faults.transactions_late_until = now + TimeSpan(4_000),
            6 => faults.cloud_unavailable_until = end,
            7 => faults.lost_heartbeat_share = 0.2,
            8 => faults.store_unavailable_until = now + TimeSpan(4_000),
            _ => faults.lost_heartbeat_share = 0.0,
        }
    }
}

/// Random pairs of faults in quick succession, with elections and failovers by lease expiry: no rule is broken and
/// every job ends.
#[test]
fn random_pairs_of_faults_break_no_rule() {
    init_logging();
    for seed in seeds(PAIR_RUNS) {
        let mut run = Run::new(seed, true);
        if seed % 3 == 0 {
            run.duplicate_messages(0.3);
        }
        run.simulation.elect_leader();
        for _ in 0..BATCHES {
            run.batch_with_two_faults();
        }
        run.duplicate_messages(0.0);
        run.simulation.run_for(DRAIN_TIME_AFTER_PAIRS);
        run.check();
    }
}

/// A long run with a random fault after each job and with forced failovers: no rule is broken and every job ends.
#[test]
fn random_faults_break_no_rule() {
    init_logging();
    for seed in seeds(SINGLE_RUNS) {
        let mut run = Run::new(seed, false);
        run.simulation.elect_leader();
        if seed % 2 == 1 {
            run.duplicate_messages(0.4);
        }
        for _ in 0..JOBS {
            run.job_with_one_fault();
        }
        run.simulation.faults.lost_heartbeat_share = 0.0;
        run.simulation.run_for(DRAIN_TIME_AFTER_SINGLES);
        run.check();
    }
}

/// Guards against late launches of cancelled jobs: pushes arrive alone up to twice `cancel_s` late, under random faults.
#[test]
fn random_late_launches_break_no_rule() {
    init_logging();
    for seed in seeds(LATE_LAUNCH_RUNS) {
        let mut run = Run::new(seed, true);
        run.simulation.elect_leader();
        for _ in 0..LATE_LAUNCH_JOBS {
            run.job_with_late_launches();
        }
        run.simulation.faults.late_push_share = 0.0;
        run.simulation.run_for(DRAIN_TIME_AFTER_SINGLES);
        run.cancel_services();
        run.simulation.run_for(DRAIN_TIME_AFTER_SINGLES);
        run.check();
    }
}
