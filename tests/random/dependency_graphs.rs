//! Random dependency graphs of jobs under random faults and failovers: no rule is broken, every job downstream of a
//! cancelled job is cancelled, and every other job that no user cancelled is done.

use super::scenario_language::{submit, Setup};
use super::simulation::random_faults::start_random_fault;
use super::simulation::Simulation;
use chalklug::ids::JobId;
use chalklug::protocol::users::JobPhase;
use chalklug::time::TimeSpan;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// The number of runs, each with its own seed, unless `SEEDS` is set.
const RUNS: u64 = 14;
/// The number of batches of jobs in a run.
const BATCHES: u32 = 8;
/// The time after the last fault within which all jobs must end.
const DRAIN_TIME: TimeSpan = TimeSpan(500_000);

/// The state of one run.
struct Run {
    simulation: Simulation,
    rng: StdRng,
    /// The submitted jobs with their upstream jobs.
    upstream: BTreeMap<JobId, Vec<JobId>>,
    /// The jobs that users cancelled.
    cancelled: BTreeSet<JobId>,
}

fn job_id(n: u32) -> JobId {
    JobId::from(format!("wk-{n:06}").as_str())
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut setup = Setup::from_lines(&[
            "team blue guaranteed-gpus 8 max-gpus 24",
            "team red guaranteed-gpus 8 max-gpus 20",
            "machine-type box gpus 4 boot 6 zones a,b,c",
        ]);
        (setup.max_machines, setup.seed, setup.elections) = (14, seed, true);
        let mut simulation = setup.simulation();
        simulation.elect_leader();
        Run {
            simulation,
            rng: StdRng::seed_from_u64(seed),
            upstream: BTreeMap::new(),
            cancelled: BTreeSet::new(),
        }
    }

    /// Submits a job that depends on random earlier jobs, mostly on recent ones, so that the graph contains chains,
    /// forks and joins. Some of the upstream jobs ended long before or were cancelled.
    fn submit(&mut self) {
        let n = self.upstream.len() as u32;
        let mut upstream = BTreeSet::new();
        if n > 0 && self.rng.random_bool(0.75) {
            for _ in 0..self.rng.random_range(1..4) {
                let max_distance = if self.rng.random_bool(0.8) { 4 } else { n };
                upstream.insert(job_id(n - self.rng.random_range(1..=max_distance.min(n))));
            }
        }
        let name = format!("wk-{n:06}");
        let tasks = self.rng.random_range(1..5).to_string();
        let run = self.rng.random_range(2..20).to_string();
        let team = ["blue", "red"][self.rng.random_range(0..2)];
        let priority = ["low", "normal", "urgent"][self.rng.random_range(0..3)];
        let mut words = vec![name.as_str(), "team", team, "priority", priority];
        words.extend(["tasks", &tasks, "run", &run]);
        words.extend(match self.rng.random_range(0..4) {
            0 => vec!["shape", "gang", "affinity"],
            1 => vec!["spot", "checkpoint", "4"],
            2 => vec!["gpus", "0"],
            _ => vec![],
        });
        let upstream: Vec<JobId> = upstream.into_iter().collect();
        let names: Vec<&str> = upstream.iter().map(JobId::as_str).collect();
        let names = names.join(",");
        if !upstream.is_empty() {
            words.extend(["upstream", &names]);
        }
        submit(&mut self.simulation, &words);
        self.upstream.insert(job_id(n), upstream);
    }

    /// Cancels one of the last eight jobs.
    fn cancel_recent_job(&mut self) {
        let n = self.upstream.len() as u32;
        let job = job_id(self.rng.random_range(n.saturating_sub(8)..n));
        if self.simulation.cancel(&job) {
            self.cancelled.insert(job);
        }
    }

    /// Runs the simulation for a random time, in milliseconds.
    fn wait(&mut self, from_ms: i64, to_ms: i64) {
        let span_ms = self.rng.random_range(from_ms..to_ms);
        self.simulation.run_for(TimeSpan(span_ms));
    }

    /// Submits all batches of jobs, with random faults and cancellations after each, and waits for the jobs to end.
    fn run_batches(&mut self) {
        for _ in 0..BATCHES {
            for _ in 0..self.rng.random_range(2..7) {
                self.submit();
                self.wait(100, 1_500);
            }
            for _ in 0..2 {
                start_random_fault(&mut self.simulation, &mut self.rng);
                self.wait(100, 6_000);
                if self.rng.random_bool(0.35) {
                    self.cancel_recent_job();
                }
            }
            self.wait(500, 25_000);
            self.simulation.faults.late_transaction_share = 0.0;
        }
        self.simulation.run_for(DRAIN_TIME);
    }

    /// Whether a user cancelled the job or one of its direct or indirect upstream jobs.
    fn should_be_cancelled(&self, job: &JobId) -> bool {
        self.cancelled.contains(job)
            || self.upstream[job]
                .iter()
                .any(|p| self.should_be_cancelled(p))
    }
}

#[test]
fn random_dependency_graphs_under_random_faults_break_no_rule() {
    let seeds = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok());
    for seed in 1..=seeds.unwrap_or(RUNS) {
        let mut run = Run::new(seed);
        run.run_batches();
        run.simulation.checker.check_at_end(run.simulation.now);
        let checker = &run.simulation.checker;
        assert!(
            checker.broken_rules.is_empty(),
            "seed {seed}: {:?}",
            checker.first_violation
        );
        let remaining_pages = run.simulation.store.list("e/");
        assert!(
            remaining_pages.is_empty(),
            "seed {seed}: dependency pages of ended jobs remain: {remaining_pages:?}"
        );
        for job in run.upstream.keys() {
            let expected = match run.should_be_cancelled(job) {
                true => JobPhase::Cancelled,
                false => JobPhase::Done,
            };
            assert_eq!(
                run.simulation.phase(job),
                Some(expected),
                "seed {seed}: {job}"
            );
        }
    }
}
