//! The messages of each protocol under the protocol's own field names, and how unknown values are read.

use chalklug::ids::*;
use chalklug::protocol::cloud::{CloudPhase, MachineListPage};
use chalklug::protocol::peers::{PeerReply, PeerRequest};
use chalklug::protocol::state::{Change, Precondition, Transaction, WatchResponse};
use chalklug::protocol::users::{parse_submission, Priority, Shape};
use chalklug::protocol::workers::{Cause, Command, HeartbeatResponse, TaskPhase, WorkerStatus};
use serde_json::json;

fn submission() -> serde_json::Value {
    json!({"ref":"wk-000412","jobclass":"train","crew":"vision","shape":"standing","urgency":"urgent","pieces":16,
        "cpus":8.0,"gpus":1.0,"ramGb":64.0,"bundle":"img-07","pullGb":6.2,"rigs":["g8"],"site":"a","together":true,
        "scatter":false,"loaners":true,"guessS":240.0,"markEveryS":30.0,"markCostS":4.0,"dueS":900.0})
}

#[test]
fn submission_round_trips() {
    let body = submission();
    let spec = parse_submission(body.to_string().as_bytes()).unwrap().spec;
    assert_eq!(
        (spec.shape, spec.priority),
        (Shape::Service, Priority::Urgent)
    );
    assert_eq!(serde_json::to_value(&spec).unwrap(), body);
    let mut without_optional = body.clone();
    for optional in ["rigs", "site", "dueS"] {
        without_optional.as_object_mut().unwrap().remove(optional);
    }
    without_optional["unheard_of"] = json!([1, 2]);
    let spec = parse_submission(without_optional.to_string().as_bytes())
        .unwrap()
        .spec;
    assert_eq!(
        (spec.machine_types, spec.zone, spec.deadline_s),
        (None, None, None)
    );
    assert!(Priority::Low < Priority::Normal && Priority::Urgent < Priority::Production);
}

