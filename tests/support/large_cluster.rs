//! The recorded state and the worker statuses of a large cluster whose GPUs are all in use, as a new leader finds them.

use super::machine_type::machine_type;
use chalklug::coordination::leadership::recovery::RecoveredState;
use chalklug::coordination::OpenJob;
use chalklug::ids::*;
use chalklug::protocol::state::KeyValue;
use chalklug::protocol::users::parse_submission;
use chalklug::protocol::workers::{TaskPhase, TaskStatus, WorkerStatus};
use chalklug::storage::records::*;
use chalklug::time::Instant;
use std::collections::BTreeMap;

pub const MACHINES: u64 = 4500;
pub const GPUS_PER_MACHINE: u64 = 8;
const MACHINES_PER_JOB: u64 = 10;
const TASKS_PER_JOB: u64 = MACHINES_PER_JOB * GPUS_PER_MACHINE;
/// As many as a leader packs into a page of 4 KiB. Larger pages would be split, which is not tested here.
pub const MACHINES_PER_PAGE: u64 = 38;

fn machine_id(n: u64) -> MachineId {
    MachineId::from(format!("host-{n:06}").as_str())
}

/// Returns a key of the state store with its record.
fn key_value<T: serde::Serialize>(key: String, record: &T) -> KeyValue {
    KeyValue {
        key,
        data: serde_json::to_value(record).unwrap(),
        revision: KeyRevision(1),
        lease: None,
    }
}

fn machine_pages() -> Vec<KeyValue> {
    let mut pages: BTreeMap<u64, MachinePage> = BTreeMap::new();
    for n in 0..MACHINES {
        let page = pages.entry(n / MACHINES_PER_PAGE).or_default();
        let kind = MachineKind::new(MachineType::from("box"), Zone::from("a"), false);
        page.kinds = vec![kind];
        let entry = MachineEntry {
            kind: 0,
            rented_s: 0,
            has_reported: true,
            images: vec![],
        };
        page.machines.insert(machine_id(n), entry);
    }
    let pages = pages.iter();
    pages
        .map(|(n, page)| key_value(machine_page_key(PageNumber(*n as u32)), page))
        .collect()
}

/// Returns the record of the n-th of the jobs that use all GPUs.
fn running_job(n: u64) -> OpenJobRecord {
    let body = serde_json::json!({"ref": format!("wk-{n:06}"), "jobclass": "c", "crew": "blue", "shape": "array",
        "urgency": "normal", "pieces": TASKS_PER_JOB, "cpus": 1, "gpus": 1, "ramGb": 1, "bundle": "i",
        "pullGb": 1, "together": false, "scatter": false, "loaners": false, "guessS": 50,
        "markEveryS": 0, "markCostS": 0});
    open_job_record(&body)
}

/// Returns the open job record of a submission with that body.
pub fn open_job_record(body: &serde_json::Value) -> OpenJobRecord {
    OpenJobRecord {
        spec: parse_submission(body.to_string().as_bytes()).unwrap().spec,
        accepted_at_ms: 0,
        upstream_jobs: Vec::new(),
        dependency_pages: 0,
    }
}

/// Returns a page with the launch intents of the n-th job's tasks.
fn intent_page(n: u64, record: &OpenJobRecord) -> KeyValue {
    let job = &record.spec.id;
    let mut page = IntentPage::default();
    for index in 0..TASKS_PER_JOB {
        let task = TaskId::parse(&format!("{job}/{index}")).unwrap();
        let machine = n * MACHINES_PER_JOB + index / GPUS_PER_MACHINE;
        page.add(&machine_id(machine), &task, AttemptId(7));
    }
    page.jobs
        .insert(job.clone(), JobResources::of(&record.spec));
    key_value(intent_page_key(PageNumber(n as u32)), &page)
}

/// Returns the state that a new leader reads from the state store: every GPU of every machine runs a task.
pub fn recovered_state() -> RecoveredState {
    let records: Vec<OpenJobRecord> = (0..MACHINES / MACHINES_PER_JOB).map(running_job).collect();
    let intents = (0..).zip(&records);
    RecoveredState {
        intent_pages: intents.map(|(n, record)| intent_page(n, record)).collect(),
        open_jobs: records
            .into_iter()
            .map(|record| OpenJob {
                record,
                revision: KeyRevision(1),
                submitted_at: Instant(0),
            })
            .collect(),
        machine_pages: machine_pages(),
        machine_types: vec![machine_type(GPUS_PER_MACHINE as f64)],
        ..RecoveredState::default()
    }
}

/// Returns the status of the n-th machine's worker, on which the first `ended` tasks have ended and the others run.
pub fn status(n: u64, sequence_number: u64, token: u64, ended: usize) -> WorkerStatus {
    let tasks = (0..GPUS_PER_MACHINE).map(|t| {
        let ends = (t as usize) < ended;
        TaskStatus {
            task: TaskId::parse(&format!(
                "wk-{:06}/{}",
                n / MACHINES_PER_JOB,
                (n % MACHINES_PER_JOB) * GPUS_PER_MACHINE + t
            ))
            .unwrap(),
            attempt_id: AttemptId(7),
            phase: if ends {
                TaskPhase::Ended
            } else {
                TaskPhase::Running
            },
            cause: ends.then_some(chalklug::protocol::workers::Cause::Done),
            checkpoint_saved: false,
        }
    });
    WorkerStatus {
        machine_id: machine_id(n),
        endpoint: format!("10.1.{}.{}:9000", n / 250, n % 250),
        machine_type: MachineType::from("box"),
        zone: Zone::from("a"),
        spot: false,
        session: Session(1),
        sequence_number: SequenceNumber(sequence_number),
        token: FencingToken(token),
        preemption_notice_s: None,
        tasks: tasks.collect(),
    }
}
