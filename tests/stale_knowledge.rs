//! The scheduler alone: its decisions rest on the newest that it knows at the moment at which a response
//! leaves, and nothing that it has learnt is undone by an older record.

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
use leader::{policy, term};
use machine_type::machine_type;
use recorded_scheduler::RecordedScheduler;

const FORMER_TOKEN: u64 = 8;
const CURRENT_TOKEN: u64 = 9;
const ATTEMPT: AttemptId = AttemptId(7);
const START: Instant = Instant(1000);

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
        accepted_at_ms: 0,
        upstream_jobs: after.iter().map(|n| job(*n)).collect(),
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

/// A new leader that recovers these open jobs, and an intent of job 1 on the machine.
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
    let recovered = RecoveredState {
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
    RecordedScheduler::recover(policy(64.0, 10), term(CURRENT_TOKEN), START, recovered).unwrap()
}

/// A status with job 1 in that phase; none: nothing is on the machine.
fn status(tick: u64, token: u64, phase: Option<TaskPhase>) -> WorkerStatus {
    let listed = phase.map(|phase| TaskStatus {
        task: task(1),
        attempt_id: ATTEMPT,
        phase,
        cause: (phase == TaskPhase::Ended).then_some(Cause::Done),
        checkpoint_saved: false,
    });
    WorkerStatus {
        machine_id: machine_id(),
        endpoint: "10.1.0.1:9000".into(),
        machine_type: MachineType::from("box"),
        zone: Zone::from("a"),
        spot: false,
        session: Session(1),
        sequence_number: SequenceNumber(tick),
        token: FencingToken(token),
        preemption_notice_s: None,
        tasks: listed.into_iter().collect(),
    }
}

/// Whether the response, which renews the worker's lease, stops job 1.
fn stops(outcome: &HeartbeatOutcome) -> bool {
    let HeartbeatOutcome::Commands(commands) = outcome else {
        panic!("the heartbeat is answered: {outcome:?}");
    };
    let is_stop = |command: &Command| matches!(command, Command::Stop { task: stopped, grace_s, .. } if *stopped == task(1) && *grace_s == 0.0);
    commands.iter().any(is_stop)
}

/// Steps for that long, with every transaction applied; returns what was written.
fn settle(scheduler: &mut RecordedScheduler, from: Instant, for_ms: i64) -> Vec<Change> {
    let mut written = Vec::new();
    for ms in (0..for_ms).step_by(100) {
        let now = from + TimeSpan(ms);
        for effect in scheduler.step(now) {
            if let Effect::Write {
                request_id,
                transaction,
            } = effect
            {
                written.extend(transaction.changes);
                scheduler.write_applied(now, request_id, StoreRevision(100 + request_id.0));
            }
        }
    }
    written
}

/// Guards against a cancelled task whose worker's lease the next leader renews before it has reconciled the
/// machine: if nothing reaches the machine after that, the task outlives `cancel_s`.
#[test]
fn new_leaders_first_response_stops_tasks_of_terminated_jobs() {
    let mut scheduler = leader(&[]);
    let first = status(1, FORMER_TOKEN, Some(TaskPhase::Running));
    assert!(stops(&scheduler.heartbeat(START, &first)));
}

/// Guards against the time between a cancellation that the leader has learnt of and its next step: when CPU
/// time is short, thousands of responses leave in it.
#[test]
fn response_between_cancellation_and_next_step_stops_the_task() {
    let mut scheduler = leader(&[record(1, &[])]);
    let first = status(1, FORMER_TOKEN, Some(TaskPhase::Running));
    assert!(!stops(&scheduler.heartbeat(START, &first)));
    settle(&mut scheduler, START, 300);
    let now = START + TimeSpan(300);
    scheduler.handle(now, Event::JobClosed { id: job(1) });
    let second = status(2, CURRENT_TOKEN, Some(TaskPhase::Running));
    assert!(stops(&scheduler.heartbeat(now, &second)));
    // A heartbeat that the response to a push has overtaken renews the lease all the same.
    let push_response = Event::PushAnswered {
        machine_id: machine_id(),
        request_id: RequestId(0),
        status: Box::new(status(4, CURRENT_TOKEN, Some(TaskPhase::Running))),
    };
    scheduler.handle(now, push_response);
    let overtaken = status(3, CURRENT_TOKEN, Some(TaskPhase::Running));
    assert!(stops(&scheduler.heartbeat(now, &overtaken)));
}

/// Guards against a pushed command that was decided before a cancellation and leaves after it.
#[test]
fn pushed_command_drops_launches_of_jobs_closed_meanwhile() {
    let mut scheduler = leader(&[record(1, &[]), record(2, &[])]);
    scheduler.heartbeat(START, &status(1, CURRENT_TOKEN, Some(TaskPhase::Running)));
    let mut commands = Vec::new();
    for ms in (0..3_000).step_by(100) {
        let now = START + TimeSpan(ms);
        for effect in scheduler.step(now) {
            match effect {
                Effect::Write { request_id, .. } => {
                    scheduler.write_applied(now, request_id, StoreRevision(100 + request_id.0));
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
    assert_eq!(
        scheduler.revalidate_commands(&machine_id(), commands[0].clone()),
        [launch]
    );
    scheduler.handle(START + TimeSpan(3_000), Event::JobCancelled { id: job(2) });
    assert_eq!(
        scheduler.revalidate_commands(&machine_id(), commands[0].clone()),
        []
    );
    scheduler.audit().unwrap();
}

/// Guards against duplicate changes (a page of them that was taken in only halfway is read again, and the first changes
/// after a failover reach back before the list): a done job is opened again, and its end is then taken for a
/// cancellation, which cancels all jobs downstream of it.
#[test]
fn duplicate_changes_cancel_no_job() {
    let mut scheduler = leader(&[record(1, &[]), record(2, &[1])]);
    scheduler.heartbeat(START, &status(1, CURRENT_TOKEN, Some(TaskPhase::Running)));
    scheduler.heartbeat(START, &status(2, CURRENT_TOKEN, Some(TaskPhase::Ended)));
    let written = settle(&mut scheduler, START, 3_000);
    let is_terminal_record = |c: &Change| c.key() == terminal_key(&job(1));
    assert!(
        written.iter().any(is_terminal_record),
        "job 1 is done: {written:?}"
    );
    // Cleared from its machine, job 1 is forgotten.
    let now = START + TimeSpan(3_000);
    scheduler.heartbeat(now, &status(3, CURRENT_TOKEN, None));
    settle(&mut scheduler, now, 3_000);
    let now = now + TimeSpan(3_000);
    let again = Event::JobOpened(Box::new(OpenJob {
        record: record(1, &[]),
        revision: KeyRevision(1),
        submitted_at: Instant(0),
    }));
    scheduler.handle(now, again);
    scheduler.handle(now, Event::JobClosed { id: job(1) });
    let written = settle(&mut scheduler, now, 5_000);
    let is_downstream_record = |c: &Change| c.key() == terminal_key(&job(2));
    assert!(!written.iter().any(is_downstream_record), "{written:?}");
}
