//! Placement constraints across a failover, tested on the scheduler alone: a task starts only where its job allows it,
//! considering every attempt that may still be on a machine.
//!
//! Guards against a task that starts in another zone than the other tasks of a job with zone affinity. A launch intent
//! stays on its page until the page is rewritten, even after its attempt is proven to have ended. With one page that is
//! the next launch; with many pages only the emptiest is rewritten, and stale intents remain. A job lost its machine in
//! zone a and continued in zone b, the leader failed, and the next one recovered the stale intents beside the current
//! ones. It took the job to be in both zones, chose zone a, the first by name, and started the remaining tasks there
//! before a worker had proven that zone a was empty. Launches were not checked again when they were sent, and the
//! machine type, zone and spot flag that a worker reports were not compared with the machine's record.

#[path = "support/leader.rs"]
mod leader;
#[path = "support/machine_type.rs"]
mod machine_type;
#[path = "support/recorded_scheduler.rs"]
mod recorded_scheduler;
#[path = "support/wire_digest.rs"]
mod wire_digest;

use chalklug::coordination::attempts::reconciliation::HeartbeatOutcome;
use chalklug::coordination::leadership::recovery::RecoveredState;
use chalklug::coordination::{Effect, Event, OpenJob};
use chalklug::ids::*;
use chalklug::protocol::state::KeyValue;
use chalklug::protocol::users::parse_submission;
use chalklug::protocol::workers::{Command, TaskPhase, TaskStatus, WorkerStatus};
use chalklug::storage::records::*;
use chalklug::time::{Instant, TimeSpan};
use leader::{policy, term};
use machine_type::machine_type;
use recorded_scheduler::RecordedScheduler;
use std::collections::BTreeMap;

const FORMER_TOKEN: u64 = 8;
const CURRENT_TOKEN: u64 = 9;
const OLD_ATTEMPT: AttemptId = AttemptId(5);
const NEW_ATTEMPT: AttemptId = AttemptId(7);
const START: Instant = Instant(1000);
const STEP: TimeSpan = TimeSpan(100);
const TASKS: u32 = 4;

/// Returns the machine of a zone.
fn machine_in(zone: &str) -> MachineId {
    let number = if zone == "a" { 1 } else { 2 };
    MachineId::from(format!("host-00000{number}").as_str())
}

fn job_id() -> JobId {
    JobId::from("wk-000001")
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: job_id(),
        index,
    }
}

/// Creates the record of a job of four tasks with these additional fields.
fn open_job_record(fields: serde_json::Value) -> OpenJobRecord {
    let mut body = serde_json::json!({"ref": job_id().as_str(), "jobclass": "c", "crew": "blue",
        "shape": "array", "urgency": "normal", "pieces": TASKS, "cpus": 1, "gpus": 1, "ramGb": 1,
        "bundle": "i", "pullGb": 1, "together": false, "scatter": false, "loaners": false,
        "guessS": 50, "markEveryS": 0, "markCostS": 0});
    for (field, value) in fields.as_object().unwrap() {
        body[field] = value.clone();
    }
    OpenJobRecord {
        spec: parse_submission(body.to_string().as_bytes()).unwrap().spec,
        accepted_at_ms: 0,
        upstream_jobs: Vec::new(),
        dependency_pages: 0,
    }
}

fn key_value<T: serde::Serialize>(key: String, data: &T) -> KeyValue {
    KeyValue {
        key,
        data: serde_json::to_value(data).unwrap(),
        revision: KeyRevision(1),
        lease: None,
    }
}

/// Creates a page with one machine in each of the zones a and b.
fn machine_page() -> MachinePage {
    let mut page = MachinePage::default();
    for (kind, zone) in ["a", "b"].into_iter().enumerate() {
        let machine_type = MachineType::from("box");
        page.kinds
            .push(MachineKind::new(machine_type, Zone::from(zone), false));
        let entry = MachineEntry {
            kind,
            rented_s: 0,
            has_reported: true,
            images: vec![],
        };
        page.machines.insert(machine_in(zone), entry);
    }
    page
}

/// Creates a page of launch intents, all with the same attempt id, for the machine of a zone.
fn intents(record: &OpenJobRecord, zone: &str, attempt: AttemptId, indexes: &[u32]) -> IntentPage {
    let mut page = IntentPage::default();
    for index in indexes {
        page.add(&machine_in(zone), &task(*index), attempt);
    }
    page.jobs.insert(job_id(), JobResources::of(&record.spec));
    page
}

