//! The state and the workers of a large cluster, as a former leader left them.

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
/// As many as a leader puts on a page of 4 KiB: fuller ones would be split, which is not tested here.
pub const MACHINES_PER_PAGE: u64 = 38;

fn machine_id(n: u64) -> MachineId {
    MachineId::from(format!("host-{n:06}").as_str())
}

/// An item of the state store as it was before the failover.
fn item<T: serde::Serialize>(key: String, record: &T) -> KeyValue {
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
        .map(|(n, page)| item(machine_page_key(PageNumber(*n as u32)), page))
        .collect()
}

/// The n-th of the jobs that fill all GPUs.
fn running_job(n: u64) -> OpenJobRecord {
    let body = serde_json::json!({"ref": format!("wk-{n:06}"), "jobclass": "c", "crew": "blue", "shape": "array",
        "urgency": "normal", "pieces": TASKS_PER_JOB, "cpus": 1, "gpus": 1, "ramGb": 1, "bundle": "i",
        "pullGb": 1, "together": false, "scatter": false, "loaners": false, "guessS": 50,
        "markEveryS": 0, "markCostS": 0});
    open_job_record(&body)
}

pub fn open_job_record(body: &serde_json::Value) -> OpenJobRecord {
    OpenJobRecord {
        spec: parse_submission(body.to_string().as_bytes()).unwrap().spec,
        accepted_at_ms: 0,
        upstream_jobs: Vec::new(),
        dependency_pages: 0,
    }
}

/// The launch intents of the n-th job's tasks.
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
    item(intent_page_key(PageNumber(n as u32)), &page)
}

/// The state that a former leader left: every GPU of all machines runs a task.
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

/// The status of the n-th machine, on which so many of its tasks have ended.
pub fn status(n: u64, tick: u64, token: u64, ended: usize) -> WorkerStatus {
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
        sequence_number: SequenceNumber(tick),
        token: FencingToken(token),
        preemption_notice_s: None,
        tasks: tasks.collect(),
    }
}
