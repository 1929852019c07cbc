//! Jobs that depend on others, submitted to real processes over the protocol.

use super::client::*;
use super::cluster::{Cluster, ClusterOptions, Ticks};
use serde_json::{json, Value};
use std::time::Duration;

/// Longer than any test.
const RUNS_FOR_EVER: Duration = Duration::from_secs(600);

/// What may stand in `waitsOn`, and what is answered otherwise.
#[test]
fn invalid_upstream_lists_are_rejected() {
    let cluster = Cluster::start("dependency-lists");
    cluster.worker_log.set_run_time(RUNS_FOR_EVER);
    submit_accepted(&cluster.fronts[0], &job("wk-000001", 1));
    check_malformed_lists(&cluster);
    check_short_lists(&cluster);
    check_repeats_with_other_lists(&cluster);
    check_more_than_are_read_one_by_one(&cluster);
    check_more_than_one_record_has_room_for(&cluster);
}

fn check_malformed_lists(cluster: &Cluster) {
    let front = &cluster.fronts[0];
    for malformed in [
        json!("wk-000001"),
        json!({"a": "wk-000001"}),
        json!([7]),
        json!(["job-1"]),
        json!([null]),
    ] {
        let spec = downstream_job("wk-000010", 1, malformed);
        assert_eq!(submit(front, &spec), Some(400), "{spec}");
    }
    for unknown in [json!(["wk-000001", "wk-000999"]), json!(["wk-000010"])] {
        let spec = downstream_job("wk-000010", 1, unknown);
        assert_eq!(submit(front, &spec), Some(422), "{spec}");
    }
}

/// No list, an empty one, and one that names a job twice, accepted a moment ago by another controller.
fn check_short_lists(cluster: &Cluster) {
    for (id, none) in [("wk-000020", json!(null)), ("wk-000021", json!([]))] {
        let spec = downstream_job(id, 1, none);
        assert_eq!(submit(&cluster.fronts[0], &spec), Some(201));
    }
    let spec = downstream_job("wk-000011", 1, json!(["wk-000001", "wk-000001"]));
    assert_eq!(submit(&cluster.fronts[1], &spec), Some(201));
}

/// A known job is known, whatever the list says now.
fn check_repeats_with_other_lists(cluster: &Cluster) {
    let unknown = downstream_job("wk-000011", 1, json!(["wk-000001", "wk-000999"]));
    assert_eq!(submit(&cluster.fronts[2], &unknown), Some(200));
    let itself = downstream_job("wk-000011", 1, json!(["wk-000011"]));
    assert_eq!(submit(&cluster.fronts[0], &itself), Some(200));
}

fn submit_all(front: &str, ids: &[String]) {
    for id in ids {
        submit_accepted(front, &job(id, 1));
    }
}

fn check_more_than_are_read_one_by_one(cluster: &Cluster) {
    let ids: Vec<String> = (0..40).map(|n| format!("wk-0005{n:02}")).collect();
    submit_all(&cluster.fronts[0], &ids);
    let mut with_unknown = ids.clone();
    with_unknown.push("wk-000998".into());
    let spec = downstream_job("wk-000012", 1, json!(with_unknown));
    assert_eq!(submit(&cluster.fronts[1], &spec), Some(422));
    let spec = downstream_job("wk-000012", 1, json!(ids));
    assert_eq!(submit_accepted(&cluster.fronts[1], &spec), "queued");
}

/// The names are so long that one record has no room for them all.
fn check_more_than_one_record_has_room_for(cluster: &Cluster) {
    let ids: Vec<String> = (0..150).map(|n| format!("wk-{n:040}")).collect();
    submit_all(&cluster.fronts[0], &ids);
    let spec = downstream_job("wk-000013", 1, json!(ids));
    assert_eq!(submit_accepted(&cluster.fronts[1], &spec), "queued");
    assert_eq!(submit(&cluster.fronts[0], &spec), Some(200));
    assert_eq!(cancel_confirmed(&cluster.fronts[2], &ids[149]), "aborted");
    for front in &cluster.fronts {
        assert_eq!(wait_for_any_phase(front, "wk-000013"), "aborted");
    }
}

/// Each step of a pipeline is launched only when all before it are done, through a change of leaders.
#[test]
fn pipeline_runs_in_order_through_a_failover() {
    let mut cluster = Cluster::start("dependency-order");
    let fronts = cluster.fronts.clone();
    let (leader, _) = cluster.wait_for_leader(&mut Ticks::default());
    submit_accepted(&fronts[0], &job("wk-000001", 3));
    for (front, id, tasks, upstream) in [
        (1, "wk-000002", 4, json!(["wk-000001"])),
        (2, "wk-000003", 2, json!(["wk-000001"])),
        (0, "wk-000004", 2, json!(["wk-000002", "wk-000003"])),
    ] {
        submit_accepted(&fronts[front], &downstream_job(id, tasks, upstream));
    }
    wait_for_phase(&fronts[0], "wk-000001", "done");
    cluster.controllers[leader].kill();
    cluster.controllers[leader].restart();
    wait_for_phase(&fronts[1], "wk-000004", "done");
    // One submitted when all that it needs has ended, one of them long ago.
    let upstream = json!(["wk-000004", "wk-000001"]);
    submit_accepted(&fronts[2], &downstream_job("wk-000005", 1, upstream));
    wait_for_phase(&fronts[0], "wk-000005", "done");
    let launched = cluster.worker_log.launched();
    for (upstream, downstream) in [
        ("wk-000001", "wk-000002"),
        ("wk-000001", "wk-000003"),
        ("wk-000002", "wk-000004"),
        ("wk-000003", "wk-000004"),
        ("wk-000004", "wk-000005"),
    ] {
        assert_launched_in_order(&launched, upstream, downstream);
    }
}

