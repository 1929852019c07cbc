//! The core alone: what it does rests on the newest that it knows, at the moment at which an answer leaves,
//! and nothing that it has learnt is undone by an older record.

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
use chalklug::coordination::{Effect, Event, OpenJob, RequestId};
use chalklug::ids::*;
use chalklug::protocol::state::{Change, KeyValue};
use chalklug::protocol::users::parse_submission;
use chalklug::protocol::workers::{Cause, Command, TaskPhase, TaskStatus, WorkerStatus};
use chalklug::storage::records::*;
use chalklug::time::{Instant, TimeSpan};
use leader::{lead, policy};
use machine_type::machine_type;
use recorded_scheduler::RecordedScheduler;

const FORMER_TOKEN: u64 = 8;
const CURRENT_TOKEN: u64 = 9;
const ATTEMPT: AttemptId = AttemptId(7);
const BEGAN: Instant = Instant(1000);

fn job(n: u32) -> JobId {
    JobId::from(format!("wk-{n}").as_str())
}

fn task(n: u32) -> TaskId {
    TaskId::parse(&format!("wk-{n}/0")).unwrap()
}

fn machine_id() -> MachineId {
    MachineId::from("host-000001")
}

/// The open record of a job of one task.
fn record(n: u32, after: &[u32]) -> OpenJobRecord {
    let body = serde_json::json!({"ref": job(n).as_str(), "jobclass": "c", "crew": "blue",
        "shape": "array", "urgency": "normal", "pieces": 1, "cpus": 1, "gpus": 1, "ramGb": 1,
        "bundle": "i", "pullGb": 1, "together": false, "scatter": false, "loaners": false,
        "guessS": 50, "markEveryS": 0, "markCostS": 0});
    OpenJobRecord {
        spec: parse_submission(body.to_string().as_bytes()).unwrap().spec,
        at_ms: 0,
        after: after.iter().map(|n| job(*n)).collect(),
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

/// A new leader that finds these jobs open, and job 1 on record as running on the machine.
fn leader(open: &[OpenJobRecord]) -> RecordedScheduler {
    let mut machines = MachinePage {
        kinds: vec![MachineKind::new(
            MachineType::from("box"),
            Zone::from("a"),
            false,
        )],
        ..MachinePage::default()
    };
    machines.machines.insert(
        machine_id(),
        MachineEntry {
            kind: 0,
            rented_s: 0,
            has_reported: true,
            images: vec![],
        },
    );
    let mut attempts = IntentPage::default();
    attempts.add(&machine_id(), &task(1), ATTEMPT);
    attempts
        .jobs
        .insert(job(1), JobResources::of(&record(1, &[]).spec));
    let found = RecoveredState {
        open_jobs: open
            .iter()
            .map(|record| OpenJob {
                record: record.clone(),
                revision: KeyRevision(1),
                submitted_at: Instant(0),
            })
            .collect(),
        machine_pages: vec![item(machine_page_key(PageNumber(0)), &machines)],
        intent_pages: vec![item(intent_page_key(PageNumber(0)), &attempts)],
        machine_types: vec![machine_type(8.0)],
        ..RecoveredState::default()
    };
    RecordedScheduler::recover(policy(64.0, 10), lead(CURRENT_TOKEN), BEGAN, found).unwrap()
}

/// A report with job 1 in that phase; None: the machine is empty.
fn report(tick: u64, token: u64, phase: Option<TaskPhase>) -> WorkerStatus {
    let listed = phase.map(|phase| TaskStatus {
        task: task(1),
        attempt_id: ATTEMPT,
        phase,
        cause: (phase == TaskPhase::Ended).then_some(Cause::Done),
        stored: false,
    });
    WorkerStatus {
        machine_id: machine_id(),
        endpoint: "10.1.0.1:9000".into(),
        machine_type: MachineType::from("box"),
        zone: Zone::from("a"),
        spot: false,
        session: Session(1),
        tick: Tick(tick),
        token: FencingToken(token),
        recall_s: None,
        tasks: listed.into_iter().collect(),
    }
}

/// Whether the answer, which renews the machine's lease, says that job 1 is to stop.
fn stops(answer: &HeartbeatOutcome) -> bool {
    let HeartbeatOutcome::Commands(commands) = answer else {
        panic!("the report is answered: {answer:?}");
    };
    let stop = |o: &Command| matches!(o, Command::Stop { task: t, grace_s, .. } if *t == task(1) && *grace_s == 0.0);
    commands.iter().any(stop)
}

/// Steps for so long, with every write carried out; what was written.
fn settle(core: &mut RecordedScheduler, from: Instant, for_ms: i64) -> Vec<Change> {
    let mut written = Vec::new();
    for ms in (0..for_ms).step_by(100) {
        let now = from + TimeSpan(ms);
        for effect in core.step(now) {
            if let Effect::Write {
                request_id,
                transaction,
            } = effect
            {
                written.extend(transaction.changes);
                let store_revision = StoreRevision(100 + request_id.0);
                core.on(
                    now,
                    Event::Written {
                        request_id,
                        store_revision,
                    },
                );
            }
        }
    }
    written
}

/// Guards against a cancelled task whose lease the next leader renews before it has looked at the machine:
/// if nothing reaches the machine after that, the task outlives `cancel_s`.
#[test]
fn new_leaders_first_response_stops_tasks_of_terminated_jobs() {
    let mut core = leader(&[]);
    let first = report(1, FORMER_TOKEN, Some(TaskPhase::Running));
    assert!(stops(&core.heartbeat(BEGAN, &first)));
}

/// Guards against the time between a cancellation that the leader has learnt of and its next step: with the
/// processor short, thousands of answers leave in it.
#[test]
fn response_between_cancellation_and_next_step_stops_the_task() {
    let mut core = leader(&[record(1, &[])]);
    let first = report(1, FORMER_TOKEN, Some(TaskPhase::Running));
    assert!(!stops(&core.heartbeat(BEGAN, &first)));
    settle(&mut core, BEGAN, 300);
    let now = BEGAN + TimeSpan(300);
    core.on(now, Event::JobClosed { id: job(1) });
    let second = report(2, CURRENT_TOKEN, Some(TaskPhase::Running));
    assert!(stops(&core.heartbeat(now, &second)));
    // One that a direct answer has overtaken renews the lease all the same.
    let direct_answer = Event::PushAnswered {
        machine_id: machine_id(),
        request_id: RequestId(0),
        status: Box::new(report(4, CURRENT_TOKEN, Some(TaskPhase::Running))),
    };
    core.on(now, direct_answer);
    let overtaken = report(3, CURRENT_TOKEN, Some(TaskPhase::Running));
    assert!(stops(&core.heartbeat(now, &overtaken)));
}

/// Guards against a direct command that was decided before a cancellation and leaves after it.
#[test]
fn pushed_command_drops_launches_of_jobs_closed_meanwhile() {
    let mut core = leader(&[record(1, &[]), record(2, &[])]);
    core.heartbeat(BEGAN, &report(1, CURRENT_TOKEN, Some(TaskPhase::Running)));
    let mut commands = Vec::new();
    for ms in (0..3_000).step_by(100) {
        let now = BEGAN + TimeSpan(ms);
        for effect in core.step(now) {
            match effect {
                Effect::Write { request_id, .. } => {
                    let store_revision = StoreRevision(100 + request_id.0);
                    core.on(
                        now,
                        Event::Written {
                            request_id,
                            store_revision,
                        },
                    );
                }
                Effect::Push {
                    commands: pushed, ..
                } => commands.push(pushed),
                _ => {}
            }
        }
    }
    let launch = Command::Launch {
        task: task(2),
        attempt_id: AttemptId((CURRENT_TOKEN << 32) | 1),
    };
    assert_eq!(commands, [vec![launch.clone()]]);
    assert_eq!(core.still_wanted(commands[0].clone()), [launch]);
    core.on(BEGAN + TimeSpan(3_000), Event::JobCancelled { id: job(2) });
    assert_eq!(core.still_wanted(commands[0].clone()), []);
    core.audit().unwrap();
}

/// Guards against changes that come twice (a page of them whose taking in failed halfway is asked for again, and the
/// first changes after a takeover reach back before the list): a job that is done is opened again, and its end is then
/// taken for a cancellation, which cancels all jobs that need it.
#[test]
fn duplicate_changes_cancel_no_job() {
    let mut core = leader(&[record(1, &[]), record(2, &[1])]);
    core.heartbeat(BEGAN, &report(1, CURRENT_TOKEN, Some(TaskPhase::Running)));
    core.heartbeat(BEGAN, &report(2, CURRENT_TOKEN, Some(TaskPhase::Ended)));
    let written = settle(&mut core, BEGAN, 3_000);
    let finishes = |c: &Change| c.key() == terminal_key(&job(1));
    assert!(written.iter().any(finishes), "job 1 is done: {written:?}");
    // Cleared from its machine, job 1 is forgotten.
    let now = BEGAN + TimeSpan(3_000);
    core.heartbeat(now, &report(3, CURRENT_TOKEN, None));
    settle(&mut core, now, 3_000);
    let now = now + TimeSpan(3_000);
    let again = Event::JobOpened(Box::new(OpenJob {
        record: record(1, &[]),
        revision: KeyRevision(1),
        submitted_at: Instant(0),
    }));
    core.on(now, again);
    core.on(now, Event::JobClosed { id: job(1) });
    let written = settle(&mut core, now, 5_000);
    let of_consumer = |c: &Change| c.key() == terminal_key(&job(2));
    assert!(!written.iter().any(of_consumer), "{written:?}");
}
