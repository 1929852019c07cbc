//! Checks that a controller rejects each kind of invalid request with the right status.

use super::client::{job, submit};
use super::http::http;
use serde_json::{json, Value};

const JOB: &str = "wk-000777";
const KNOWN_JOB: &str = "wk-000776";

fn job_with(field: &str, value: Value) -> Value {
    let mut spec = job(JOB, 1);
    spec[field] = value;
    spec
}

fn job_without(field: &str) -> Value {
    let mut spec = job(JOB, 1);
    spec.as_object_mut()
        .expect("a job specification is an object")
        .remove(field);
    spec
}

/// Runs all checks against one controller.
pub fn check_invalid_requests(controller: &str) {
    check_malformed_submissions(controller);
    check_unreadable_bodies(controller);
    check_unsatisfiable_submissions(controller);
    check_repeated_submissions(controller);
    check_unknown_paths(controller);
    check_wrong_methods(controller);
}

fn check_malformed_submissions(controller: &str) {
    let malformed = [
        json!([1]),
        json!("text"),
        job_without("crew"),
        job_without("pieces"),
        job_with("ref", json!("job-1")),
        job_with("ref", json!(7)),
        job_with("pieces", json!(0)),
        job_with("pieces", json!(100_001)),
        job_with("pieces", json!(1.5)),
        job_with("pieces", json!(-1)),
        job_with("cpus", json!(-1.0)),
        job_with("gpus", json!("1")),
        job_with("shape", json!("ring")),
        job_with("urgency", json!("very")),
        job_with("together", json!(null)),
        job_with("guessS", json!(null)),
        job_with("dueS", json!(-5)),
        job_with("rigs", json!("box")),
    ];
    for spec in malformed {
        assert_eq!(submit(controller, &spec), Some(400), "{spec}");
    }
}

fn check_unreadable_bodies(controller: &str) {
    let post = |body: &[u8]| http(controller, "POST", "/submissions", body).map(|(s, _)| s);
    assert_eq!(post(b"not json"), Some(400));
    assert_eq!(post(br#"{"ref":"wk-1","cpus":1e999}"#), Some(400));
    assert_eq!(post(&vec![b' '; 70_000]), Some(413));
}

/// Jobs that can never run are rejected with status 422.
fn check_unsatisfiable_submissions(controller: &str) {
    let mut gang = job(JOB, 30);
    gang["shape"] = json!("gang");
    let unsatisfiable = [
        job_with("crew", json!("nobody")),
        job_with("gpus", json!(3.0)),
        job_with("rigs", json!([])),
        job_with("site", json!("z")),
        gang,
    ];
    for spec in unsatisfiable {
        assert_eq!(submit(controller, &spec), Some(422), "{spec}");
    }
}

/// A repeated submission of an accepted job succeeds, even if its body is invalid.
fn check_repeated_submissions(controller: &str) {
    assert_eq!(submit(controller, &job(KNOWN_JOB, 1)), Some(201));
    let mut repeat = job(KNOWN_JOB, 1);
    assert_eq!(submit(controller, &repeat), Some(200));
    repeat["crew"] = json!("nobody");
    assert_eq!(submit(controller, &repeat), Some(200));
    repeat["pieces"] = json!(0);
    assert_eq!(submit(controller, &repeat), Some(200));
}

fn status(controller: &str, method: &str, path: &str) -> Option<u16> {
    http(controller, method, path, b"").map(|(status, _)| status)
}

fn check_unknown_paths(controller: &str) {
    let status = |method, path| status(controller, method, path);
    assert_eq!(status("GET", "/submissions/wk-000777"), Some(404));
    assert_eq!(status("GET", "/submissions/nonsense"), Some(404));
    assert_eq!(status("POST", "/submissions/wk-000777/withdraw"), Some(404));
    assert_eq!(status("GET", "/elsewhere"), Some(404));
}

fn check_wrong_methods(controller: &str) {
    let status = |method, path| status(controller, method, path);
    assert_eq!(status("GET", "/submissions"), Some(405));
    assert_eq!(status("POST", "/submissions/wk-000776"), Some(405));
    assert_eq!(status("GET", "/submissions/wk-000776/withdraw"), Some(405));
    assert_eq!(status("POST", "/healthz"), Some(405));
    let heartbeat = http(controller, "POST", "/checkin", b"{}");
    assert_eq!(heartbeat.map(|(status, _)| status), Some(400));
}
