//! Checks that a controller rejects each kind of invalid request with the right status.

use super::client::{job_spec, submit};
use super::http::http;
use serde_json::{json, Value};

const JOB: &str = "wk-000777";
const KNOWN_JOB: &str = "wk-000776";

fn spec_with(field: &str, value: Value) -> Value {
    let mut spec = job_spec(JOB, 1);
    spec[field] = value;
    spec
}

fn spec_without(field: &str) -> Value {
    let mut spec = job_spec(JOB, 1);
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
        spec_without("crew"),
        spec_without("pieces"),
        spec_with("ref", json!("job-1")),
        spec_with("ref", json!(7)),
        spec_with("pieces", json!(0)),
        spec_with("pieces", json!(100_001)),
        spec_with("pieces", json!(1.5)),
        spec_with("pieces", json!(-1)),
        spec_with("cpus", json!(-1.0)),
        spec_with("gpus", json!("1")),
        spec_with("shape", json!("ring")),
        spec_with("urgency", json!("very")),
        spec_with("together", json!(null)),
        spec_with("guessS", json!(null)),
        spec_with("dueS", json!(-5)),
        spec_with("rigs", json!("box")),
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
    let mut gang = job_spec(JOB, 30);
    gang["shape"] = json!("gang");
    let unsatisfiable = [
        spec_with("crew", json!("nobody")),
        spec_with("gpus", json!(3.0)),
        spec_with("rigs", json!([])),
        spec_with("site", json!("z")),
        gang,
    ];
    for spec in unsatisfiable {
        assert_eq!(submit(controller, &spec), Some(422), "{spec}");
    }
}

/// A repeated submission of an accepted job succeeds, even if its body is invalid.
fn check_repeated_submissions(controller: &str) {
    assert_eq!(submit(controller, &job_spec(KNOWN_JOB, 1)), Some(201));
    let mut repeat = job_spec(KNOWN_JOB, 1);
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
