//! A scenario file: what it starts with, what happens when, and when it ends.

use super::{expect, job_number, parse, perform, seconds, Setup};
use crate::simulation::Simulation;
use chalklug::time::{Instant, TimeSpan};
use std::collections::BTreeMap;

/// A scenario as its file describes it.
#[derive(Default)]
pub struct Scenario<'a> {
    pub setup: Setup,
    /// Words of each event or expectation, by its time.
    steps: BTreeMap<Instant, Vec<Vec<String>>>,
    end: Instant,
    name: &'a str,
}

impl<'a> Scenario<'a> {
    /// Reads the text of the file of that name.
    pub fn parse(name: &'a str, text: &str) -> Scenario<'a> {
        let mut script = Scenario {
            name,
            ..Scenario::default()
        };
        for line in text.lines() {
            let line = line.split('#').next().unwrap_or_default();
            let words: Vec<&str> = line.split_whitespace().collect();
            script.add_line(&words);
        }
        script
    }

    fn add_line(&mut self, words: &[&str]) {
        match words {
            [] => {}
            ["at", time, "stream", first, "every", interval, "times", count, rest @ ..] => {
                let count = parse(count, "times");
                self.add_stream(seconds(time), first, seconds(interval), count, rest);
            }
            ["at", time, rest @ ..] => self.add_step(Instant::ZERO + seconds(time), rest),
            ["until", time] => self.end = Instant::ZERO + seconds(time),
            [first, rest @ ..] => self.setup.add_line(first, rest),
        }
    }

    fn add_step(&mut self, time: Instant, words: &[&str]) {
        let words = words.iter().map(|word| (*word).to_owned()).collect();
        self.steps.entry(time).or_default().push(words);
    }

    /// Jobs numbered on from the first, submitted one after the other.
    fn add_stream(
        &mut self,
        start: TimeSpan,
        first: &str,
        interval: TimeSpan,
        count: u32,
        rest: &[&str],
    ) {
        let first = job_number(first);
        for n in 0..count {
            let id = format!("wk-{}", first + n);
            let mut words = vec!["submit", &id];
            words.extend(rest);
            let time = start.0 + interval.0 * i64::from(n);
            self.add_step(Instant(time), &words);
        }
    }

    /// Whether the scenario shows that the checker sees a broken rule.
    fn expects_violation(&self) -> bool {
        let mut steps = self.steps.values().flatten();
        steps.any(|words| words[0] == "expect" && words[1] == "rule-broken")
    }

    /// Plays the scenario; panics if an expectation doesn't hold or a rule is broken.
    pub fn run(self) {
        let expects_violation = self.expects_violation();
        let mut simulation = self.setup.simulation();
        simulation.digest.set_name(self.name);
        for (time, steps) in &self.steps {
            simulation.run_until(*time);
            for words in steps {
                let words: Vec<&str> = words.iter().map(String::as_str).collect();
                match words.as_slice() {
                    ["expect", rest @ ..] => expect(&simulation, rest, self.name),
                    [event, rest @ ..] => perform(&mut simulation, event, rest),
                    [] => {}
                }
            }
        }
        simulation.run_until(self.end);
        if !expects_violation {
            check_rules(&mut simulation, self.name);
        }
    }
}

fn check_rules(simulation: &mut Simulation, name: &str) {
    let checker = &mut simulation.checker;
    checker.check_at_end(simulation.now);
    assert!(
        checker.broken_rules.is_empty(),
        "{name}: {}",
        checker.first_violation.clone().unwrap_or_default()
    );
}
