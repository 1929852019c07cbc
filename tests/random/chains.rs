//! Random chains of jobs under random faults, with leaders that come and go: no rule is broken, every job
//! that should be is done, and every job that needs a cancelled one is cancelled.

use super::world::given::{given_lines, spec};
use super::world::troubles::trouble;
use super::world::World;
use chalklug::ids::JobId;
use chalklug::protocol::users::JobPhase;
use chalklug::time::TimeSpan;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Days played, each with its own seed.
const SEEDS: u64 = 14;
/// Bunches of jobs submitted in one day.
const BUNCHES: u32 = 8;
/// After the last trouble everything has this long to end.
const QUIET: TimeSpan = TimeSpan(500_000);

/// One day: the jobs, what each needs, and which were cancelled by their users.
struct Day {
    world: World,
    rng: StdRng,
    needs: BTreeMap<JobId, Vec<JobId>>,
    cancelled: BTreeSet<JobId>,
}

fn id(n: u32) -> JobId {
    JobId::from(format!("wk-{n:06}").as_str())
}

impl Day {
    fn new(seed: u64) -> Day {
        let mut given = given_lines(&[
            "team blue gpus 8 max 24",
            "team red gpus 8 max 20",
            "rig box gpus 4 boot 6 sites a,b,c",
        ]);
        (given.machines, given.seed, given.campaigns) = (14, seed, true);
        let mut world = given.world();
        world.lead();
        Day {
            world,
            rng: StdRng::seed_from_u64(seed),
            needs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
        }
    }

    /// Submits a job that needs some of those before it: the latest ones more often, so that there are
    /// chains, forks and joins; at times one whose producers have long been over, or are cancelled.
    fn submit(&mut self) {
        let n = self.needs.len() as u32;
        let mut needs = BTreeSet::new();
        if n > 0 && self.rng.random_bool(0.75) {
            for _ in 0..self.rng.random_range(1..4) {
                let back = if self.rng.random_bool(0.8) { 4 } else { n };
                needs.insert(id(n - self.rng.random_range(1..=back.min(n))));
            }
        }
        let name = format!("wk-{n:06}");
        let tasks = self.rng.random_range(1..5).to_string();
        let run = self.rng.random_range(2..20).to_string();
        let team = ["blue", "red"][self.rng.random_range(0..2)];
        let priority = ["low", "normal", "urgent"][self.rng.random_range(0..3)];
        let mut words = vec![name.as_str(), "team", team, "urgency", priority];
        words.extend(["pieces", &tasks, "run", &run]);
        words.extend(match self.rng.random_range(0..4) {
            0 => vec!["shape", "gang", "together"],
            1 => vec!["spot", "checkpoint", "4"],
            2 => vec!["gpus", "0"],
            _ => vec![],
        });
        let needs: Vec<JobId> = needs.into_iter().collect();
        let run_s = run.parse().expect("a number");
        self.world.submit(spec(&words), run_s, needs.clone());
        self.needs.insert(id(n), needs);
    }

    fn cancel_some(&mut self) {
        let n = self.needs.len() as u32;
        let job = id(self.rng.random_range(n.saturating_sub(8)..n));
        if self.world.cancel(&job) {
            self.cancelled.insert(job);
        }
    }

    fn wait(&mut self, from_ms: i64, to_ms: i64) {
        let pause = self.rng.random_range(from_ms..to_ms);
        self.world.run_until(self.world.now + TimeSpan(pause));
    }

    fn play(&mut self) {
        for _ in 0..BUNCHES {
            for _ in 0..self.rng.random_range(2..7) {
                self.submit();
                self.wait(100, 1_500);
            }
            for _ in 0..2 {
                trouble(&mut self.world, &mut self.rng);
                self.wait(100, 6_000);
                if self.rng.random_bool(0.35) {
                    self.cancel_some();
                }
            }
            self.wait(500, 25_000);
            self.world.late_writes = 0.0;
        }
        self.world.run_until(self.world.now + QUIET);
    }

    /// Whether the job, or one that it needs, was cancelled.
    fn to_be_cancelled(&self, job: &JobId) -> bool {
        self.cancelled.contains(job) || self.needs[job].iter().any(|p| self.to_be_cancelled(p))
    }
}

#[test]
fn random_chains_under_random_faults() {
    let seeds = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok());
    for seed in 1..=seeds.unwrap_or(SEEDS) {
        let mut day = Day::new(seed);
        day.play();
        day.world.checker.at_end(day.world.now);
        let checker = &day.world.checker;
        assert!(
            checker.broken.is_empty(),
            "seed {seed}: {:?}",
            checker.first
        );
        let left: Vec<_> = day.world.store.list("e/");
        assert!(
            left.is_empty(),
            "seed {seed}: lists of producers of jobs that are over: {left:?}"
        );
        for job in day.needs.keys() {
            let expected = match day.to_be_cancelled(job) {
                true => JobPhase::Cancelled,
                false => JobPhase::Done,
            };
            assert_eq!(day.world.poll(job), Some(expected), "seed {seed}: {job}");
        }
    }
}
