//! Tests of the checker: it detects a violation of each rule.

use super::checker::{Attempt, Checker, Limits, MachineInfo, Rule, UserResponse};
use super::starvation::WaitingJobs;
use super::world::{MachineKind, SimulatedJob, WorkerTimes, World};
use chalklug::ids::JobId;
use chalklug::protocol::users::{parse_submission, JobSpec};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const LEASE: Duration = Duration::from_secs(5);

/// Returns a checker that knows machines in zones a and b, and a job with these extra or replaced fields.
fn checker(extra_fields: Value) -> (Checker, Instant) {
    let now = Instant::now();
    let limits = Limits {
        cancel_timeout: Duration::from_secs(10),
        max_gpus: BTreeMap::from([("blue".to_owned(), 2.0)]),
    };
    let mut checker = Checker::new(limits, now);
    for (machine, zone) in [("m-a", "a"), ("m-b", "b"), ("m-b2", "b")] {
        let info = MachineInfo {
            machine_type: "box".into(),
            zone: zone.into(),
            spot: zone == "b",
            lease_until: now + LEASE,
        };
        checker.machine_up(machine, info);
    }
    let mut spec = json!({"ref": "wk-1", "jobclass": "c", "crew": "blue", "shape": "array", "urgency": "normal",
        "pieces": 3, "cpus": 1, "gpus": 1, "ramGb": 1, "bundle": "i", "pullGb": 1, "together": false,
        "scatter": false, "loaners": true, "guessS": 5, "markEveryS": 0, "markCostS": 0});
    for (field, value) in extra_fields
        .as_object()
        .expect("extra fields are not an object")
    {
        spec[field] = value.clone();
    }
    let submission = parse_submission(spec.to_string().as_bytes()).expect("invalid submission");
    checker.job_submitted(submission.spec);
    (checker, now)
}

fn attempt(index: u32, machine: &str) -> Attempt {
    Attempt {
        job: "wk-1".into(),
        index,
        attempt_id: 7,
        machine: machine.into(),
    }
}

fn response(now: Instant, after_ms: u64, status: u16, phase: &str) -> UserResponse<'_> {
    let sent_at = now + Duration::from_millis(after_ms);
    UserResponse {
        sent_at,
        received_at: sent_at + Duration::from_millis(1),
        status,
        phase,
    }
}

fn rules(checker: &Checker) -> Vec<Rule> {
    checker.violations.iter().map(|v| v.rule).collect()
}

#[test]
fn checker_sees_a_task_on_two_machines() {
    let (mut checker, now) = checker(json!({}));
    checker.task_started(now, &attempt(0, "m-a"));
    checker.task_started(now, &attempt(0, "m-b"));
    assert_eq!(rules(&checker), [Rule::RanTwice]);
}

#[test]
fn checker_sees_no_second_start_once_the_first_lease_is_over() {
    let (mut checker, now) = checker(json!({}));
    checker.task_started(now, &attempt(0, "m-a"));
    let later = now + LEASE + Duration::from_millis(1);
    checker.lease_renewed("m-b", later + LEASE);
    checker.task_started(later, &attempt(0, "m-b"));
    assert_eq!(rules(&checker), []);
}

#[test]
fn checker_sees_a_team_above_its_limit() {
    let (mut checker, now) = checker(json!({}));
    for index in 0..3 {
        checker.task_started(now, &attempt(index, "m-a"));
    }
    assert_eq!(rules(&checker), [Rule::Quota]);
}

/// Returns the specification of a job of one task, for use as an upstream job.
fn upstream_spec(checker: &Checker) -> JobSpec {
    let mut spec = checker.spec("wk-1").expect("wk-1 is unknown").clone();
    spec.id = JobId::from("wk-2");
    spec.tasks = 1;
    spec
}

#[test]
fn checker_sees_a_task_started_before_its_upstream_job() {
    let (mut checker, now) = checker(json!({}));
    let upstream = upstream_spec(&checker);
    checker.job_submitted(upstream);
    checker.depends_on("wk-1", &["wk-2".to_owned()]);
    checker.task_started(now, &attempt(0, "m-a"));
    assert_eq!(rules(&checker), [Rule::TooEarly]);
    checker.task_completed(&Attempt {
        job: "wk-2".into(),
        ..attempt(0, "m-b")
    });
    checker.task_started(now, &attempt(1, "m-a"));
    assert_eq!(rules(&checker), [Rule::TooEarly]);
}

#[test]
fn checker_sees_tasks_in_the_wrong_place() {
    let cases = [
        (json!({"site": "a"}), vec!["m-b"]),
        (json!({"rigs": ["other"]}), vec!["m-a"]),
        (json!({"loaners": false}), vec!["m-b"]),
        (json!({"together": true}), vec!["m-a", "m-b"]),
        (json!({"scatter": true, "pieces": 2}), vec!["m-b", "m-b2"]),
    ];
    for (extra_fields, machines) in cases {
        let (mut checker, now) = checker(extra_fields.clone());
        for (index, machine) in machines.iter().enumerate() {
            checker.task_started(now, &attempt(index as u32, machine));
        }
        assert_eq!(rules(&checker), [Rule::WrongPlace], "{extra_fields}");
    }
}

