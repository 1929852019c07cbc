//! The scheduler alone: a task starts only where its job allows it, given all that may be on machines.
//!
//! At production size a task of a job whose tasks all have to share a zone started in another zone than the
//! others. A launch intent stays on its page after its task is proven gone, until that page is written again.
//! With one page that is at the next launch; with many pages the emptiest is written, and an old intent stays. A
//! job lost its machine in zone a and went on in zone b, the leader ended, and the next one recovered the old
//! intents beside the new ones. It counted the job as being in both zones, took the first by name for the zone of
//! the job, and started the rest there while the others ran in b:
//!
//! ```text
//! lease expired machine=host-000003 task=wk-1/0 attempt=4294967314           (zone a)
//! task placed task=wk-1/0 machine=host-000001                                (zone b)
//! task running task=wk-1/0 attempt=4294967360 machine=host-000001            (heard by the next leader)
//! task placed task=wk-1/4 machine=host-000002                                (zone a)
//! 69.9 s: wrong_place: wk-1/4 on host-000002
//! attempt removed task=wk-1/0 attempt=4294967314 machine=host-000003 proof=MachineTerminated
//! ```
//!
//! The last line came too late: only then was zone a proven empty. Nothing looked at a launch again when it left,
//! either, and nothing compared what a worker reports of its machine's type, zone and spot flag with what is on
//! record.

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

/// The machine of each zone.
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

/// A job of four tasks with these further fields.
fn record(further: serde_json::Value) -> OpenJobRecord {
    let mut body = serde_json::json!({"ref": job_id().as_str(), "jobclass": "c", "crew": "blue",
        "shape": "array", "urgency": "normal", "pieces": TASKS, "cpus": 1, "gpus": 1, "ramGb": 1,
        "bundle": "i", "pullGb": 1, "together": false, "scatter": false, "loaners": false,
        "guessS": 50, "markEveryS": 0, "markCostS": 0});
    for (field, value) in further.as_object().unwrap() {
        body[field] = value.clone();
    }
    OpenJobRecord {
        spec: parse_submission(body.to_string().as_bytes()).unwrap().spec,
        accepted_at_ms: 0,
        upstream_jobs: Vec::new(),
        dependency_pages: 0,
    }
}

fn item<T: serde::Serialize>(key: String, data: &T) -> KeyValue {
    KeyValue {
        key,
        data: serde_json::to_value(data).unwrap(),
        revision: KeyRevision(1),
        lease: None,
    }
}

/// A page with one machine in each of the zones a and b.
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

/// A page with intents to launch tasks with that attempt id in a zone.
fn intents(record: &OpenJobRecord, zone: &str, attempt: AttemptId, indexes: &[u32]) -> IntentPage {
    let mut page = IntentPage::default();
    for index in indexes {
        page.add(&machine_in(zone), &task(*index), attempt);
    }
    page.jobs.insert(job_id(), JobResources::of(&record.spec));
    page
}

/// A new leader that recovers the job, both machines, and these pages of intents.
fn recover(record: &OpenJobRecord, pages: &[IntentPage]) -> RecordedScheduler {
    let pages = pages.iter().enumerate();
    let recovered = RecoveredState {
        open_jobs: vec![OpenJob {
            record: record.clone(),
            revision: KeyRevision(1),
            submitted_at: Instant(0),
        }],
        machine_pages: vec![item(machine_page_key(PageNumber(0)), &machine_page())],
        intent_pages: pages
            .map(|(n, page)| item(intent_page_key(PageNumber(n as u32)), page))
            .collect(),
        machine_types: vec![machine_type(8.0)],
        ..RecoveredState::default()
    };
    RecordedScheduler::recover(policy(64.0, 10), term(CURRENT_TOKEN), START, recovered).unwrap()
}

/// The workers of both machines, with the tasks that they run.
struct Workers {
    running: BTreeMap<String, Vec<(u32, AttemptId)>>,
    token: u64,
    tick: u64,
}

