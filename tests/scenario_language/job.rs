//! Job specifications in scenarios.

use super::Words;
use crate::simulation::{Simulation, TaskBehavior};
use chalklug::ids::{Image, JobId, MachineType, Zone};
use chalklug::protocol::users::{JobSpec, Priority, Shape};

/// Run time of tasks unless a scenario sets another one.
const DEFAULT_RUN_SECS: f64 = 10.0;

/// Returns the job that the words describe; the first word is its id.
pub fn job_spec(rest: &[&str]) -> JobSpec {
    let words = Words(rest);
    let run_secs = words.number("run", DEFAULT_RUN_SECS);
    JobSpec {
        id: JobId::parse(rest[0]).expect("the first word is a job id"),
        class: words.get("class").unwrap_or("any").into(),
        team: words.get("team").unwrap_or("blue").into(),
        shape: shape(words.get("shape").unwrap_or("array")),
        priority: priority(words.get("priority").unwrap_or("normal")),
        tasks: words.number("tasks", 1.0) as u32,
        cpus: words.number("cpus", 1.0),
        gpus: words.number("gpus", 1.0),
        ram_gb: 1.0,
        image: Image::from(words.get("image").unwrap_or("img")),
        image_gb: words.number("image-gb", 2.0),
        machine_types: words
            .get("machine-types")
            .map(|names| names.split(',').map(MachineType::from).collect()),
        zone: words.get("zone").map(Zone::from),
        zone_affinity: words.has("affinity"),
        zone_anti_affinity: words.has("anti-affinity"),
        spot: words.has("spot"),
        estimated_run_time_s: words.number("estimate", run_secs),
        checkpoint_interval_s: words.number("checkpoint", 0.0),
        checkpoint_duration_s: words.number("save", 1.0),
        deadline_s: words
            .get("deadline")
            .map(|secs| super::parse(secs, "deadline")),
    }
}

fn shape(word: &str) -> Shape {
    match word {
        "array" => Shape::Array,
        "gang" => Shape::Gang,
        "service" => Shape::Service,
        other => panic!("unknown shape: {other}"),
    }
}

fn priority(word: &str) -> Priority {
    match word {
        "low" => Priority::Low,
        "normal" => Priority::Normal,
        "urgent" => Priority::Urgent,
        "production" => Priority::Production,
        other => panic!("unknown priority: {other}"),
    }
}

/// Submits the job that the words describe.
pub fn submit(simulation: &mut Simulation, rest: &[&str]) {
    let words = Words(rest);
    let behavior = match words.has("fails-everywhere") {
        true => TaskBehavior::FailsEverywhere,
        false => TaskBehavior::RunsForSecs(words.number("run", DEFAULT_RUN_SECS)),
    };
    simulation.submit(job_spec(rest), behavior, words.jobs("upstream"));
}
