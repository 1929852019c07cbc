//! Users -> controllers: submissions, polls and cancellations.

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
    Low,
    Normal,
    Urgent,
    Production,
}

/// A job as its user describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "ref")]
    pub id: JobId,
    #[serde(rename = "jobclass")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    pub shape: Shape,
    #[serde(rename = "urgency")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "ramGb")]
    pub ram_gb: f64,
    #[serde(rename = "bundle")]
    pub image: Image,
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    #[serde(rename = "rigs", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<MachineType>>,
    #[serde(rename = "site", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Zone>,
    pub together: bool,
    pub scatter: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "guessS")]
    pub guess_s: f64,
    #[serde(rename = "markEveryS")]
    pub checkpoint_s: f64,
    #[serde(rename = "markCostS")]
    pub save_s: f64,
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
}

/// A job as it is submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    pub spec: JobSpec,
    /// Jobs that have to be done before any task of this one starts, each once.
    pub waits_on: Vec<JobId>,
}

/// The field of a submission that names the jobs it waits for.
pub const WAITS_ON: &str = "waitsOn";

/// A submission that can't be taken as it stands.
#[derive(Debug)]
pub struct Malformed {
    /// The job it names, if that much could be read: it may be known already.
    pub id: Option<JobId>,
    /// What is wrong, for the user.
    pub reason: String,
}

/// The most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;

/// Reads a submission, saying what is wrong with a bad one.
pub fn parse_submission(body: &[u8]) -> Result<Submission, Malformed> {
    let value: Value = serde_json::from_slice(body).map_err(|e| Malformed {
        id: None,
        reason: format!("not JSON: {e}"),
    })?;
    let id = value
        .get("ref")
        .and_then(Value::as_str)
        .and_then(JobId::parse);
    let fail = |reason: String| Malformed {
        id: id.clone(),
        reason,
    };
    if !value.is_object() {
        return Err(fail("not an object".into()));
    }
    let waits_on = parse_waits_on(value.get(WAITS_ON))
        .ok_or_else(|| fail(format!("{WAITS_ON}: not an array of job ids")))?;
    let spec: JobSpec = serde_json::from_value(value).map_err(|e| fail(e.to_string()))?;
    if id.is_none() {
        return Err(fail("ref: not a job id".into()));
    }
    if spec.tasks == 0 || spec.tasks > MAX_TASKS {
        return Err(fail(format!("pieces: must be 1 to {MAX_TASKS}")));
    }
    for (name, v) in [
        ("cpus", Some(spec.cpus)),
        ("gpus", Some(spec.gpus)),
        ("ramGb", Some(spec.ram_gb)),
        ("pullGb", Some(spec.image_gb)),
        ("guessS", Some(spec.guess_s)),
        ("markEveryS", Some(spec.checkpoint_s)),
        ("markCostS", Some(spec.save_s)),
        ("dueS", spec.due_s),
    ] {
        if v.is_some_and(|v| !v.is_finite() || v < 0.0) {
            return Err(fail(format!("{name}: must be a finite number, 0 or more")));
        }
    }
    Ok(Submission { spec, waits_on })
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
    Queued,
    Running,
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission or a cancellation.
#[derive(Serialize)]
pub struct Accepted<'a> {
    #[serde(rename = "ref")]
    pub id: &'a JobId,
    pub phase: JobPhase,
}

/// The answer to a poll.
#[derive(Serialize)]
pub struct Status<'a> {
    #[serde(rename = "ref")]
    pub id: &'a JobId,
    pub phase: JobPhase,
    pub done: u32,
    pub running: u32,
}
