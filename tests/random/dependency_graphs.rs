//! Random dependency graphs of jobs under random faults, with leaders that come and go: no rule is broken,
//! every job that should be is done, and every job downstream of a cancelled one is cancelled.

use super::scenario_language::{submit, Setup};
use super::simulation::random_faults::start_random_fault;
use super::simulation::Simulation;
use chalklug::ids::JobId;
use chalklug::protocol::users::JobPhase;
use chalklug::time::TimeSpan;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Runs, each with its own seed; `SEEDS` gives another number.
const RUNS: u64 = 14;
/// Batches of jobs submitted in one run.
const BATCHES: u32 = 8;
/// After the last fault everything has this long to end.
const QUIET: TimeSpan = TimeSpan(500_000);

/// One run: the jobs, what each depends on, and which were cancelled by their users.
struct Run {
    simulation: Simulation,
    rng: StdRng,
    upstream: BTreeMap<JobId, Vec<JobId>>,
    cancelled: BTreeSet<JobId>,
}

fn id(n: u32) -> JobId {
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

    /// Submits a job that depends on some of those before it: the latest ones more often, so that there
    /// are chains, forks and joins; at times on jobs that ended long ago, or were cancelled.
    fn submit(&mut self) {
        let n = self.upstream.len() as u32;
        let mut upstream = BTreeSet::new();
        if n > 0 && self.rng.random_bool(0.75) {
            for _ in 0..self.rng.random_range(1..4) {
                let back = if self.rng.random_bool(0.8) { 4 } else { n };
                upstream.insert(id(n - self.rng.random_range(1..=back.min(n))));
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
        self.upstream.insert(id(n), upstream);
    }

    fn cancel_some(&mut self) {
        let n = self.upstream.len() as u32;
        let job = id(self.rng.random_range(n.saturating_sub(8)..n));
        if self.simulation.cancel(&job) {
            self.cancelled.insert(job);
        }
    }

    fn wait(&mut self, from_ms: i64, to_ms: i64) {
        let pause = self.rng.random_range(from_ms..to_ms);
        self.simulation.run_for(TimeSpan(pause));
    }

    fn play(&mut self) {
        for _ in 0..BATCHES {
            for _ in 0..self.rng.random_range(2..7) {
                self.submit();
                self.wait(100, 1_500);
            }
            for _ in 0..2 {
                start_random_fault(&mut self.simulation, &mut self.rng);
                self.wait(100, 6_000);
                if self.rng.random_bool(0.35) {
                    self.cancel_some();
                }
            }
            self.wait(500, 25_000);
            self.simulation.faults.late_transaction_share = 0.0;
        }
        self.simulation.run_for(QUIET);
    }

    /// Whether the job, or one that it depends on, was cancelled.
    fn to_be_cancelled(&self, job: &JobId) -> bool {
        self.cancelled.contains(job) || self.upstream[job].iter().any(|p| self.to_be_cancelled(p))
    }
}

#[test]
fn random_dependency_graphs_under_random_faults_break_no_rule() {
    let seeds = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok());
    for seed in 1..=seeds.unwrap_or(RUNS) {
        let mut run = Run::new(seed);
        run.play();
        run.simulation.checker.check_at_end(run.simulation.now);
        let checker = &run.simulation.checker;
        assert!(
            checker.broken_rules.is_empty(),
            "seed {seed}: {:?}",
            checker.first_violation
        );
        let left = run.simulation.store.list("e/");
        assert!(
            left.is_empty(),
            "seed {seed}: dependency pages of jobs that have ended: {left:?}"
        );
        for job in run.upstream.keys() {
            let expected = match run.to_be_cancelled(job) {
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