#[test]
fn invalid_submission_keeps_a_readable_id() {
    let bad = parse_submission(br#"{"ref":"wk-000007","pieces":"many"}"#).unwrap_err();
    assert_eq!(bad.id, JobId::parse("wk-000007"));
    for id in ["job-1", "wk-", "wk-1x", "wk-1/2", ""] {
        assert_eq!(JobId::parse(id), None, "{id}");
    }
}

#[test]
fn unknown_values_in_heartbeats_are_read_conservatively() {
    let status: WorkerStatus = serde_json::from_value(
        json!({"host":"host-000231","endpoint":"10.1.0.232:9000","rig":"g8","site":"a",
        "loaners":true,"tenure":1,"tick":88,"baton":41,"recallS":null,"pieces":[
            {"piece":"wk-000412/3","try":2,"phase":"pulling"},
            {"piece":"wk-000412/4","try":2,"phase":"dreaming"},
            {"piece":"wk-000398/0","try":1,"phase":"ended","cause":"mates_gone","stored":true},
            {"piece":"wk-000398/1","try":1,"phase":"ended","cause":"struck_by_lightning"}]}),
    )
    .unwrap();
    let phases: Vec<TaskPhase> = status.tasks.iter().map(|task| task.phase).collect();
    // An unknown phase counts as running, an unknown cause as an error.
    assert_eq!(phases[..2], [TaskPhase::Fetching, TaskPhase::Running]);
    assert_eq!(status.tasks[2].cause, Some(Cause::MatesGone));
    assert_eq!(status.tasks[3].cause, Some(Cause::Error));
    assert!(status.tasks[2].checkpoint_saved && status.token == FencingToken(41));
}

#[test]
fn commands_and_transactions_match_the_protocol() {
    let task = TaskId::parse("wk-000377/1").unwrap();
    let reply = HeartbeatResponse {
        token: FencingToken(41),
        commands: vec![
            Command::Launch {
                task: task.clone(),
                attempt_id: AttemptId(2),
            },
            Command::Stop {
                task: task.clone(),
                attempt_id: AttemptId(1),
                grace_s: 10.0,
            },
            Command::Clear {
                task,
                attempt_id: AttemptId(1),
            },
        ],
    };
    assert_eq!(
        serde_json::to_value(&reply).unwrap(),
        json!({"baton":41,"orders":[{"verb":"launch","piece":"wk-000377/1","try":2},
            {"verb":"stop","piece":"wk-000377/1","try":1,"windDownS":10.0},{"verb":"clear","piece":"wk-000377/1","try":1}]})
    );
    let transaction = Transaction {
        preconditions: vec![Precondition {
            key: "a/b".into(),
            revision: KeyRevision(0),
        }],
        changes: vec![
            Change::Put {
                put_key: "a/b".into(),
                data: json!(1),
                lease: Some(LeaseId(7)),
            },
            Change::put("e".into(), json!({})),
            Change::Delete {
                deleted_key: "c/d".into(),
            },
        ],
    };
    assert_eq!(
        serde_json::to_value(&transaction).unwrap(),
        json!({"guards":[{"key":"a/b","stamp":0}],"apply":[{"put":"a/b","data":1,"hold":7},{"put":"e","data":{}},{"delete":"c/d"}]})
    );
}

#[test]
fn list_and_watch_responses_are_parsed() {
    let page: MachineListPage = serde_json::from_value(
        json!({"hosts":[{"ref":"host-000231","endpoint":"x","rig":"g8","site":"a",
        "loaners":true,"phase":"starting","heldS":61.5}],"hasNext":true}),
    )
    .unwrap();
    assert!(page.has_more && page.machines[0].phase == CloudPhase::Starting);
    let events: WatchResponse = serde_json::from_value(
        json!({"epoch":433,"news":[{"put":"c/9","data":{"x":1},"stamp":433},
        {"delete":"c/d","stamp":432}]}),
    )
    .unwrap();
    assert_eq!(events.events[1].deleted_key.as_deref(), Some("c/d"));
    assert_eq!(events.events[0].put_key.as_deref(), Some("c/9"));
}

#[test]
fn peer_messages_round_trip() {
    let forward = PeerRequest::Forward {
        method: "POST".into(),
        path: "/submissions".into(),
        body: b"{}".to_vec(),
    };
    let bytes = postcard::to_stdvec(&forward).unwrap();
    let back: PeerRequest = postcard::from_bytes(&bytes).unwrap();
    assert!(
        matches!(back, PeerRequest::Forward { method, body, .. } if method == "POST" && body == b"{}")
    );
    let bytes = postcard::to_stdvec(&PeerReply::Hello {
        state_ok: true,
        workers_heard_ms: Some(5),
    })
    .unwrap();
    let back: PeerReply = postcard::from_bytes(&bytes).unwrap();
    assert!(matches!(
        back,
        PeerReply::Hello {
            state_ok: true,
            workers_heard_ms: Some(5)
        }
    ));
}

/// A submission has no upstream jobs if the field is null, absent or empty. Duplicates are dropped, and anything but a
/// list of job ids is malformed.
#[test]
fn upstream_jobs_of_a_submission_are_parsed() {
    let with = |list: serde_json::Value| {
        let mut body = submission();
        body["waitsOn"] = list;
        parse_submission(body.to_string().as_bytes()).map(|s| s.upstream_jobs)
    };
    let none: Vec<JobId> = Vec::new();
    let absent = parse_submission(submission().to_string().as_bytes()).unwrap();
    assert_eq!(absent.upstream_jobs, none);
    assert_eq!(with(json!(null)).unwrap(), none);
    assert_eq!(with(json!([])).unwrap(), none);
    let two = [JobId::from("wk-1"), JobId::from("wk-2")];
    assert_eq!(with(json!(["wk-2", "wk-1", "wk-2"])).unwrap(), two);
    for bad in [
        json!("wk-1"),
        json!({"0": "wk-1"}),
        json!([1]),
        json!(["wk-1", null]),
        json!(["job-1"]),
        json!(true),
    ] {
        let malformed = with(bad.clone()).expect_err("not a list of job ids");
        assert!(
            malformed.reason.starts_with("waitsOn"),
            "{bad}: {}",
            malformed.reason
        );
        assert!(malformed.id.is_some());
    }
}
