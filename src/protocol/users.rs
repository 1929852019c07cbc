//! The wire between users and controllers: submissions, polls and cancellations.
//!
//! The operators' words are in serde names and in the texts that users read, and nowhere else.

use crate::ids::{Image, JobId, MachineType, Zone};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;

/// What kind of job it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// Independent tasks that run to completion.
    Array,
    /// All tasks at once or none.
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority, lowest first so that the derived order is the order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Goes after everything else.
    Low,
    /// The usual one.
    Normal,
    /// Goes before normal jobs.
    Urgent,
    /// Goes first.
    Production,
}

/// A job as its user describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id, chosen by its user.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// The job class, by which service-level objectives are set.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// The team whose quota the job uses.
    #[serde(rename = "crew")]
    pub team: String,
    /// What kind of job it is.
    pub shape: Shape,
    /// How urgent it is.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// How many tasks it has.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs requested for each task.
    pub cpus: f64,
    /// GPUs requested for each task.
    pub gpus: f64,
    /// Memory requested for each task, in GB.
    #[serde(rename = "ramGb")]
    pub ram_gb: f64,
    /// The container image of the tasks.
    #[serde(rename = "bundle")]
    pub image: Image,
    /// The size of the image, in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// The machine types that tasks may run on; None: any.
    #[serde(rename = "rigs", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<MachineType>>,
    /// The zone that tasks must run in; None: any.
    #[serde(rename = "site", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Zone>,
    /// Whether all tasks must run in one zone (affinity).
    #[serde(rename = "together")]
    pub zone_affinity: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone (anti-affinity).
    #[serde(rename = "scatter")]
    pub zone_anti_affinity: bool,
    /// Whether tasks may run on spot instances.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time without the image pull, in seconds.
    #[serde(rename = "guessS")]
    pub estimated_run_time_s: f64,
    /// Progress between two checkpoints of a task, in seconds; 0: it saves none, also when it is stopped.
    #[serde(rename = "markEveryS")]
    pub checkpoint_interval_s: f64,
    /// The time a task needs to save a checkpoint when it is stopped, in seconds.
    #[serde(rename = "markCostS")]
    pub checkpoint_duration_s: f64,
    /// By when the job should be done, in seconds from its submission.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// A job as it is submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The job.
    pub spec: JobSpec,
    /// Jobs that have to be done before any task of this one starts, each once.
    pub upstream_jobs: Vec<JobId>,
}

/// The field of a submission that names the jobs it waits for.
pub const WAITS_ON: &str = "waitsOn";

/// A submission that can't be taken as it stands.
#[derive(Debug)]
pub struct MalformedSubmission {
    /// The job it names, if that much could be read: it may be known already.
    pub id: Option<JobId>,
    /// What is wrong, for the user.
    pub reason: String,
}

/// How many tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;

/// Parses and checks a submission.
pub fn parse_submission(body: &[u8]) -> Result<Submission, MalformedSubmission> {
    let value: Value = serde_json::from_slice(body).map_err(|error| MalformedSubmission {
        id: None,
        reason: format!("not JSON: {error}"),
    })?;
    let id = value
        .get("ref")
        .and_then(Value::as_str)
        .and_then(JobId::parse);
    let fail = |reason: String| MalformedSubmission {
        id: id.clone(),
        reason,
    };
    if !value.is_object() {
        return Err(fail("not an object".into()));
    }
    let upstream_jobs = parse_waits_on(value.get(WAITS_ON))
        .ok_or_else(|| fail(format!("{WAITS_ON}: not an array of job ids")))?;
    let spec: JobSpec = serde_json::from_value(value).map_err(|error| fail(error.to_string()))?;
    if id.is_none() {
        return Err(fail("ref: not a job id".into()));
    }
    if spec.tasks == 0 || spec.tasks > MAX_TASKS {
        return Err(fail(format!("pieces: must be 1 to {MAX_TASKS}")));
    }
    check_numbers(&spec).map_err(fail)?;
    Ok(Submission {
        spec,
        upstream_jobs,
    })
}

/// Checks that every amount and time is a finite number, 0 or more; the error names the field.
fn check_numbers(spec: &JobSpec) -> Result<(), String> {
    for (name, value) in [
        ("cpus", Some(spec.cpus)),
        ("gpus", Some(spec.gpus)),
        ("ramGb", Some(spec.ram_gb)),
        ("pullGb", Some(spec.image_gb)),
        ("guessS", Some(spec.estimated_run_time_s)),
        ("markEveryS", Some(spec.checkpoint_interval_s)),
        ("markCostS", Some(spec.checkpoint_duration_s)),
        ("dueS", spec.deadline_s),
    ] {
        if value.is_some_and(|value| !value.is_finite() || value < 0.0) {
            return Err(format!("{name}: must be a finite number, 0 or more"));
        }
    }
    Ok(())
}

/// The jobs named; None if it is no list of job ids. Repeats count once.
fn parse_waits_on(list: Option<&Value>) -> Option<Vec<JobId>> {
    let list = match list {
        None | Some(Value::Null) => return Some(Vec::new()),
        Some(list) => list.as_array()?,
    };
    let ids = list.iter().map(|id| id.as_str().and_then(JobId::parse));
    let distinct: BTreeSet<JobId> = ids.collect::<Option<_>>()?;
    Some(distinct.into_iter().collect())
}

/// What a user is told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// No task runs.
    Queued,
    /// At least one task runs.
    Running,
    /// All tasks are completed. Terminal.
    Done,
    /// The job is cancelled. Terminal.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The body of the response to a submission or a cancellation.
#[derive(Serialize)]
pub struct JobResponse<'a> {
    /// The job.
    #[serde(rename = "ref")]
    pub id: &'a JobId,
    /// Its phase.
    pub phase: JobPhase,
}

/// The body of the response to a poll.
#[derive(Serialize)]
pub struct JobStatusResponse<'a> {
    /// The job.
    #[serde(rename = "ref")]
    pub id: &'a JobId,
    /// Its phase.
    pub phase: JobPhase,
    /// How many tasks are completed.
    pub done: u32,
    /// How many tasks run.
    pub running: u32,
}
