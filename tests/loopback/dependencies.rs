//! Jobs with dependencies, submitted to controller processes over the published protocol.

use super::client::*;
use super::cluster::{Cluster, ClusterOptions, SequenceNumbers};
use serde_json::{json, Value};
use std::time::Duration;

/// Longer than any test runs, so that no task ends by itself.
const UNBOUNDED_RUN_TIME: Duration = Duration::from_secs(600);

/// Valid values of `waitsOn` are accepted, and others are rejected with status 400 or 422.
#[test]
fn invalid_upstream_lists_are_rejected() {
    let cluster = Cluster::start("dependency-lists");
    cluster.worker_log.set_run_time(UNBOUNDED_RUN_TIME);
    submit_accepted(&cluster.http_addrs[0], &job_spec("wk-000001", 1));
    check_malformed_lists(&cluster);
    check_empty_and_duplicate_lists(&cluster);
    check_resubmissions_with_other_lists(&cluster);
    check_many_upstream_jobs(&cluster);
    check_upstream_list_larger_than_one_record(&cluster);
}

fn check_malformed_lists(cluster: &Cluster) {
    let http_addr = &cluster.http_addrs[0];
    for malformed in [
        json!("wk-000001"),
        json!({"a": "wk-000001"}),
        json!([7]),
        json!(["job-1"]),
        json!([null]),
    ] {
        let spec = downstream_spec("wk-000010", 1, malformed);
        assert_eq!(submit(http_addr, &spec), Some(400), "{spec}");
    }
    for unknown in [json!(["wk-000001", "wk-000999"]), json!(["wk-000010"])] {
        let spec = downstream_spec("wk-000010", 1, unknown);
        assert_eq!(submit(http_addr, &spec), Some(422), "{spec}");
    }
}

/// Submits without a list, with an empty list, and with a list that contains a job twice which another controller has
/// just accepted.
fn check_empty_and_duplicate_lists(cluster: &Cluster) {
    for (id, none) in [("wk-000020", json!(null)), ("wk-000021", json!([]))] {
        let spec = downstream_spec(id, 1, none);
        assert_eq!(submit(&cluster.http_addrs[0], &spec), Some(201));
    }
    let spec = downstream_spec("wk-000011", 1, json!(["wk-000001", "wk-000001"]));
    assert_eq!(submit(&cluster.http_addrs[1], &spec), Some(201));
}

/// A repeated submission of an accepted job succeeds, whatever its list of upstream jobs contains.
fn check_resubmissions_with_other_lists(cluster: &Cluster) {
    let unknown = downstream_spec("wk-000011", 1, json!(["wk-000001", "wk-000999"]));
    assert_eq!(submit(&cluster.http_addrs[2], &unknown), Some(200));
    let itself = downstream_spec("wk-000011", 1, json!(["wk-000011"]));
    assert_eq!(submit(&cluster.http_addrs[0], &itself), Some(200));
}

fn submit_all(http_addr: &str, ids: &[String]) {
    for id in ids {
        submit_accepted(http_addr, &job_spec(id, 1));
    }
}

/// More upstream jobs than a controller reads with single requests.
fn check_many_upstream_jobs(cluster: &Cluster) {
    let ids: Vec<String> = (0..40).map(|n| format!("wk-0005{n:02}")).collect();
    submit_all(&cluster.http_addrs[0], &ids);
    let mut with_unknown = ids.clone();
    with_unknown.push("wk-000998".into());
    let spec = downstream_spec("wk-000012", 1, json!(with_unknown));
    assert_eq!(submit(&cluster.http_addrs[1], &spec), Some(422));
    let spec = downstream_spec("wk-000012", 1, json!(ids));
    assert_eq!(submit_accepted(&cluster.http_addrs[1], &spec), "queued");
}

/// The upstream job ids are too long to fit into one record of the state store.
fn check_upstream_list_larger_than_one_record(cluster: &Cluster) {
    let ids: Vec<String> = (0..150).map(|n| format!("wk-{n:040}")).collect();
    submit_all(&cluster.http_addrs[0], &ids);
    let spec = downstream_spec("wk-000013", 1, json!(ids));
    assert_eq!(submit_accepted(&cluster.http_addrs[1], &spec), "queued");
    assert_eq!(submit(&cluster.http_addrs[0], &spec), Some(200));
    assert_eq!(
        cancel_confirmed(&cluster.http_addrs[2], &ids[149]),
        "aborted"
    );
    for http_addr in &cluster.http_addrs {
        assert_eq!(wait_for_any_phase(http_addr, "wk-000013"), "aborted");
    }
}

