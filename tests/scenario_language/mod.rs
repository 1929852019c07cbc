//! The language of `tests/scenarios/*.txt`: its one parser, and what its words do to a simulation.
//! `tests/scenarios/README.md` lists the words.

mod events;
mod expectations;
mod job;
mod rogue;
mod script;
mod setup;

pub use events::perform;
pub use expectations::expect;
pub use job::{job_spec, submit};
pub use script::Scenario;
pub use setup::Setup;

use chalklug::ids::JobId;
use chalklug::time::TimeSpan;

/// Words that stand alone; all others are names, each followed by its value.
const FLAGS: [&str; 4] = ["affinity", "anti-affinity", "spot", "fails-everywhere"];

/// The words of a line after the first: `name value` pairs and flags.
pub struct Words<'a>(pub &'a [&'a str]);

impl<'a> Words<'a> {
    /// The value of that name.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        let at = self.0.iter().position(|word| *word == name)?;
        if FLAGS.contains(&name) {
            return Some("");
        }
        self.0.get(at + 1).copied()
    }

    /// The number of that name.
    pub fn number(&self, name: &str, default: f64) -> f64 {
        let value = self.get(name);
        value.map_or(default, |value| parse(value, name))
    }

    pub fn has(&self, flag: &str) -> bool {
        self.0.contains(&flag)
    }

    /// Jobs of that name, separated by commas.
    pub fn jobs(&self, name: &str) -> Vec<JobId> {
        let list = self.get(name);
        list.map_or(Vec::new(), |list| {
            list.split(',').map(JobId::from).collect()
        })
    }
}

/// A value, or a panic that says of what.
fn parse<T: std::str::FromStr>(value: &str, what: &str) -> T {
    let parsed = value.parse();
    parsed.unwrap_or_else(|_| panic!("{what}: not a value: {value}"))
}

fn seconds(value: &str) -> TimeSpan {
    TimeSpan::from_secs(parse(value, "seconds"))
}

/// The number of a job, from which a stream of jobs counts on.
fn job_number(id: &str) -> u32 {
    let number = id.strip_prefix("wk-");
    parse(number.unwrap_or_else(|| panic!("not a job: {id}")), "job")
}
