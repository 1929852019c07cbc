//! Requests of users and of an unknown machine to a controller, and waiting for conditions.
//!
//! The `controller` parameters are the HTTP addresses of controllers.

use super::http::http;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Far longer than any wait takes on a busy machine, since the tests assert outcomes and not times.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls until `poll` returns a value, and returns it.
///
/// # Panics
///
/// Panics after [`WAIT_TIMEOUT`].
pub fn wait_for<T>(condition: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if let Some(value) = poll() {
            return value;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting for {condition}");
}

/// Returns the specification of a job, as users submit it.
pub fn job_spec(id: &str, tasks: u32) -> Value {
    json!({"ref": id, "jobclass": "any", "crew": "blue", "shape": "array", "urgency": "normal", "pieces": tasks,
        "cpus": 1.0, "gpus": 1.0, "ramGb": 4.0, "bundle": "img", "pullGb": 1.0, "rigs": null, "site": null,
        "together": false, "scatter": false, "loaners": false, "guessS": 1.0, "markEveryS": 0.0, "markCostS": 0.0, "dueS": null})
}

/// Returns the specification of a job that depends on the `upstream` jobs.
pub fn downstream_spec(id: &str, tasks: u32, upstream: Value) -> Value {
    let mut spec = job_spec(id, tasks);
    spec["waitsOn"] = upstream;
    spec
}

/// Sends a request about a job. Returns the HTTP status and the job's phase.
fn request_phase(controller: &str, method: &str, path: &str, body: &[u8]) -> Option<(u16, String)> {
    let (status, body) = http(controller, method, path, body)?;
    let phase = body["phase"].as_str().unwrap_or_default().to_owned();
    Some((status, phase))
}

/// Submits a job. Returns the HTTP status.
pub fn submit(controller: &str, spec: &Value) -> Option<u16> {
    submit_for_phase(controller, spec).map(|(status, _)| status)
}

/// Submits a job. Returns the HTTP status and the job's phase.
pub fn submit_for_phase(controller: &str, spec: &Value) -> Option<(u16, String)> {
    let body = spec.to_string();
    request_phase(controller, "POST", "/submissions", body.as_bytes())
}

/// Submits a new job, with retries until it is accepted. Returns its phase.
pub fn submit_accepted(controller: &str, spec: &Value) -> String {
    wait_for("acceptance of the job", || {
        let (status, phase) = submit_for_phase(controller, spec)?;
        (status == 201).then_some(phase)
    })
}

/// Cancels a job. Returns the HTTP status and the job's phase.
pub fn cancel(controller: &str, id: &str) -> Option<(u16, String)> {
    let path = format!("/submissions/{id}/withdraw");
    request_phase(controller, "POST", &path, b"")
}

/// Cancels a job. Returns the HTTP status and the response body.
pub fn cancel_response(controller: &str, id: &str) -> Option<(u16, Value)> {
    let path = format!("/submissions/{id}/withdraw");
    http(controller, "POST", &path, b"")
}

/// Cancels a job, with retries until the controller confirms the cancellation. Returns the job's phase.
pub fn cancel_confirmed(controller: &str, id: &str) -> String {
    wait_for("the cancellation", || {
        let (status, phase) = cancel(controller, id)?;
        (status == 200).then_some(phase)
    })
}

/// Returns the phase of a job, or None if the response has another status than 200.
pub fn phase(controller: &str, id: &str) -> Option<String> {
    let path = format!("/submissions/{id}");
    let (status, phase) = request_phase(controller, "GET", &path, b"")?;
    (status == 200).then_some(phase)
}

/// Waits until the controller returns a phase of the job. Returns the phase.
pub fn wait_for_any_phase(controller: &str, id: &str) -> String {
    wait_for("a phase of the job", || phase(controller, id))
}

/// Waits until the controller returns the expected phase of the job.
pub fn wait_for_phase(controller: &str, id: &str, expected: &str) {
    wait_for(&format!("{id} {expected}"), || {
        phase(controller, id).filter(|phase| phase == expected)
    });
}

/// Returns the worker status of a machine that the cloud doesn't list and that has no task attempts.
pub fn unknown_machine_status(machine: &str, sequence_number: u64) -> Value {
    json!({"host": machine, "endpoint": "127.0.0.1:1", "rig": "box", "site": "a",
        "loaners": false, "tenure": 1, "tick": sequence_number, "baton": 0, "recallS": null, "pieces": []})
}

/// Sends a heartbeat of a machine that the cloud doesn't list. Returns the HTTP status and the fencing token of the
/// response.
pub fn heartbeat(controller: &str, sequence_number: u64) -> Option<(u16, u64)> {
    let status = unknown_machine_status("host-900000", sequence_number).to_string();
    let (status, body) = http(controller, "POST", "/checkin", status.as_bytes())?;
    Some((status, body["baton"].as_u64().unwrap_or(0)))
}