impl Workers {
    fn new() -> Workers {
        Workers {
            running: BTreeMap::new(),
            token: FORMER_TOKEN,
            tick: 0,
        }
    }

    fn run(mut self, zone: &str, attempt: AttemptId, indexes: &[u32]) -> Workers {
        let tasks = indexes.iter().map(|index| (*index, attempt)).collect();
        self.running.insert(zone.to_owned(), tasks);
        self
    }

    fn status(&mut self, zone: &str) -> WorkerStatus {
        self.tick += 1;
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
            sequence_number: SequenceNumber(self.tick),
            token: FencingToken(self.token),
            preemption_notice_s: None,
            tasks: running.map(listed).collect(),
        }
    }
}

/// Where tasks were launched: the zone of the machine, and the task's index.
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

/// A heartbeat from the machine of that zone: what its response launches.
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

/// Steps for that long with every transaction applied: what pushes launch.
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

/// Tasks 0 and 1 run in zone b; intents of an attempt in zone a, long proven gone, are still on record. Until
/// the worker there has shown it, nothing more of the job starts; then the rest starts in zone b.
#[test]
fn job_that_may_be_in_two_zones_starts_nothing_until_one_is_proven_empty() {
    let job = record(serde_json::json!({"together": true}));
    let stale = intents(&job, "a", OLD_ATTEMPT, &[0, 1]);
    let current = intents(&job, "b", NEW_ATTEMPT, &[0, 1]);
    let mut scheduler = recover(&job, &[stale, current]);
    let mut workers = Workers::new().run("b", NEW_ATTEMPT, &[0, 1]);
    let mut launches = Vec::new();
    // What workers report carries the former leader's token yet: it proves nothing.
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

/// A job was planned in one zone when a worker in the other reports a task of it: the planned tasks are not
/// launched there.
#[test]
fn planned_launch_is_withheld_when_its_job_turns_out_to_be_in_another_zone() {
    let job = record(serde_json::json!({"together": true}));
    let mut scheduler = recover(&job, &[]);
    let mut workers = Workers::new();
    workers.token = CURRENT_TOKEN;
    let first = workers.status("a");
    heartbeat(&mut scheduler, START, "a", &first);
    // Planned in zone a, where alone a machine reports; the intents are not durable yet.
    let mut unwritten = Vec::new();
    for step in 0..5 {
        let now = START + TimeSpan(STEP.0 * step);
        let writes = scheduler.step(now).into_iter();
        unwritten.extend(writes.filter_map(|effect| match effect {
            Effect::Write { request_id, .. } => Some(request_id),
            _ => None,
        }));
    }
    assert!(!unwritten.is_empty(), "the launches are planned");
    let mut workers = workers.run("b", NEW_ATTEMPT, &[0]);
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

/// A worker that reports another zone, type or kind than is on record for its machine gets no launch.
#[test]
fn machine_whose_worker_contradicts_its_record_gets_no_launch() {
    type Contradiction = fn(&mut WorkerStatus);
    let contradictions: [Contradiction; 3] = [
        |status| status.zone = Zone::from("b"),
        |status| status.machine_type = MachineType::from("other"),
        |status| status.spot = true,
    ];
    for contradict in contradictions {
        let job = record(serde_json::json!({"site": "a", "rigs": ["box"]}));
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
        assert_eq!(launches, [], "the machine's kind is in doubt");
    }
}

/// What is on record agrees with what the worker reports: the same job starts at once.
#[test]
fn machine_whose_worker_agrees_with_its_record_gets_launches() {
    let job = record(serde_json::json!({"site": "a", "rigs": ["box"]}));
    let mut scheduler = recover(&job, &[]);
    let mut workers = Workers::new();
    workers.token = CURRENT_TOKEN;
    let status = workers.status("a");
    let mut launches = heartbeat(&mut scheduler, START, "a", &status);
    launches.extend(settle(&mut scheduler, START, 20));
    assert_eq!(launches.len(), TASKS as usize);
    scheduler.handle(START, Event::JobCancelled { id: job_id() });
}
