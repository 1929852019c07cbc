//! Soak: real controllers under random faults, with stand-ins of everything else, judged from outside.
//!
//! Faults are drawn from a seed and overlap; users go on submitting, asking, repeating and cancelling. The schedule
//! repeats from its seed, the interleaving of the processes does not. `docs/SOAK.md` says how to run many seeds.

mod checker;
mod checker_sees;
mod cloud;
mod cluster;
mod controllers;
mod faults;
mod http;
mod links;
mod options;
mod peer_proxy;
mod run;
mod settings;
mod starvation;
mod state_store;
#[path = "../support/store_data.rs"]
mod store_data;
mod task;
mod users;
mod worker;
mod world;

use options::Options;
use run::Verdict;
use std::sync::Mutex;

/// Lines of each controller's log that a failed run prints, around the first violation or the end.
const LOG_LINES: usize = 40;

fn report(verdict: &Verdict) {
    let Verdict {
        seed,
        faults,
        starts,
        responses,
        accepted,
        ..
    } = verdict;
    println!(
        "seed {seed}: {faults} faults, {accepted} jobs, {starts} starts, {responses} responses, broken: {:?}",
        verdict.rules()
    );
    if !verdict.has_failed() {
        return;
    }
    for violation in &verdict.violations {
        println!(
            "  {:?} {:?}: {}",
            violation.at, violation.rule, violation.details
        );
    }
    println!("  ended by themselves: {:?}", verdict.unexpected_exits);
    for planned in &verdict.schedule {
        println!("  {:?} {:?}", planned.at, planned.fault);
    }
    print_logs(verdict);
}

/// The last lines of all controllers' logs; the files stay where they are.
fn print_logs(verdict: &Verdict) {
    println!("  logs: {}", verdict.directory.display());
    for number in 0..cluster::CONTROLLERS {
        let path = verdict.directory.join(format!("n{number}.log"));
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        for line in &lines[lines.len().saturating_sub(LOG_LINES)..] {
            println!("  n{number} {line}");
        }
    }
}

/// Real processes under random faults: no rule is broken, every job ends, and no controller ends by itself.
#[test]
fn no_rule_is_broken_under_random_faults() {
    let options = Options::read(|name| std::env::var(name).ok());
    let options = options.unwrap_or_else(|error| panic!("{error}"));
    let seeds = Mutex::new(options.seed_range());
    let verdicts = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..options.parallel {
            scope.spawn(|| loop {
                let Some(seed) = seeds.lock().expect("seeds").next() else {
                    return;
                };
                let verdict = run::run(seed, &options);
                report(&verdict);
                if !verdict.has_failed() {
                    run::clean_up(&verdict.directory);
                }
                verdicts.lock().expect("verdicts").push(verdict);
            });
        }
    });
    let verdicts = verdicts.into_inner().expect("verdicts");
    let failed = verdicts.iter().filter(|verdict| verdict.has_failed());
    let failed: Vec<u64> = failed.map(|verdict| verdict.seed).collect();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
