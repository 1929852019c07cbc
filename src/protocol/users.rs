//! Messages between users and controllers: submissions, polls and cancellations.
//!
//! Wire names that differ from the code's terms are given as serde names. Error messages to users contain wire names.

use crate::ids::{Image, JobId, MachineType, Zone};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;

/// The kind of a job, which determines how its tasks are started and when they end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// Independent tasks that run to completion.
    Array,
    /// Gang members that run at the same time or not at all.
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// The priority of a job. The variants are in ascending order because comparisons use the derived `Ord`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Scheduled after all other jobs.
    Low,
    /// The usual priority.
    Normal,
    /// Scheduled before normal jobs.
    Urgent,
    /// Scheduled before all other jobs.
    Production,
}

/// A job specification, as submitted by a user.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id, chosen by its user.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// The job class, which selects the service-level objectives that apply.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// The team whose quota the job uses.
    #[serde(rename = "crew")]
    pub team: String,
    /// The kind of the job.
    pub shape: Shape,
    /// The priority of the job.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// The number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs requested per task.
    pub cpus: f64,
    /// GPUs requested per task.
    pub gpus: f64,
    /// Memory requested per task, in GB.
    #[serde(rename = "ramGb")]
    pub ram_gb: f64,
    /// The container image of the tasks.
    #[serde(rename = "bundle")]
    pub image: Image,
    /// The size of the image, in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// The machine types that tasks may run on; `None`: any.
    #[serde(rename = "rigs", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<BTreeSet<MachineType>>,
    /// The zone that tasks must run in; `None`: any.
    #[serde(rename = "site", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Zone>,
    /// Whether all tasks must run in one zone (affinity).
    #[serde(rename = "together")]
    pub zone_affinity: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone (anti-affinity).
    #[serde(rename = "scatter")]
    pub zone_anti_affinity: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds, excluding the image fetch.
    #[serde(rename = "guessS")]
    pub estimated_run_time_s: f64,
    /// Run time between two checkpoints of a task, in seconds; 0: the task saves no checkpoints, not even when it is
    /// stopped.
    #[serde(rename = "markEveryS")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save a checkpoint when it is stopped, in seconds.
    #[serde(rename = "markCostS")]
    pub checkpoint_duration_s: f64,
    /// Deadline for completing the job, in seconds after its submission; `None`: no deadline.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// A parsed submission.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The job specification.
    pub spec: JobSpec,
    /// Upstream jobs, without duplicates: all must be done before any task of this job starts.
    pub upstream_jobs: Vec<JobId>,
}

/// The field of a submission that lists the upstream jobs.
pub const WAITS_ON: &str = "waitsOn";

/// The error for a submission that cannot be parsed or has invalid values.
#[derive(Debug)]
pub struct MalformedSubmission {
    /// The job id, if it could be parsed; the job may have been accepted earlier.
    pub id: Option<JobId>,
    /// The error message for the user.
    pub reason: String,
}

/// The maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 100_000;

/// Parses and validates the body of a submission.
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
    let upstream_jobs = parse_upstream_jobs(value.get(WAITS_ON))
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

/// Checks that every amount and duration is finite and not negative; the error names the field.
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

/// Returns the upstream jobs without duplicates, or `None` if `list` is not an array of job ids.
fn parse_upstream_jobs(list: Option<&Value>) -> Option<Vec<JobId>> {
    let list = match list {
        None | Some(Value::Null) => return Some(Vec::new()),
        Some(list) => list.as_array()?,
    };
    let ids = list.iter().map(|id| id.as_str().and_then(JobId::parse));
    let distinct: BTreeSet<JobId> = ids.collect::<Option<_>>()?;
    Some(distinct.into_iter().collect())
}

/// The phase of a job, as reported to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// No task is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks are completed; terminal.
    Done,
    /// The job is cancelled; terminal.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The body of the response to a submission or a cancellation.
#[derive(Serialize)]
pub struct JobResponse<'a> {
    /// The id of the job.
    #[serde(rename = "ref")]
    pub id: &'a JobId,
    /// The phase of the job.
    pub phase: JobPhase,
}

/// The body of the response to a poll.
#[derive(Serialize)]
pub struct JobStatusResponse<'a> {
    /// The id of the job.
    #[serde(rename = "ref")]
    pub id: &'a JobId,
    /// The phase of the job.
    pub phase: JobPhase,
    /// The number of completed tasks.
    pub done: u32,
    /// The number of running tasks.
    pub running: u32,
}
