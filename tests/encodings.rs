//! Encodings of stored records and peer messages, compared with example bytes. During an upgrade, controllers of two
//! versions run at the same time: a rename in the code or a new field must not change what the other version reads.

use chalklug::coordination::autoscaler::hints::Hints;
use chalklug::ids::*;
use chalklug::protocol::peers::{PeerReply, PeerRequest};
use chalklug::protocol::users::{parse_submission, JobPhase};
use chalklug::resources::Resources;
use chalklug::storage::records::*;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Asserts that the record serializes to the example JSON, and that the example is unchanged when read and written back.
fn assert_json_encoding<T: Serialize + DeserializeOwned>(record: &T, example: &str) {
    assert_eq!(serde_json::to_string(record).unwrap(), example);
    let back: T = serde_json::from_str(example).expect("the example can be read");
    assert_eq!(serde_json::to_string(&back).unwrap(), example);
}

/// Asserts the same of a peer message and its bytes.
fn assert_postcard_encoding<T: Serialize + DeserializeOwned>(message: &T, example: &[u8]) {
    assert_eq!(postcard::to_stdvec(message).unwrap(), example);
    let back: T = postcard::from_bytes(example).expect("the example can be read");
    assert_eq!(postcard::to_stdvec(&back).unwrap(), example);
}

#[test]
fn keys_are_unchanged() {
    let job = JobId::from("wk-000412");
    assert_eq!(open_job_key(&job), "o/wk-000412");
    assert_eq!(terminal_key(&job), "f/wk-000412");
    let progress_key = ProgressKey {
        job: job.clone(),
        chunk: 3,
    };
    assert_eq!(progress_key.to_string(), "p/wk-000412/3");
    assert_eq!(intent_page_key(PageNumber(7)), "i/7");
    assert_eq!(machine_page_key(PageNumber(7)), "h/7");
    assert_eq!(
        (LEADER_KEY, FENCING_TOKEN_KEY, CATALOG_KEY, HINTS_KEY),
        ("lead", "baton", "catalog", "hints")
    );
    assert_eq!(
        ProgressKey::parse("p/wk-000412/3"),
        Some(progress_key.clone())
    );
    let read_back = [
        (LEADER_KEY, RecordKey::Leader),
        (FENCING_TOKEN_KEY, RecordKey::FencingToken),
        (CATALOG_KEY, RecordKey::Catalog),
        (HINTS_KEY, RecordKey::Hints),
        ("o/wk-000412", RecordKey::OpenJob(job.clone())),
        ("f/wk-000412", RecordKey::Terminal(job)),
        ("e/wk-000412", RecordKey::Dependencies),
        ("e/wk-000412/2", RecordKey::Dependencies),
        ("p/wk-000412/3", RecordKey::Progress(progress_key)),
        ("i/7", RecordKey::IntentPage(PageNumber(7))),
        ("h/7", RecordKey::MachinePage(PageNumber(7))),
    ];
    for (key, record_key) in read_back {
        assert_eq!(RecordKey::parse(key), Some(record_key));
    }
    for other in [
        "",
        "leader",
        "x/7",
        "i/",
        "i/wk-000412",
        "p/wk-000412",
        "p/x/3",
    ] {
        assert_eq!(RecordKey::parse(other), None, "{other}");
    }
}

