//! Chains of jobs, submitted to real processes over the protocol.

use super::leader;
use super::standins::*;
use serde_json::{json, Value};
use std::sync::atomic::Ordering;

fn waiting_job(id: &str, tasks: u32, producers: Value) -> Value {
    let mut spec = job(id, tasks);
    spec["waitsOn"] = producers;
    spec
}

/// Submits until it is taken; says how it stands.
fn take(front: &str, spec: &Value) -> String {
    let body = spec.to_string();
    wait_for("taken", || {
        let (status, said) = http(front, "POST", "/submissions", body.as_bytes())?;
        (status == 201).then(|| said["phase"].as_str().unwrap_or_default().to_string())
    })
}

fn withdraw(front: &str, id: &str) -> String {
    let path = format!("/submissions/{id}/withdraw");
    wait_for("withdrawn", || {
        let (status, said) = http(front, "POST", &path, b"")?;
        (status == 200).then(|| said["phase"].as_str().unwrap_or_default().to_string())
    })
}

/// What may stand in `waitsOn`, and what is answered otherwise.
#[test]
fn lists_of_producers_are_checked() {
    let c = cluster("chain-lists", 3, 500, None);
    c.seen.run_ms.store(600_000, Ordering::Relaxed);
    let front = &c.fronts[0];
    take(front, &job("wk-000001", 1));
    for bad in [
        json!("wk-000001"),
        json!({"a": "wk-000001"}),
        json!([7]),
        json!(["job-1"]),
        json!([null]),
    ] {
        let spec = waiting_job("wk-000010", 1, bad);
        assert_eq!(submit(front, &spec), Some(400), "{spec}");
    }
    let unknown = json!(["wk-000001", "wk-000999"]);
    let spec = waiting_job("wk-000010", 1, unknown.clone());
    assert_eq!(submit(front, &spec), Some(422));
    let itself = waiting_job("wk-000010", 1, json!(["wk-000010"]));
    assert_eq!(submit(front, &itself), Some(422));
    for (n, none) in [json!(null), json!([])].into_iter().enumerate() {
        let spec = waiting_job(&format!("wk-00002{n}"), 1, none);
        assert_eq!(submit(front, &spec), Some(201));
    }
    // Accepted a moment ago by another controller, and named twice.
    let twice = json!(["wk-000001", "wk-000001"]);
    assert_eq!(
        submit(&c.fronts[1], &waiting_job("wk-000011", 1, twice)),
        Some(201)
    );
    // A known job is known, whatever the list says now.
    assert_eq!(
        submit(&c.fronts[2], &waiting_job("wk-000011", 1, unknown)),
        Some(200)
    );
    let itself = waiting_job("wk-000011", 1, json!(["wk-000011"]));
    assert_eq!(submit(front, &itself), Some(200));
    // More than are read one by one.
    let many: Vec<String> = (0..40).map(|n| format!("wk-0005{n:02}")).collect();
    for id in &many {
        take(front, &job(id, 1));
    }
    let mut named = many.clone();
    named.push("wk-000998".into());
    let spec = waiting_job("wk-000012", 1, json!(named));
    assert_eq!(submit(&c.fronts[1], &spec), Some(422));
    let spec = waiting_job("wk-000012", 1, json!(many));
    assert_eq!(take(&c.fronts[1], &spec), "queued");
    // More than one record has room for: so long are the names.
    let long: Vec<String> = (0..150).map(|n| format!("wk-{n:040}")).collect();
    for id in &long {
        take(front, &job(id, 1));
    }
    let spec = waiting_job("wk-000013", 1, json!(long));
    assert_eq!(take(&c.fronts[1], &spec), "queued");
    assert_eq!(submit(front, &spec), Some(200));
    assert_eq!(withdraw(&c.fronts[2], &long[149]), "aborted");
    for front in &c.fronts {
        let said = wait_for("a state", || phase(front, "wk-000013"));
        assert_eq!(said, "aborted");
    }
}