/// Creates a new leader that recovers the job, both machines and the intent pages.
fn recover(record: &OpenJobRecord, pages: &[IntentPage]) -> RecordedScheduler {
    let pages = pages.iter().enumerate();
    let recovered = RecoveredState {
        open_jobs: vec![OpenJob {
            record: record.clone(),
            revision: KeyRevision(1),
            submitted_at: Instant(0),
        }],
        machine_pages: vec![key_value(machine_page_key(PageNumber(0)), &machine_page())],
        intent_pages: pages
            .map(|(n, page)| key_value(intent_page_key(PageNumber(n as u32)), page))
            .collect(),
        machine_types: vec![machine_type(8.0)],
        ..RecoveredState::default()
    };
    RecordedScheduler::recover(policy(64.0, 10), term(CURRENT_TOKEN), START, recovered).unwrap()
}

/// The workers of both machines, with the tasks that they run by zone.
struct Workers {
    running: BTreeMap<String, Vec<(u32, AttemptId)>>,
    token: u64,
    sequence_number: u64,
}

impl Workers {
    fn new() -> Workers {
        Workers {
            running: BTreeMap::new(),
            token: FORMER_TOKEN,
            sequence_number: 0,
        }
    }

    fn with_running(mut self, zone: &str, attempt: AttemptId, indexes: &[u32]) -> Workers {
        let tasks = indexes.iter().map(|index| (*index, attempt)).collect();
        self.running.insert(zone.to_owned(), tasks);
        self
    }

    fn status(&mut self, zone: &str) -> WorkerStatus {
        self.sequence_number += 1;
        let listed = |(index, attempt_id): &(u32, AttemptId)| TaskStatus {
            task: task(*index),
            attempt_id: *attempt_id,
            phase: TaskPhase::Running,
            cause: None,
            checkpoint_saved: false,
        };
        let running = self.running.get(zone).into_iter().flatten();
        WorkerStatus {
            machine_id: machine_in(zone),
            endpoint: format!("10.1.0.{}:9000", if zone == "a" { 1 } else { 2 }),
            machine_type: MachineType::from("box"),
            zone: Zone::from(zone),
            spot: false,
            session: Session(1),
            sequence_number: SequenceNumber(self.sequence_number),
            token: FencingToken(self.token),
            preemption_notice_s: None,
            tasks: running.map(listed).collect(),
        }
    }
}

/// Launched tasks: the zone of the machine and the task's index.
type Launches = Vec<(String, u32)>;

fn launches_of(zone: &str, commands: &[Command]) -> Launches {
    let launched = commands.iter().filter_map(|command| match command {
        Command::Launch { task, .. } => Some((zone.to_owned(), task.index)),
        _ => None,
    });
    launched.collect()
}

fn zone_of(machine_id: &MachineId) -> &'static str {
    if *machine_id == machine_in("a") {
        "a"
    } else {
        "b"
    }
}

/// Handles a heartbeat of the machine in the zone. Returns the launches in the response.
fn heartbeat(
    scheduler: &mut RecordedScheduler,
    now: Instant,
    zone: &str,
    status: &WorkerStatus,
) -> Launches {
    match scheduler.heartbeat(now, status) {
        HeartbeatOutcome::Commands(commands) => launches_of(zone, &commands),
        HeartbeatOutcome::Refused => Vec::new(),
    }
}

/// Runs this many steps and applies every transaction. Returns the launches in pushed commands.
fn settle(scheduler: &mut RecordedScheduler, from: Instant, steps: i64) -> Launches {
    let mut launches = Vec::new();
    for step in 0..steps {
        let now = from + TimeSpan(STEP.0 * step);
        for effect in scheduler.step(now) {
            match effect {
                Effect::Write { request_id, .. } => {
                    scheduler.write_applied(now, request_id, StoreRevision(100 + request_id.0));
                }
                Effect::Push {
                    machine_id,
                    commands,
                    ..
                } => launches.extend(launches_of(zone_of(&machine_id), &commands)),
                _ => {}
            }
        }
    }
    launches
}