#[test]
fn leader_and_job_records_are_unchanged() {
    let leader = LeaderRecord {
        host_name: "chalkbox-2".into(),
        token: FencingToken(41),
    };
    assert_json_encoding(&leader, r#"{"host_name":"chalkbox-2","baton":41}"#);
    let text = concat!(
        r#"{"ref":"wk-000412","jobclass":"train","crew":"vision","shape":"standing","urgency":"production","#,
        r#""pieces":2,"cpus":8.0,"gpus":1.0,"ramGb":64.0,"bundle":"img-07","pullGb":6.2,"rigs":["g8"],"site":"a","#,
        r#""together":true,"scatter":false,"loaners":true,"guessS":240.0,"markEveryS":30.0,"markCostS":4.0,"dueS":900.0}"#
    );
    let open = OpenJobRecord {
        spec: parse_submission(text.as_bytes()).unwrap().spec,
        accepted_at_ms: 1_700_000_000_123,
        upstream_jobs: vec![JobId::from("wk-000001")],
        dependency_pages: 0,
    };
    let example = format!(r#"{{"spec":{text},"at_ms":1700000000123,"after":["wk-000001"]}}"#);
    assert_json_encoding(&open, &example);
    let without_upstream_jobs = format!(r#"{{"spec":{text},"at_ms":5}}"#);
    assert_json_encoding(
        &OpenJobRecord {
            accepted_at_ms: 5,
            upstream_jobs: Vec::new(),
            ..open
        },
        &without_upstream_jobs,
    );
    let done = TerminalRecord {
        phase: JobPhase::Done,
        tasks: 16,
        done_at_ms: None,
    };
    assert_json_encoding(&done, r#"{"phase":"done","pieces":16}"#);
    let with_time = TerminalRecord {
        done_at_ms: Some(7),
        ..done
    };
    assert_json_encoding(&with_time, r#"{"phase":"done","pieces":16,"at_ms":7}"#);
    let cancelled = TerminalRecord::cancelled(16);
    assert_json_encoding(&cancelled, r#"{"phase":"aborted","pieces":16}"#);
}

/// `Hints` (arrival rates and run times) has no constructor that takes values, so the example is read and written back.
#[test]
fn hints() {
    let job = concat!(
        r#"{"ref":"wk-000412","jobclass":"train","crew":"vision","shape":"array","urgency":"normal","#,
        r#""pieces":2,"cpus":8.0,"gpus":1.0,"ramGb":64.0,"bundle":"img-07","pullGb":6.2,"rigs":["g8"],"#,
        r#""together":true,"scatter":false,"loaners":true,"guessS":240.0,"markEveryS":30.0,"markCostS":4.0}"#
    );
    let example = format!(
        r#"{{"observed":{{"train":{{"ran_s":61.5,"guessed_s":60.0,"count":3,"longer":0.25}}}},"demand":{{"train":[0.75,12.5,{job}]}}}}"#
    );
    let record: Hints = serde_json::from_str(&example).expect("the example can be read");
    assert_json_encoding(&record, &example);
    assert_json_encoding(&Hints::default(), r#"{"observed":{},"demand":{}}"#);
    let empty: Hints = serde_json::from_str("{}").expect("every part may be missing");
    assert_eq!(
        serde_json::to_string(&empty).unwrap(),
        r#"{"observed":{},"demand":{}}"#
    );
}

#[test]
fn progress_records_are_unchanged() {
    let mut set = CompletedTasks::new(20);
    for task in [0, 3, 17] {
        set.insert(task);
    }
    assert_eq!(set.encode_chunk(0), "CQAC");
    let mut back = CompletedTasks::new(20);
    back.load_chunk(0, "CQAC");
    assert_eq!((back.count(), back.contains(17)), (3, true));
}

#[test]
fn launch_intent_pages_are_unchanged() {
    let mut page = IntentPage::default();
    let machine_id = MachineId::from("host-000231");
    for index in [0, 4] {
        let task = TaskId {
            job: JobId::from("wk-000412"),
            index,
        };
        page.add(&machine_id, &task, AttemptId(9));
    }
    let job_resources = JobResources {
        team: "vision".into(),
        request: Resources {
            cpus: 8.0,
            gpus: 1.0,
            ram_gb: 64.0,
        },
    };
    page.jobs.insert(JobId::from("wk-000412"), job_resources);
    let without_times = concat!(
        r#"{"starts":{"9":{"wk-000412":{"host-000231":[0,4]}}},"#,
        r#""jobs":{"wk-000412":["vision",8.0,1.0,64.0]}}"#
    );
    assert_json_encoding(&page, without_times);
    page.placed_s.insert(AttemptId(9), 1_700_000_000);
    assert_json_encoding(
        &page,
        concat!(
            r#"{"starts":{"9":{"wk-000412":{"host-000231":[0,4]}}},"#,
            r#""jobs":{"wk-000412":["vision",8.0,1.0,64.0]},"placed_s":{"9":1700000000}}"#
        ),
    );
}

#[test]
fn machine_pages_are_unchanged() {
    let mut page = MachinePage {
        kinds: vec![MachineKind::new(
            MachineType::from("g8"),
            Zone::from("a"),
            true,
        )],
        images: vec![(Image::from("img-07"), 6.2)],
        ..MachinePage::default()
    };
    let entry = MachineEntry {
        kind: 0,
        rented_s: 1_700_000_000,
        has_reported: true,
        images: vec![0],
    };
    page.machines.insert(MachineId::from("host-000231"), entry);
    assert_json_encoding(
        &page,
        concat!(
            r#"{"kinds":[["g8","a",true]],"images":[["img-07",6.2]],"#,
            r#""hosts":{"host-000231":[0,1700000000,true,[0]]}}"#
        ),
    );
}

#[test]
fn peer_messages_are_unchanged() {
    assert_postcard_encoding(&PeerRequest::Hello, &[0]);
    let forward = PeerRequest::Forward {
        method: "GET".into(),
        path: "/x".into(),
        body: vec![7, 8],
    };
    assert_postcard_encoding(&forward, &[1, 3, b'G', b'E', b'T', 2, b'/', b'x', 2, 7, 8]);
    let job = JobId::from("wk-1");
    let counts = PeerRequest::Counts {
        jobs: vec![(job.clone(), 3, 300)],
    };
    assert_postcard_encoding(&counts, &[2, 1, 4, b'w', b'k', b'-', b'1', 3, 0xac, 2]);
    let cancelled = PeerRequest::Cancelled {
        jobs: vec![(job, 16)],
    };
    assert_postcard_encoding(&cancelled, &[3, 1, 4, b'w', b'k', b'-', b'1', 16]);
    let hello = PeerReply::Hello {
        state_ok: true,
        workers_heard_ms: Some(64),
    };
    assert_postcard_encoding(&hello, &[0, 1, 1, 0x80, 1]);
    let answer = PeerReply::Answer {
        status: 503,
        body: vec![9],
    };
    assert_postcard_encoding(&answer, &[1, 0xf7, 3, 1, 9]);
    assert_postcard_encoding(&PeerReply::Noted, &[2]);
}

/// Guards against lost dependencies: a list of upstream jobs that is too long for the open job record is split into
/// pages, each within the size limit, and no entry is lost.
#[test]
fn dependency_pages_are_unchanged() {
    let body = serde_json::json!({"ref":"wk-1","jobclass":"c","crew":"t","shape":"array","urgency":"low","pieces":1,
        "cpus":1,"gpus":0,"ramGb":1,"bundle":"i","pullGb":1,"together":false,"scatter":false,"loaners":false,
        "guessS":1,"markEveryS":0,"markCostS":0});
    let spec = parse_submission(body.to_string().as_bytes()).unwrap().spec;
    let upstream_jobs: Vec<JobId> = (0..4600)
        .map(|n| JobId::from(format!("wk-{n:06}").as_str()))
        .collect();
    let mut record = OpenJobRecord {
        spec,
        accepted_at_ms: 5,
        upstream_jobs: upstream_jobs.clone(),
        dependency_pages: 0,
    };
    assert_eq!(
        record.clone().move_dependencies_to_pages(100_000),
        Ok(vec![])
    );
    assert_eq!(
        record.clone().move_dependencies_to_pages(200),
        Err(RecordTooLarge { max_bytes: 200 })
    );
    let pages = record.move_dependencies_to_pages(1800).unwrap();
    assert_eq!(record.dependency_pages as usize, pages.len());
    assert!(serde_json::to_string(&record).unwrap().len() <= 1800);
    for page in &pages {
        assert!(serde_json::to_string(page).unwrap().len() <= 1800);
    }
    let all_pages: Vec<JobId> = pages.into_iter().flatten().collect();
    assert_eq!(all_pages, upstream_jobs);
}
