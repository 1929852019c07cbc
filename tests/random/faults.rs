//! Random troubles, seeded: no rule is broken and every job comes to its end.

use super::log_if_asked;
use super::world::given::{given_lines, spec};
use super::world::troubles::trouble;
use super::world::{Cut, World};
use chalklug::ids::*;
use chalklug::protocol::users::JobPhase;
use chalklug::time::TimeSpan;

/// No rule is broken, and every job that wasn't cancelled is done.
fn ended_well(w: &mut World, seed: u64, cancelled: &[JobId]) {
    w.checker.at_end(w.now);
    let broken = &w.checker.broken;
    assert!(broken.is_empty(), "seed {seed}: {:?}", w.checker.first);
    for id in w.specs.keys().filter(|id| !cancelled.contains(id)) {
        assert_eq!(w.poll(id), Some(JobPhase::Done), "seed {seed}: {id}");
    }
}

/// Pairs of troubles, random and seeded, with leaders that come and go by their leases: the rules hold
/// and every job comes to its end.
#[test]
fn random_pairs_of_troubles_break_no_rule() {
    use rand::{Rng, SeedableRng};
    log_if_asked();
    let number = |name: &str| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let first: u64 = number("FIRST").unwrap_or(1);
    for seed in first..=number("SEEDS").unwrap_or(16u64) {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let mut g = given_lines(&[
            "team blue gpus 8 max 24",
            "team red gpus 8 max 20",
            "rig box gpus 4 boot 6 sites a,b,c",
        ]);
        (g.machines, g.seed, g.campaigns) = (14, seed, true);
        let mut w = g.world();
        w.copies = if seed % 3 == 0 { 0.3 } else { 0.0 };
        w.repeats = w.copies;
        w.lead();
        let mut cancelled = Vec::new();
        let mut next = 0u32;
        for _ in 0..10 {
            for _ in 0..rng.random_range(1..4) {
                let (id, tasks) = (format!("wk-{next:06}"), rng.random_range(1..6).to_string());
                let run = rng.random_range(3..40).to_string();
                let team = ["blue", "red"][next as usize % 2];
                next += 1;
                let mut words = vec![id.as_str(), "team", team, "pieces", &tasks, "run", &run];
                words.extend(match rng.random_range(0..5) {
                    0 => vec!["shape", "gang", "together"],
                    1 => vec!["scatter", "checkpoint", "4"],
                    2 => vec!["site", "b"],
                    3 => vec!["together"],
                    _ => vec!["spot", "checkpoint", "5"],
                });
                w.submit(spec(&words), run.parse().unwrap(), Vec::new());
            }
            w.run_until(w.now + TimeSpan(rng.random_range(2_000..9_000)));
            for _ in 0..2 {
                trouble(&mut w, &mut rng);
                w.run_until(w.now + TimeSpan(rng.random_range(100..4_000)));
                // Users cancel in the very moment, too.
                if rng.random_bool(0.4) {
                    let id = JobId::from(format!("wk-{:06}", rng.random_range(0..next)).as_str());
                    if w.cancel(&id) {
                        cancelled.push(id);
                    }
                }
            }
            w.run_until(w.now + TimeSpan(rng.random_range(500..30_000)));
            w.late_writes = 0.0;
        }
        (w.copies, w.repeats) = (0.0, 0.0);
        w.run_until(w.now + TimeSpan(500_000));
        ended_well(&mut w, seed, &cancelled);
    }
}

/// A day of random faults, bounded and seeded: the rules hold and every job comes to its end.
#[test]
fn random_faults_break_no_rule() {
    use rand::{Rng, SeedableRng};
    log_if_asked();
    let first: u64 = std::env::var("FIRST")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(1);
    let seeds = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok());
    for seed in first..=seeds.unwrap_or(12u64) {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let mut g = given_lines(&[
            "team blue gpus 8 max 24",
            "team red gpus 8 max 20",
            "rig box gpus 4 boot 6 sites a,b,c",
        ]);
        (g.machines, g.seed) = (14, seed);
        let mut w = g.world();
        w.lead();
        if seed % 2 == 1 {
            w.copies = 0.4;
            w.repeats = 0.4;
        }
        let mut cancelled = Vec::new();
        for n in 0..24u32 {
            let id = format!("wk-{n:06}");
            let (team, tasks, run) = (
                ["blue", "red"][n as usize % 2],
                rng.random_range(1..8).to_string(),
                rng.random_range(3..25).to_string(),
            );
            let mut words = vec![id.as_str(), "team", team, "pieces", &tasks, "run", &run];
            let shape = rng.random_range(0..4);
            words.extend(match shape {
                0 => vec!["shape", "gang", "together"],
                1 => vec!["scatter", "checkpoint", "4"],
                2 => vec!["spot", "checkpoint", "5"],
                _ => vec!["together"],
            });
            w.submit(spec(&words), run.parse().unwrap(), Vec::new());
            let machine_ids: Vec<MachineId> = w.workers.keys().cloned().collect();
            let pick = (!machine_ids.is_empty())
                .then(|| machine_ids[rng.random_range(0..machine_ids.len())].clone());
            let until = w.now + TimeSpan(rng.random_range(2_000..30_000));
            match (rng.random_range(0..12), pick) {
                (0, Some(h)) => w.workers.get_mut(&h).unwrap().hang_until(until),
                (1, Some(h)) => w.workers.get_mut(&h).unwrap().cut_until(until, Cut::Hold),
                (2, Some(h)) => w.workers.get_mut(&h).unwrap().cut_until(until, Cut::Drop),
                (3, Some(h)) => drop(w.workers.remove(&h)),
                (10, Some(h)) => w.workers.get_mut(&h).unwrap().deaf_until(until),
                (11, Some(h)) => {
                    let long = until + TimeSpan(60_000);
                    w.workers.get_mut(&h).unwrap().deaf_until(long)
                }
                (4, _) => w.state_mute = w.now + TimeSpan(2000),
                (5, _) => w.state_late = w.now + TimeSpan(4000),
                (6, _) => w.cloud_down = until,
                (7, _) => w.drop_reports = 0.2,
                (8, _) => w.state_down = w.now + TimeSpan(4000),
                _ => w.drop_reports = 0.0,
            }
            if rng.random_bool(0.15) {
                let id = JobId::from(id.as_str());
                if w.cancel(&id) {
                    cancelled.push(id);
                }
            }
            w.run_until(w.now + TimeSpan(rng.random_range(500..9_000)));
            if rng.random_bool(0.25) {
                w.crash();
                w.run_until(w.now + TimeSpan(rng.random_range(100..6_000)));
                w.lead();
            }
        }
        w.drop_reports = 0.0;
        let end = w.now + TimeSpan(400_000);
        w.run_until(end);
        ended_well(&mut w, seed, &cancelled);
    }
}