#[test]
fn checker_sees_a_cancelled_job_running() {
    let (mut checker, now) = checker(json!({}));
    checker.task_started(now, &attempt(0, "m-a"));
    checker.cancel_requested("wk-1");
    checker.check_response("wk-1", response(now, 0, 200, "aborted"));
    let late = now + Duration::from_secs(12);
    checker.lease_renewed("m-a", late);
    checker.check_cancelled_jobs(now + Duration::from_secs(9));
    assert_eq!(rules(&checker), []);
    checker.check_cancelled_jobs(late);
    checker.check_cancelled_jobs(late);
    assert_eq!(rules(&checker), [Rule::RanCancelled]);
}

#[test]
fn checker_sees_wrong_answers() {
    let cases: [(&[(u16, &str)], Rule); 6] = [
        (&[(201, "queued"), (404, "")], Rule::Forgotten),
        (&[(201, "queued"), (422, "")], Rule::Forgotten),
        (&[(201, "queued"), (200, "done")], Rule::NotDone),
        (&[(201, "queued"), (200, "aborted")], Rule::WentBack),
        (&[(200, "aborted"), (200, "running")], Rule::WentBack),
        (&[(200, "aborted"), (200, "done")], Rule::WentBack),
    ];
    for (number, (answers, rule)) in cases.into_iter().enumerate() {
        let (mut checker, now) = checker(json!({}));
        if number > 3 {
            checker.cancel_requested("wk-1");
        }
        for (n, (status, phase)) in answers.iter().enumerate() {
            checker.check_response("wk-1", response(now, 100 * n as u64, *status, phase));
        }
        assert_eq!(rules(&checker), [rule], "{answers:?}");
    }
}

#[test]
fn checker_sees_an_invented_job() {
    let (mut checker, now) = checker(json!({}));
    checker.check_response("wk-2", response(now, 0, 200, "queued"));
    assert_eq!(rules(&checker), [Rule::Invented]);
}

#[test]
fn checker_sees_jobs_left_waiting_and_that_nothing_ran() {
    let (mut checker, now) = checker(json!({}));
    checker.check_response("wk-1", response(now, 0, 201, "queued"));
    checker.check_at_end(now);
    assert_eq!(rules(&checker), [Rule::NothingRan, Rule::LeftWaiting]);
}

/// Returns a world in which job 1 waits beside a machine with free capacity for it.
fn world_with_waiting_job() -> (World, Instant) {
    let (checker, now) = checker(json!({}));
    let times = WorkerTimes {
        lease: LEASE,
        gang_wait_timeout: LEASE,
        gang_peer_timeout: LEASE,
    };
    let mut world = World::new(times, checker);
    let kind = MachineKind {
        machine_type: "box",
        zone: "a",
        spot: false,
        cpus: 8.0,
        gpus: 8.0,
        ram_gb: 8.0,
    };
    world.machine_up(now, "m-a", kind, String::new());
    let spec = world.checker.spec("wk-1").expect("wk-1 is unknown").clone();
    let job = SimulatedJob {
        spec,
        run_time: LEASE,
        fetch_time: LEASE,
    };
    world.submit(job);
    world
        .checker
        .check_response("wk-1", response(now, 0, 201, "queued"));
    (world, now)
}

/// Longer than a startable job may wait.
const TOO_LONG: Duration = Duration::from_secs(19);

/// Reports a job once if it waits for too long while a machine has free capacity, but not if the job needs more GPUs
/// than its team's limit.
#[test]
fn checker_sees_a_job_that_waits_beside_room_for_it() {
    let (mut world, now) = world_with_waiting_job();
    let mut waiting = WaitingJobs::default();
    assert!(waiting.find_starved(now, &world).is_empty());
    let later = now + TOO_LONG;
    assert_eq!(waiting.find_starved(later, &world), ["wk-1"]);
    assert!(
        waiting.find_starved(later, &world).is_empty(),
        "reported twice"
    );
    let too_large = world.jobs.get_mut("wk-1").expect("wk-1 is unknown");
    too_large.spec.gpus = 3.0;
    let mut waiting = WaitingJobs::default();
    waiting.find_starved(now, &world);
    assert!(
        waiting.find_starved(later, &world).is_empty(),
        "reported above the team's limit"
    );
}

/// Reports no job that waits for its upstream job, and reports it once that is done.
#[test]
fn checker_sees_no_starvation_before_the_upstream_job_is_done() {
    let (mut world, now) = world_with_waiting_job();
    let upstream = upstream_spec(&world.checker);
    world.checker.job_submitted(upstream);
    world.checker.depends_on("wk-1", &["wk-2".to_owned()]);
    let mut waiting = WaitingJobs::default();
    let later = now + TOO_LONG;
    waiting.find_starved(now, &world);
    assert!(waiting.find_starved(later, &world).is_empty());
    world.checker.task_completed(&Attempt {
        job: "wk-2".into(),
        ..attempt(0, "m-b")
    });
    waiting.find_starved(later, &world);
    assert_eq!(waiting.find_starved(later + TOO_LONG, &world), ["wk-1"]);
}
