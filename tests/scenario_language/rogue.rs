//! Actions that the scheduler never takes. Scenarios use them to show that the checker detects the broken
//! rules.

use super::events::selected_machine;
use super::{job_spec, Words};
use crate::simulation::Simulation;
use chalklug::ids::{AttemptId, JobId, MachineId, TaskId};
use chalklug::protocol::state::{Change, Transaction};
use chalklug::protocol::users::{JobPhase, JobSpec};
use chalklug::protocol::workers::Command;
use chalklug::storage::records::{open_job_key, terminal_key, OpenJobRecord, TerminalRecord};

/// Attempt id that no leader assigns.
const ROGUE_ATTEMPT: AttemptId = AttemptId(1 << 50);

/// Launches a task on the machine that the words name; with `not-of JOB`, on a machine without tasks of
/// that job.
pub fn launch_rogue_task(simulation: &mut Simulation, rest: &[&str]) {
    let words = Words(rest);
    let command = Command::Launch {
        task: TaskId::parse(rest[0]).expect("the event names a task"),
        attempt_id: ROGUE_ATTEMPT,
    };
    let machine_id = match words.get("not-of") {
        Some(job) => machine_without(simulation, &JobId::from(job)),
        None => selected_machine(simulation, &words),
    };
    simulation.send_rogue_command(&machine_id, command);
}

fn machine_without(simulation: &Simulation, job: &JobId) -> MachineId {
    let used = simulation.machines_of(job);
    let mut workers = simulation.workers.values();
    let other = workers.find(|w| !used.contains(&w.id) && w.up_at <= simulation.now);
    other
        .expect("a machine without tasks of the job is running")
        .id
        .clone()
}

/// Deletes the records of a job, marks it done, or reopens it, depending on the event.
pub fn write_rogue_records(simulation: &mut Simulation, event: &str, id: &JobId) {
    let spec = simulation.workload.specs.get(id).cloned();
    let spec = spec.unwrap_or_else(|| job_spec(&[id.as_str()]));
    let delete = |key| Change::Delete { deleted_key: key };
    let changes = match event {
        "rogue-delete-records" => vec![delete(open_job_key(id)), delete(terminal_key(id))],
        "rogue-done" => vec![delete(open_job_key(id)), put_done(&spec)],
        _ => vec![delete(terminal_key(id)), put_open(spec)],
    };
    simulation.store.apply(&Transaction {
        preconditions: Vec::new(),
        changes,
    });
}

fn put_done(spec: &JobSpec) -> Change {
    let record = TerminalRecord {
        phase: JobPhase::Done,
        tasks: spec.tasks,
        done_at_ms: None,
    };
    let data = serde_json::to_value(record).expect("the record can be serialized");
    Change::put(terminal_key(&spec.id), data)
}

fn put_open(spec: JobSpec) -> Change {
    let key = open_job_key(&spec.id);
    let record = OpenJobRecord {
        spec,
        accepted_at_ms: 0,
        upstream_jobs: Vec::new(),
        dependency_pages: 0,
    };
    Change::put(
        key,
        serde_json::to_value(record).expect("the record can be serialized"),
    )
}
