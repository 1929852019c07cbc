//! What the version before chains reads and writes, frozen here as it was: while both versions run, each
//! reads, lists and rewrites what the other has written.
//!
//! These types are a record of that version and never change with the code.

use chalklug::ids::*;
use chalklug::protocol::cloud::MachineTypeList;
use chalklug::protocol::peers::{PeerReply, PeerRequest};
use chalklug::protocol::users::{parse_submission, JobPhase};
use chalklug::resources::Resources;
use chalklug::storage::records;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OpenRecord {
    spec: JobSpec,
    at_ms: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    after: Vec<String>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct JobSpec {
    #[serde(rename = "ref")]
    id: String,
    jobclass: String,
    crew: String,
    shape: String,
    urgency: String,
    pieces: u32,
    cpus: f64,
    gpus: f64,
    #[serde(rename = "ramGb")]
    ram_gb: f64,
    bundle: String,
    #[serde(rename = "pullGb")]
    image_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    rigs: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    site: Option<String>,
    together: bool,
    scatter: bool,
    loaners: bool,
    #[serde(rename = "guessS")]
    guess_s: f64,
    #[serde(rename = "markEveryS")]
    checkpoint_s: f64,
    #[serde(rename = "markCostS")]
    save_s: f64,
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    due_s: Option<f64>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FinalRecord {
    phase: String,
    pieces: u32,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct LeadRecord {
    host_name: String,
    baton: u64,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct JobTakes(String, f64, f64, f64);

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct IntentsPage {
    starts: BTreeMap<u64, BTreeMap<String, BTreeMap<String, Vec<u32>>>>,
    jobs: BTreeMap<String, JobTakes>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    placed_s: BTreeMap<u64, u64>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct HostNote(usize, u64, bool, Vec<usize>);

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct HostsPage {
    kinds: Vec<(String, String, bool)>,
    images: Vec<(String, f64)>,
    hosts: BTreeMap<String, HostNote>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OldPeerRequest {
    Hello,
    Forward {
        method: String,
        path: String,
        body: Vec<u8>,
    },
    Counts {
        jobs: Vec<(String, u32, u32)>,
    },
    Cancelled {
        jobs: Vec<(String, u32)>,
    },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OldPeerReply {
    Hello {
        state_ok: bool,
        workers_heard_ms: Option<i64>,
    },
    Answer {
        status: u16,
        body: Vec<u8>,
    },
    Noted,
}

/// Production reads what today's code writes.
fn old_reads<New: Serialize, Old: DeserializeOwned>(new: &New) -> Old {
    let written = serde_json::to_value(new).expect("it can be written");
    serde_json::from_value(written).expect("production reads it")
}

/// Today's code reads what production writes, and writes back the same.
fn new_keeps<New: Serialize + DeserializeOwned>(old: &impl Serialize) -> New {
    let written: Value = serde_json::to_value(old).expect("it can be written");
    let read: New = serde_json::from_value(written.clone()).expect("today's code reads it");
    assert_eq!(serde_json::to_value(&read).expect("written back"), written);
    read
}

fn body() -> Value {
    json!({"ref":"wk-000412","jobclass":"train","crew":"vision","shape":"gang","urgency":"urgent","pieces":16,
        "cpus":8.0,"gpus":1.0,"ramGb":64.0,"bundle":"img-07","pullGb":6.2,"rigs":["g8"],"site":"a","together":true,
        "scatter":false,"loaners":true,"guessS":240.0,"markEveryS":30.0,"markCostS":4.0,"dueS":900.0,
        "waitsOn":["wk-000398","wk-000405"]})
}

#[test]
fn open_job_records_stay_compatible() {
    let submission = parse_submission(body().to_string().as_bytes()).expect("a submission");
    for after in [submission.upstream_jobs, Vec::new()] {
        let record = records::OpenJobRecord {
            spec: submission.spec.clone(),
            accepted_at_ms: 5,
            upstream_jobs: after.clone(),
            dependency_pages: 0,
        };
        let old: OpenRecord = old_reads(&record);
        let names: Vec<String> = after.iter().map(ToString::to_string).collect();
        assert_eq!((old.at_ms, &old.after), (5, &names));
        assert_eq!((old.spec.pieces, old.spec.due_s), (16, Some(900.0)));
        let back: records::OpenJobRecord = new_keeps(&old);
        assert_eq!(
            (back.spec, back.upstream_jobs),
            (record.spec, record.upstream_jobs)
        );
    }
}

#[test]
fn terminal_records_stay_compatible() {
    for (phase, name) in [(JobPhase::Done, "done"), (JobPhase::Cancelled, "aborted")] {
        for done_at_ms in [None, Some(1_700_000_000_000)] {
            let record = records::TerminalRecord {
                phase,
                tasks: 16,
                done_at_ms,
            };
            let old: FinalRecord = old_reads(&record);
            assert_eq!((old.phase.as_str(), old.pieces), (name, 16));
            let back: records::TerminalRecord = new_keeps(&old);
            assert_eq!((back.phase, back.done_at_ms), (phase, None));
        }
    }
}

#[test]
fn leader_record_stays_compatible() {
    let record = records::LeaderRecord {
        host_name: "n0".into(),
        token: FencingToken(41),
    };
    let old: LeadRecord = old_reads(&record);
    assert_eq!((old.host_name.as_str(), old.baton), ("n0", 41));
    let back: records::LeaderRecord = new_keeps(&old);
    assert_eq!(back.token, FencingToken(41));
}

#[test]
fn intent_and_machine_pages_stay_compatible() {
    let job = JobId::from("wk-000412");
    let machine_id = MachineId::from("host-000231");
    let mut page = records::IntentPage::default();
    let task = TaskId::parse("wk-000412/4").expect("a task");
    page.add(&machine_id, &task, AttemptId(9));
    let takes = records::JobResources {
        team: "vision".into(),
        request: Resources {
            cpus: 8.0,
            gpus: 1.0,
            ram_gb: 64.0,
        },
    };
    page.jobs.insert(job, takes);
    page.placed_s.insert(AttemptId(9), 1_700_000_000);
    let old: IntentsPage = old_reads(&page);
    assert_eq!(old.starts[&9]["wk-000412"]["host-000231"], [4]);
    assert_eq!(old.placed_s[&9], 1_700_000_000);
    let back: records::IntentPage = new_keeps(&old);
    assert_eq!(back.attempts, page.attempts);

    let mut machines = records::MachinePage {
        kinds: vec![records::MachineKind::new(
            MachineType::from("g8"),
            Zone::from("a"),
            true,
        )],
        images: vec![(Image::from("img-07"), 6.2)],
        ..records::MachinePage::default()
    };
    let entry = records::MachineEntry {
        kind: 0,
        rented_s: 1_700_000_000,
        has_reported: true,
        images: vec![0],
    };
    machines.machines.insert(machine_id, entry);
    let old: HostsPage = old_reads(&machines);
    assert_eq!(
        old.hosts["host-000231"],
        HostNote(0, 1_700_000_000, true, vec![0])
    );
    let back: records::MachinePage = new_keeps(&old);
    assert_eq!(back.machines, machines.machines);
}

/// The name of a message.
fn variant(message: &impl std::fmt::Debug) -> String {
    let text = format!("{message:?}");
    let name = text.split(' ').next();
    name.unwrap_or_default().to_string()
}

/// Messages between controllers describe nothing of themselves: both versions must lay them out alike.
#[test]
fn peer_messages_stay_compatible() {
    let job = JobId::from("wk-1");
    let requests = [
        PeerRequest::Hello,
        PeerRequest::Forward {
            method: "POST".into(),
            path: "/submissions".into(),
            body: vec![1, 2],
        },
        PeerRequest::Counts {
            jobs: vec![(job.clone(), 3, 300)],
        },
        PeerRequest::Cancelled {
            jobs: vec![(job, 16)],
        },
    ];
    for request in requests {
        let sent = postcard::to_stdvec(&request).expect("it can be sent");
        let old: OldPeerRequest = postcard::from_bytes(&sent).expect("production reads it");
        assert_eq!(postcard::to_stdvec(&old).expect("sent back"), sent);
        assert_eq!(variant(&old), variant(&request));
    }
    let replies = [
        PeerReply::Hello {
            state_ok: true,
            workers_heard_ms: Some(64),
        },
        PeerReply::Answer {
            status: 503,
            body: vec![9],
        },
        PeerReply::Noted,
    ];
    for reply in replies {
        let sent = postcard::to_stdvec(&reply).expect("it can be sent");
        let old: OldPeerReply = postcard::from_bytes(&sent).expect("production reads it");
        assert_eq!(format!("{old:?}"), format!("{reply:?}"));
    }
}

/// The copy of the machine types that leaders of either version keep for all controllers.
#[test]
fn machine_types_stay_compatible() {
    let stored = json!({"rigs": [{"sku": "g8", "cpus": 96.0, "gpus": 8.0, "ramGb": 768.0, "localGb": 200.0,
        "fetchGbPerS": 1.0, "hourly": 12.0, "marketPrice": 4.5, "bootS": 45.0, "sites": ["a", "b"]}]});
    let list: MachineTypeList = serde_json::from_value(stored.clone()).expect("it is read");
    assert_eq!(list.machine_types[0].zones, ["a", "b"].map(Zone::from));
    let written = serde_json::to_value(&list).expect("it is written");
    assert_eq!(written, stored);
}