/// The jobs of a pipeline are launched only after all of their upstream jobs are done, also across a failover.
#[test]
fn pipeline_runs_in_order_through_a_failover() {
    let mut cluster = Cluster::start("dependency-order");
    let http_addrs = cluster.http_addrs.clone();
    let (leader, _) = cluster.wait_for_leader(&mut SequenceNumbers::default());
    submit_accepted(&http_addrs[0], &job_spec("wk-000001", 3));
    for (controller, id, tasks, upstream) in [
        (1, "wk-000002", 4, json!(["wk-000001"])),
        (2, "wk-000003", 2, json!(["wk-000001"])),
        (0, "wk-000004", 2, json!(["wk-000002", "wk-000003"])),
    ] {
        submit_accepted(
            &http_addrs[controller],
            &downstream_spec(id, tasks, upstream),
        );
    }
    wait_for_phase(&http_addrs[0], "wk-000001", "done");
    cluster.controllers[leader].kill();
    cluster.controllers[leader].restart();
    wait_for_phase(&http_addrs[1], "wk-000004", "done");
    // A job submitted after all of its upstream jobs have ended, one of them long before.
    let upstream = json!(["wk-000004", "wk-000001"]);
    submit_accepted(&http_addrs[2], &downstream_spec("wk-000005", 1, upstream));
    wait_for_phase(&http_addrs[0], "wk-000005", "done");
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

/// Asserts that all launches of the upstream job precede those of the downstream job.
fn assert_launched_in_order(launched: &[String], upstream: &str, downstream: &str) {
    let belongs_to = |task: &String, id: &str| task.split('/').next() == Some(id);
    let last = launched.iter().rposition(|task| belongs_to(task, upstream));
    let first = launched
        .iter()
        .position(|task| belongs_to(task, downstream));
    let (Some(last), Some(first)) = (last, first) else {
        panic!("{upstream} or {downstream} was not launched: {launched:?}");
    };
    assert!(
        last < first,
        "{downstream} was launched before {upstream} was done: {launched:?}"
    );
}

/// Once a cancellation is confirmed, every controller reports all downstream jobs as cancelled, and keeps doing so,
/// even while the leader can't write their terminal records because the state store refuses its requests. The
/// leader's lease is long, so that no other controller takes over meanwhile.
#[test]
fn downstream_jobs_are_cancelled_at_once_on_every_controller() {
    let options = ClusterOptions::with_long_leader_lease("dependency-cancel");
    let cluster = Cluster::start_with(&options);
    cluster.worker_log.set_run_time(UNBOUNDED_RUN_TIME);
    let (leader, _) = cluster.wait_for_leader(&mut SequenceNumbers::default());
    // The leader's address comes last.
    let mut http_addrs = cluster.http_addrs.clone();
    http_addrs.rotate_left((leader + 1) % 3);
    submit_accepted(&http_addrs[0], &job_spec("wk-000001", 1));
    submit_accepted(&http_addrs[0], &job_spec("wk-000002", 1));
    let downstream = ["wk-000003", "wk-000004", "wk-000005"];
    for (controller, id, upstream) in [
        (1, downstream[0], json!(["wk-000001"])),
        (2, downstream[1], json!(["wk-000003", "wk-000002"])),
        (0, downstream[2], json!(["wk-000004"])),
    ] {
        submit_accepted(&http_addrs[controller], &downstream_spec(id, 1, upstream));
    }
    for id in downstream {
        assert_eq!(phase(&http_addrs[1], id).as_deref(), Some("queued"));
    }
    cluster.store_proxies[leader].refuse_requests(true);
    assert_eq!(cancel_confirmed(&http_addrs[0], "wk-000001"), "aborted");
    for id in downstream {
        for http_addr in &http_addrs {
            assert_eq!(wait_for_any_phase(http_addr, id), "aborted", "{id}");
        }
    }
    check_submissions_after_cancellation(&http_addrs);
    cluster.store_proxies[leader].refuse_requests(false);
    check_cancellations_persist(&http_addrs);
    let launched = cluster.worker_log.launched();
    let is_downstream = |task: &&String| downstream.iter().any(|id| task.starts_with(id));
    assert_eq!(launched.iter().find(is_downstream), None);
}

/// The last address is that of the leader, whose requests the state store refuses: it forwards submissions to its
/// peers.
fn check_submissions_after_cancellation(http_addrs: &[String]) {
    let downstream = |id: &str, upstream: Value| downstream_spec(id, 1, upstream);
    let late = downstream("wk-000006", json!(["wk-000005"]));
    assert_eq!(submit_accepted(&http_addrs[2], &late), "aborted");
    assert_eq!(submit(&http_addrs[1], &late), Some(200));
    let forwarded = downstream("wk-000007", json!(["wk-000002"]));
    assert_eq!(submit_accepted(&http_addrs[2], &forwarded), "queued");
    let forwarded = downstream("wk-000008", json!(["wk-000005"]));
    assert_eq!(submit_accepted(&http_addrs[2], &forwarded), "aborted");
}

fn check_cancellations_persist(http_addrs: &[String]) {
    for id in ["wk-000004", "wk-000006"] {
        assert_eq!(cancel_confirmed(&http_addrs[2], id), "aborted");
        assert_eq!(phase(&http_addrs[0], id).as_deref(), Some("aborted"));
    }
    assert_ne!(
        phase(&http_addrs[0], "wk-000002").as_deref(),
        Some("aborted")
    );
}

/// Cancelling a job that is already done doesn't cancel its downstream jobs.
#[test]
fn cancelling_a_done_job_leaves_downstream_jobs_alone() {
    let cluster = Cluster::start_with(&ClusterOptions {
        controllers: 1,
        ..ClusterOptions::new("dependency-done")
    });
    let http_addr = &cluster.http_addrs[0];
    submit_accepted(http_addr, &job_spec("wk-000001", 1));
    let downstream = downstream_spec("wk-000002", 1, json!(["wk-000001"]));
    submit_accepted(http_addr, &downstream);
    wait_for_phase(http_addr, "wk-000001", "done");
    assert_eq!(cancel_confirmed(http_addr, "wk-000001"), "done");
    wait_for_phase(http_addr, "wk-000002", "done");
}

/// Submits a job for each id, several at a time and at all controllers.
fn submit_concurrently(http_addrs: &[String], ids: &[String], spec: impl Fn(&str) -> Value + Sync) {
    const JOBS_PER_THREAD: usize = 2;
    let spec = &spec;
    std::thread::scope(|scope| {
        for (http_addr, ids) in http_addrs.iter().cycle().zip(ids.chunks(JOBS_PER_THREAD)) {
            scope.spawn(move || {
                for id in ids {
                    submit_accepted(http_addr, &spec(id));
                }
            });
        }
    });
}

/// Guards against a leader whose view of the open jobs gets too old while it reads many new dependency lists.
#[test]
fn leader_keeps_its_authority_while_it_reads_many_new_dependency_lists() {
    const REQUESTS_PER_SEC: f64 = 40.0;
    const DOWNSTREAM_JOBS: usize = 300;
    /// The leader's view may be this old with the `cancel_secs` below.
    const VIEW_LIFETIME: Duration = Duration::from_secs(3);
    let cluster = Cluster::start_with(&ClusterOptions {
        store_requests_per_sec: REQUESTS_PER_SEC,
        cancel_secs: 25.0,
        ..ClusterOptions::new("new-dependency-lists")
    });
    cluster.worker_log.set_run_time(UNBOUNDED_RUN_TIME);
    let http_addrs = cluster.http_addrs.clone();
    let mut sequence_numbers = SequenceNumbers::default();
    let leader = cluster.wait_for_leader(&mut sequence_numbers);
    let upstream: Vec<String> = (0..90).map(|n| format!("wk-{n:040}")).collect();
    submit_concurrently(&http_addrs, &upstream, |id| job_spec(id, 1));
    // The users' ids come in no order, so that few lists are adjacent in the state store.
    let downstream: Vec<String> = (0..DOWNSTREAM_JOBS)
        .map(|n| format!("wk-7{:05}", n * 7_919 % 100_000))
        .collect();
    submit_concurrently(&http_addrs, &downstream, |id| {
        downstream_spec(id, 1, json!(upstream))
    });
    let last = &downstream[DOWNSTREAM_JOBS - 1];
    assert_eq!(wait_for_any_phase(&http_addrs[0], last), "queued");
    std::thread::sleep(VIEW_LIFETIME * 2);
    assert_eq!(cluster.wait_for_leader(&mut sequence_numbers), leader);
}

/// Guards against a failover that never completes: with more dependency lists than requests a second, each refused read made
/// it start again.
#[test]
fn failover_reads_more_dependency_lists_than_requests_a_second() {
    const REQUESTS_PER_SEC: f64 = 40.0;
    const UPSTREAM_JOBS: usize = 90;
    const DOWNSTREAM_JOBS: usize = 120;
    let mut cluster = Cluster::start_with(&ClusterOptions {
        store_requests_per_sec: REQUESTS_PER_SEC,
        ..ClusterOptions::new("long-dependency-lists")
    });
    cluster.worker_log.set_run_time(UNBOUNDED_RUN_TIME);
    let http_addrs = cluster.http_addrs.clone();
    // Ids as long as these need two pages for each list.
    let upstream: Vec<String> = (0..UPSTREAM_JOBS).map(|n| format!("wk-{n:040}")).collect();
    submit_concurrently(&http_addrs, &upstream, |id| job_spec(id, 1));
    let downstream = (0..DOWNSTREAM_JOBS).map(|n| format!("wk-7{n:05}"));
    let downstream: Vec<String> = downstream.collect();
    submit_concurrently(&http_addrs, &downstream, |id| {
        downstream_spec(id, 1, json!(upstream))
    });
    cluster.state_store.limit_requests(REQUESTS_PER_SEC);
    for controller in &mut cluster.controllers {
        controller.kill();
    }
    for controller in &mut cluster.controllers {
        controller.restart();
    }
    cluster.wait_for_leader(&mut SequenceNumbers::default());
    for http_addr in &http_addrs {
        for id in [&downstream[0], &downstream[DOWNSTREAM_JOBS - 1]] {
            assert_eq!(wait_for_any_phase(http_addr, id), "queued");
        }
    }
}