/// Tasks 0 and 1 run in zone b, and stale intents of an ended attempt in zone a are still on record. No further task of
/// the job starts until the worker in zone a has proven the zone empty; then the others start in zone b.
#[test]
fn job_that_may_be_in_two_zones_starts_nothing_until_one_is_proven_empty() {
    let job = open_job_record(serde_json::json!({"together": true}));
    let stale = intents(&job, "a", OLD_ATTEMPT, &[0, 1]);
    let current = intents(&job, "b", NEW_ATTEMPT, &[0, 1]);
    let mut scheduler = recover(&job, &[stale, current]);
    let mut workers = Workers::new().with_running("b", NEW_ATTEMPT, &[0, 1]);
    let mut launches = Vec::new();
    // The worker statuses still carry the former leader's fencing token, so they prove nothing.
    for zone in ["a", "b"] {
        let status = workers.status(zone);
        launches.extend(heartbeat(&mut scheduler, START, zone, &status));
    }
    launches.extend(settle(&mut scheduler, START, 20));
    assert_eq!(launches, [], "zone a is not proven empty");
    workers.token = CURRENT_TOKEN;
    let now = START + TimeSpan(2_000);
    for zone in ["a", "b"] {
        let status = workers.status(zone);
        launches.extend(heartbeat(&mut scheduler, now, zone, &status));
    }
    launches.extend(settle(&mut scheduler, now, 20));
    launches.sort();
    assert_eq!(launches, [("b".to_owned(), 2), ("b".to_owned(), 3)]);
    scheduler.audit().unwrap();
}

/// Tasks of a job are placed in one zone when a worker in the other zone reports a running task of the job. Guards
/// against launching the placed tasks nevertheless.
#[test]
fn planned_launch_is_withheld_when_its_job_turns_out_to_be_in_another_zone() {
    let job = open_job_record(serde_json::json!({"together": true}));
    let mut scheduler = recover(&job, &[]);
    let mut workers = Workers::new();
    workers.token = CURRENT_TOKEN;
    let first = workers.status("a");
    heartbeat(&mut scheduler, START, "a", &first);
    // The tasks are placed in zone a, the only one whose machine has sent a heartbeat; the intents are not durable yet.
    let mut unwritten = Vec::new();
    for step in 0..5 {
        let now = START + TimeSpan(STEP.0 * step);
        let writes = scheduler.step(now).into_iter();
        unwritten.extend(writes.filter_map(|effect| match effect {
            Effect::Write { request_id, .. } => Some(request_id),
            _ => None,
        }));
    }
    assert!(!unwritten.is_empty(), "the tasks are placed");
    let mut workers = workers.with_running("b", NEW_ATTEMPT, &[0]);
    let now = START + TimeSpan(500);
    let contradiction = workers.status("b");
    heartbeat(&mut scheduler, now, "b", &contradiction);
    for request_id in unwritten {
        scheduler.write_applied(now, request_id, StoreRevision(100 + request_id.0));
    }
    let mut launches = settle(&mut scheduler, now, 3);
    let next = workers.status("a");
    launches.extend(heartbeat(&mut scheduler, now, "a", &next));
    let in_zone_a = launches.iter().filter(|(zone, _)| zone == "a").count();
    assert_eq!(in_zone_a, 0, "task 0 runs in zone b: {launches:?}");
}

/// A worker that reports another zone, machine type or spot flag than its machine's record gets no launch.
#[test]
fn machine_whose_worker_contradicts_its_record_gets_no_launch() {
    type Contradiction = fn(&mut WorkerStatus);
    let contradictions: [Contradiction; 3] = [
        |status| status.zone = Zone::from("b"),
        |status| status.machine_type = MachineType::from("other"),
        |status| status.spot = true,
    ];
    for contradict in contradictions {
        let job = open_job_record(serde_json::json!({"site": "a", "rigs": ["box"]}));
        let mut scheduler = recover(&job, &[]);
        let mut workers = Workers::new();
        workers.token = CURRENT_TOKEN;
        let mut launches = Vec::new();
        for beat in 0..4 {
            let mut status = workers.status("a");
            contradict(&mut status);
            let now = START + TimeSpan(1_000 * beat);
            launches.extend(heartbeat(&mut scheduler, now, "a", &status));
            launches.extend(settle(&mut scheduler, now, 10));
        }
        assert_eq!(
            launches,
            [],
            "the machine's zone, type or spot flag is in doubt"
        );
    }
}

/// If the worker's report agrees with the machine's record, the same job starts at once.
#[test]
fn machine_whose_worker_agrees_with_its_record_gets_launches() {
    let job = open_job_record(serde_json::json!({"site": "a", "rigs": ["box"]}));
    let mut scheduler = recover(&job, &[]);
    let mut workers = Workers::new();
    workers.token = CURRENT_TOKEN;
    let status = workers.status("a");
    let mut launches = heartbeat(&mut scheduler, START, "a", &status);
    launches.extend(settle(&mut scheduler, START, 20));
    assert_eq!(launches.len(), TASKS as usize);
    scheduler.handle(START, Event::JobCancelled { id: job_id() });
}
