//! Options of the soak test, read from environment variables.

use std::ops::RangeInclusive;
use std::time::Duration;

/// The number of seeds, how many of them run in parallel, and the duration and size of each run.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    pub first_seed: u64,
    pub seeds: u64,
    pub parallel: usize,
    /// How long faults are injected in each run.
    pub faults_for: Duration,
    /// The most machines that the cloud rents out at a time.
    pub machines: usize,
}

/// The value of an option is not a whole number in its range.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{name}={value}: must be a whole number from {min} to {max}")]
pub struct BadOption {
    name: &'static str,
    value: String,
    min: u64,
    max: u64,
}

impl Options {
    /// Reads the variables `SOAK_FIRST`, `SOAK_SEEDS`, `SOAK_PARALLEL`, `SOAK_SECONDS` and `SOAK_MACHINES`. The
    /// defaults suit continuous integration.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Options, BadOption> {
        let number = |name, range, default| read_number(&variable, name, range, default);
        Ok(Options {
            first_seed: number("SOAK_FIRST", 1..=1_000_000, 1)?,
            seeds: number("SOAK_SEEDS", 1..=1_000, 2)?,
            parallel: number("SOAK_PARALLEL", 1..=16, 2)? as usize,
            faults_for: Duration::from_secs(number("SOAK_SECONDS", 5..=600, 35)?),
            machines: number("SOAK_MACHINES", 2..=400, 24)? as usize,
        })
    }

    /// Returns the seeds to run.
    pub fn seed_range(&self) -> RangeInclusive<u64> {
        self.first_seed..=self.first_seed + self.seeds - 1
    }
}

fn read_number(
    variable: impl Fn(&str) -> Option<String>,
    name: &'static str,
    range: RangeInclusive<u64>,
    default: u64,
) -> Result<u64, BadOption> {
    let Some(value) = variable(name) else {
        return Ok(default);
    };
    let number = value.parse().ok().filter(|number| range.contains(number));
    number.ok_or(BadOption {
        name,
        value,
        min: *range.start(),
        max: *range.end(),
    })
}

#[test]
fn options_that_make_no_sense_are_refused_with_name_and_range() {
    let read = |name: &'static str, value: &'static str| {
        Options::read(|asked| (asked == name).then(|| value.to_owned()))
    };
    let error = read("SOAK_MACHINES", "1").unwrap_err();
    let text = "SOAK_MACHINES=1: must be a whole number from 2 to 400";
    assert_eq!(error.to_string(), text);
    assert!(read("SOAK_SEEDS", "many").is_err());
    assert!(read("SOAK_SECONDS", "0").is_err());
    assert_eq!(read("SOAK_SEEDS", "3").unwrap().seed_range(), 1..=3);
}