/// Each step of a pipeline is launched only when all before it are done, through a change of leaders.
#[test]
fn a_pipeline_runs_in_order() {
    let mut c = cluster("chain-order", 3, 500, None);
    let (fronts, seen) = (c.fronts.clone(), c.seen.clone());
    let (first, _) = leader(&c, &mut 0, None);
    take(&fronts[0], &job("wk-000001", 3));
    take(
        &fronts[1],
        &waiting_job("wk-000002", 4, json!(["wk-000001"])),
    );
    take(
        &fronts[2],
        &waiting_job("wk-000003", 2, json!(["wk-000001"])),
    );
    let last = waiting_job("wk-000004", 2, json!(["wk-000002", "wk-000003"]));
    take(&fronts[0], &last);
    wait_for("the first step", || {
        phase(&fronts[0], "wk-000001").filter(|p| p == "done")
    });
    let (config, front) = (c.nodes[first].config.clone(), c.nodes[first].front.clone());
    c.nodes[first].child.kill().expect("killed");
    c.nodes[first].child.wait().expect("ended");
    c.nodes[first] = Node::start(&config, &front);
    wait_for("the last step", || {
        phase(&fronts[1], "wk-000004").filter(|p| p == "done")
    });
    // One submitted when all that it needs is over, and one that needs a job long done.
    take(
        &fronts[2],
        &waiting_job("wk-000005", 1, json!(["wk-000004", "wk-000001"])),
    );
    wait_for("a late step", || {
        phase(&fronts[0], "wk-000005").filter(|p| p == "done")
    });
    let launched = seen.launched.lock().expect("launches").clone();
    let job_of = |task: &String| task.split('/').next().unwrap_or_default().to_string();
    let order: Vec<String> = launched.iter().map(job_of).collect();
    let position = |id: &str, last: bool| {
        let at = |j: &String| j == id;
        let found = match last {
            true => order.iter().rposition(at),
            false => order.iter().position(at),
        };
        found.unwrap_or_else(|| panic!("{id} was not launched"))
    };
    for (producer, consumer) in [
        ("wk-000001", "wk-000002"),
        ("wk-000001", "wk-000003"),
        ("wk-000002", "wk-000004"),
        ("wk-000003", "wk-000004"),
        ("wk-000004", "wk-000005"),
    ] {
        let in_order = position(producer, true) < position(consumer, false);
        assert!(in_order, "{consumer} before {producer} ended: {order:?}");
    }
}

/// From the moment a cancellation is confirmed every controller calls all descendants aborted, though the
/// leader, which the state service refuses, can't write their marks; what is said once stays. (Its lease is
/// long, so that no other leads meanwhile.)
#[test]
fn descendants_are_aborted_at_once_and_everywhere() {
    let long = Some(r#"{"leader_life_ms": 40000}"#);
    let c = cluster_with("chain-cancel", 3, 500, long, 90.0);
    c.seen.run_ms.store(600_000, Ordering::Relaxed);
    let (first, _) = leader(&c, &mut 0, None);
    // The leader's own comes last.
    let mut fronts = c.fronts.clone();
    fronts.rotate_left((first + 1) % 3);
    let fronts = &fronts;
    take(&fronts[0], &job("wk-000001", 1));
    take(&fronts[0], &job("wk-000002", 1));
    take(
        &fronts[1],
        &waiting_job("wk-000003", 1, json!(["wk-000001"])),
    );
    take(
        &fronts[2],
        &waiting_job("wk-000004", 1, json!(["wk-000003", "wk-000002"])),
    );
    take(
        &fronts[0],
        &waiting_job("wk-000005", 1, json!(["wk-000004"])),
    );
    let descendants = ["wk-000003", "wk-000004", "wk-000005"];
    for id in descendants {
        assert_eq!(phase(&fronts[1], id).as_deref(), Some("queued"));
    }
    c.ways[first].refuse(true);
    assert_eq!(withdraw(&fronts[0], "wk-000001"), "aborted");
    for id in descendants {
        for front in fronts {
            let said = wait_for("a state", || phase(front, id));
            assert_eq!(said, "aborted", "{id}");
        }
    }
    // Named when it is submitted: accepted, and aborted.
    let late = waiting_job("wk-000006", 1, json!(["wk-000005"]));
    assert_eq!(take(&fronts[2], &late), "aborted");
    assert_eq!(submit(&fronts[1], &late), Some(200));
    // The one that is refused passes a submission on with its producers.
    let passed_on = waiting_job("wk-000007", 1, json!(["wk-000002"]));
    assert_eq!(take(&fronts[2], &passed_on), "queued");
    let passed_on = waiting_job("wk-000008", 1, json!(["wk-000005"]));
    assert_eq!(take(&fronts[2], &passed_on), "aborted");
    c.ways[first].refuse(false);
    for id in ["wk-000004", "wk-000006"] {
        assert_eq!(withdraw(&fronts[2], id), "aborted");
        assert_eq!(phase(&fronts[0], id).as_deref(), Some("aborted"));
    }
    assert_ne!(phase(&fronts[0], "wk-000002").as_deref(), Some("aborted"));
    let launched = c.seen.launched.lock().expect("launches").clone();
    let of_descendant = |task: &&String| descendants.iter().any(|id| task.starts_with(id));
    assert_eq!(launched.iter().find(of_descendant), None);
}

/// A cancellation that is answered with `done` leaves the jobs after it alone.
#[test]
fn cancelling_a_done_job_cancels_nothing() {
    let c = cluster("chain-done", 1, 500, None);
    let front = &c.fronts[0];
    take(front, &job("wk-000001", 1));
    take(front, &waiting_job("wk-000002", 1, json!(["wk-000001"])));
    wait_for("done", || phase(front, "wk-000001").filter(|p| p == "done"));
    assert_eq!(withdraw(front, "wk-000001"), "done");
    wait_for("done", || phase(front, "wk-000002").filter(|p| p == "done"));
}