/// All tasks of the one job were launched before any of the other.
fn assert_launched_in_order(launched: &[String], upstream: &str, downstream: &str) {
    let is_of = |task: &String, id: &str| task.split('/').next() == Some(id);
    let last = launched.iter().rposition(|task| is_of(task, upstream));
    let first = launched.iter().position(|task| is_of(task, downstream));
    let (Some(last), Some(first)) = (last, first) else {
        panic!("{upstream} or {downstream} was not launched: {launched:?}");
    };
    assert!(
        last < first,
        "{downstream} before {upstream} ended: {launched:?}"
    );
}

/// From the moment a cancellation is confirmed every controller calls all downstream jobs cancelled, though
/// the leader, which the state store refuses, can't write their terminal records; what is said once stays.
/// (The leader's lease is long, so that no other leads meanwhile.)
#[test]
fn downstream_jobs_are_cancelled_at_once_on_every_controller() {
    let options = ClusterOptions::with_long_leader_lease("dependency-cancel");
    let cluster = Cluster::start_with(&options);
    cluster.worker_log.set_run_time(RUNS_FOR_EVER);
    let (leader, _) = cluster.wait_for_leader(&mut Ticks::default());
    // The leader's own comes last.
    let mut fronts = cluster.fronts.clone();
    fronts.rotate_left((leader + 1) % 3);
    submit_accepted(&fronts[0], &job("wk-000001", 1));
    submit_accepted(&fronts[0], &job("wk-000002", 1));
    let downstream = ["wk-000003", "wk-000004", "wk-000005"];
    for (front, id, upstream) in [
        (1, downstream[0], json!(["wk-000001"])),
        (2, downstream[1], json!(["wk-000003", "wk-000002"])),
        (0, downstream[2], json!(["wk-000004"])),
    ] {
        submit_accepted(&fronts[front], &downstream_job(id, 1, upstream));
    }
    for id in downstream {
        assert_eq!(phase(&fronts[1], id).as_deref(), Some("queued"));
    }
    cluster.store_proxies[leader].refuse(true);
    assert_eq!(cancel_confirmed(&fronts[0], "wk-000001"), "aborted");
    for id in downstream {
        for front in &fronts {
            assert_eq!(wait_for_any_phase(front, id), "aborted", "{id}");
        }
    }
    check_submissions_after_the_cancellation(&fronts);
    cluster.store_proxies[leader].refuse(false);
    check_cancelled_for_good(&fronts);
    let launched = cluster.worker_log.launched();
    let is_downstream = |task: &&String| downstream.iter().any(|id| task.starts_with(id));
    assert_eq!(launched.iter().find(is_downstream), None);
}

/// The last controller is the leader, which the state store refuses: it forwards submissions to its peers.
fn check_submissions_after_the_cancellation(fronts: &[String]) {
    let downstream = |id: &str, upstream: Value| downstream_job(id, 1, upstream);
    let late = downstream("wk-000006", json!(["wk-000005"]));
    assert_eq!(submit_accepted(&fronts[2], &late), "aborted");
    assert_eq!(submit(&fronts[1], &late), Some(200));
    let forwarded = downstream("wk-000007", json!(["wk-000002"]));
    assert_eq!(submit_accepted(&fronts[2], &forwarded), "queued");
    let forwarded = downstream("wk-000008", json!(["wk-000005"]));
    assert_eq!(submit_accepted(&fronts[2], &forwarded), "aborted");
}

fn check_cancelled_for_good(fronts: &[String]) {
    for id in ["wk-000004", "wk-000006"] {
        assert_eq!(cancel_confirmed(&fronts[2], id), "aborted");
        assert_eq!(phase(&fronts[0], id).as_deref(), Some("aborted"));
    }
    assert_ne!(phase(&fronts[0], "wk-000002").as_deref(), Some("aborted"));
}

/// A cancellation that is answered with `done` leaves downstream jobs alone.
#[test]
fn cancelling_a_done_job_leaves_downstream_jobs_alone() {
    let cluster = Cluster::start_with(&ClusterOptions {
        controllers: 1,
        ..ClusterOptions::new("dependency-done")
    });
    let front = &cluster.fronts[0];
    submit_accepted(front, &job("wk-000001", 1));
    let downstream = downstream_job("wk-000002", 1, json!(["wk-000001"]));
    submit_accepted(front, &downstream);
    wait_for_phase(front, "wk-000001", "done");
    assert_eq!(cancel_confirmed(front, "wk-000001"), "done");
    wait_for_phase(front, "wk-000002", "done");
}
