//! What users and an unknown machine ask of a controller, and waiting for conditions.

use super::http::http;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// A generous end of every wait: outcomes are asserted, not times.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls until there is a value; panics if none comes.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if let Some(value) = poll() {
            return value;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("never came: {what}");
}

/// A job of that many tasks, as a user submits it.
pub fn job(id: &str, tasks: u32) -> Value {
    json!({"ref": id, "jobclass": "any", "crew": "blue", "shape": "array", "urgency": "normal", "pieces": tasks,
        "cpus": 1.0, "gpus": 1.0, "ramGb": 4.0, "bundle": "img", "pullGb": 1.0, "rigs": null, "site": null,
        "together": false, "scatter": false, "loaners": false, "guessS": 1.0, "markEveryS": 0.0, "markCostS": 0.0, "dueS": null})
}

/// A job that depends on the `upstream` ones.
pub fn downstream_job(id: &str, tasks: u32, upstream: Value) -> Value {
    let mut spec = job(id, tasks);
    spec["waitsOn"] = upstream;
    spec
}

/// The status and the phase that a request about a job is answered with.
fn request_phase(controller: &str, method: &str, path: &str, body: &[u8]) -> Option<(u16, String)> {
    let (status, body) = http(controller, method, path, body)?;
    let phase = body["phase"].as_str().unwrap_or_default().to_owned();
    Some((status, phase))
}

/// Submits a job: the status.
pub fn submit(controller: &str, spec: &Value) -> Option<u16> {
    submit_for_phase(controller, spec).map(|(status, _)| status)
}

/// Submits a job: the status and the phase.
pub fn submit_for_phase(controller: &str, spec: &Value) -> Option<(u16, String)> {
    let body = spec.to_string();
    request_phase(controller, "POST", "/submissions", body.as_bytes())
}

/// Submits a new job until it is accepted: its phase.
pub fn submit_accepted(controller: &str, spec: &Value) -> String {
    wait_for("the job's acceptance", || {
        let (status, phase) = submit_for_phase(controller, spec)?;
        (status == 201).then_some(phase)
    })
}

/// Cancels a job: the status and the phase.
pub fn cancel(controller: &str, id: &str) -> Option<(u16, String)> {
    let path = format!("/submissions/{id}/withdraw");
    request_phase(controller, "POST", &path, b"")
}

/// Cancels a job: the status and the whole body.
pub fn cancel_response(controller: &str, id: &str) -> Option<(u16, Value)> {
    let path = format!("/submissions/{id}/withdraw");
    http(controller, "POST", &path, b"")
}

/// Cancels a job until a controller confirms it: its phase.
pub fn cancel_confirmed(controller: &str, id: &str) -> String {
    wait_for("the cancellation", || {
        let (status, phase) = cancel(controller, id)?;
        (status == 200).then_some(phase)
    })
}

/// The phase of a job, if the controller tells one.
pub fn phase(controller: &str, id: &str) -> Option<String> {
    let path = format!("/submissions/{id}");
    let (status, phase) = request_phase(controller, "GET", &path, b"")?;
    (status == 200).then_some(phase)
}

/// Waits until the controller tells any phase.
pub fn wait_for_any_phase(controller: &str, id: &str) -> String {
    wait_for("a phase", || phase(controller, id))
}

/// Waits until the controller tells that phase.
pub fn wait_for_phase(controller: &str, id: &str, expected: &str) {
    wait_for(&format!("{id} {expected}"), || {
        phase(controller, id).filter(|phase| phase == expected)
    });
}

/// The status of a machine that nobody rented, with nothing on it.
pub fn unknown_machine_status(machine: &str, tick: u64) -> Value {
    json!({"host": machine, "endpoint": "127.0.0.1:1", "rig": "box", "site": "a",
        "loaners": false, "tenure": 1, "tick": tick, "baton": 0, "recallS": null, "pieces": []})
}

/// A heartbeat of a machine that nobody rented: the status and the fencing token of the response.
pub fn heartbeat(controller: &str, tick: u64) -> Option<(u16, u64)> {
    let status = unknown_machine_status("host-900000", tick).to_string();
    let (status, body) = http(controller, "POST", "/checkin", status.as_bytes())?;
    Some((status, body["baton"].as_u64().unwrap_or(0)))
}
