//! Users' requests, straight on the state service: any controller accepts, reads or cancels a job.
//! What is answered is read from there, never from a memory that may be out of date; only final
//! states, which can't change, are kept.

use crate::ids::{JobId, KeyRevision};
use crate::protocol::cloud::MachineTypeInfo;
use crate::protocol::state::{Change, Precondition, Transaction};
use crate::protocol::users::{
    parse_submission, Accepted, JobPhase, JobSpec, Malformed, Shape, Status, Submission,
};
use crate::resources::{within_limit, Resources};
use crate::runtime::api::routes::Reply;
use crate::runtime::clients::dependency_pages;
use crate::runtime::clients::open_jobs::OpenJob;
use crate::runtime::clients::state_store::{StateError, TxnOutcome};
use crate::runtime::clients::upstream_jobs::{self, Producers};
use crate::runtime::{lock, time_of_day_ms, Node};
use crate::settings::Team;
use crate::storage::records::{open_key, terminal_key, OpenJobRecord, TerminalRecord};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Users wait 5 s for submissions and cancellations, 2 s for polls; we answer before that.
pub const SUBMIT: Duration = Duration::from_millis(4000);
pub const POLL: Duration = Duration::from_millis(1700);

/// Final states seen lately. Bounded: the oldest goes.
#[derive(Default)]
pub struct FinalCache {
    known: BTreeMap<JobId, (JobPhase, u32)>,
    order: VecDeque<JobId>,
}

const MOST_FINALS: usize = 20_000;

impl FinalCache {
    fn get(&self, id: &JobId) -> Option<Final> {
        let known = self.known.get(id);
        known.map(|(phase, tasks)| Final {
            phase: *phase,
            tasks: *tasks,
        })
    }
    pub fn put(&mut self, id: &JobId, phase: JobPhase, tasks: u32) {
        if self.known.insert(id.clone(), (phase, tasks)).is_none() {
            self.order.push_back(id.clone());
            if self.order.len() > MOST_FINALS {
                if let Some(old) = self.order.pop_front() {
                    self.known.remove(&old);
                }
            }
        }
    }
}

/// What the state service says of a job.
pub(in crate::runtime) enum Found {
    Open(OpenJob),
    Final(Final),
    Never,
}

/// A final state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::runtime) struct Final {
    pub phase: JobPhase,
    pub tasks: u32,
}

/// Reads a job: first whether it is open, then its finish mark. Accepting writes the open record,
/// ending moves it to the mark in one transaction, so a job that was ever accepted is found.
///
/// A job that needs a cancelled one is cancelled, from the moment at which that one's mark was written
/// and whether or not its own is: no task of it can have started, for a job starts only when all that it
/// needs are done, and a mark never changes.
pub(in crate::runtime) async fn find(node: &Node, id: &JobId) -> Result<Found, StateError> {
    if let Some(known) = lock(&node.finals).get(id) {
        return Ok(Found::Final(known));
    }
    let Some(job) = node.copy.ask(id).await? else {
        let terminal_record = find_final(node, id).await?;
        return Ok(terminal_record.map_or(Found::Never, Found::Final));
    };
    for ancestor in &job.closed_ancestors {
        let terminal_record = find_final(node, ancestor).await?;
        if terminal_record.is_some_and(|m| m.phase == JobPhase::Cancelled) {
            let cancelled = Final {
                phase: JobPhase::Cancelled,
                tasks: job.tasks,
            };
            lock(&node.finals).put(id, cancelled.phase, cancelled.tasks);
            return Ok(Found::Final(cancelled));
        }
    }
    Ok(Found::Open(job))
}

/// The finish mark of a job that is not open; None if it was never accepted.
pub(in crate::runtime) async fn find_final(
    node: &Node,
    id: &JobId,
) -> Result<Option<Final>, StateError> {
    if let Some(known) = lock(&node.finals).get(id) {
        return Ok(Some(known));
    }
    let Some(item) = node.state.get(&terminal_key(id)).await? else {
        return Ok(None);
    };
    let terminal_record: TerminalRecord = serde_json::from_value(item.data).map_err(|e| {
        tracing::error!(job = %id, error = %e, "a finish mark can't be read");
        StateError::Refused
    })?;
    lock(&node.finals).put(id, terminal_record.phase, terminal_record.tasks);
    Ok(Some(Final {
        phase: terminal_record.phase,
        tasks: terminal_record.tasks,
    }))
}

/// Whether the final state of the job of that name has been read or told here.
pub fn known_final(node: &Node, id: &str) -> bool {
    JobId::parse(id).is_some_and(|id| lock(&node.finals).get(&id).is_some())
}

/// The phase of an open job, from the leader's counts: for display only.
fn open_status(node: &Node, id: &JobId) -> (JobPhase, u32, u32) {
    let (done, running) = match node.leader.counts_of(node.now(), id) {
        Some(c) => c,
        None => lock(&node.counts).get(id).copied().unwrap_or((0, 0)),
    };
    let phase = if running > 0 {
        JobPhase::Running
    } else {
        JobPhase::Queued
    };
    (phase, done, running)
}

fn accepted(status: u16, id: &JobId, phase: JobPhase) -> Reply {
    Reply::json(status, &Accepted { id, phase })
}

/// If the job is known already, its current state is the answer, whatever else is wrong.
async fn if_known(node: &Node, id: Option<&JobId>, otherwise: Reply) -> Reply {
    let Some(id) = id else { return otherwise };
    match find(node, id).await {
        Ok(Found::Open(_)) => accepted(200, id, open_status(node, id).0),
        Ok(Found::Final(Final { phase, .. })) => accepted(200, id, phase),
        Ok(Found::Never) => otherwise,
        Err(_) => Reply::busy("the state service can't be reached"),
    }
}

/// Why a job can never run here; None if it can.
pub fn never_runs(
    spec: &JobSpec,
    machine_types: &[MachineTypeInfo],
    teams: &[Team],
) -> Option<String> {
    let Some(team) = teams.iter().find(|t| t.name == spec.team) else {
        return Some("unknown team".into());
    };
    let need = Resources::of(spec);
    let fits = machine_types.iter().any(|r| {
        let room = Resources {
            cpus: r.cpus,
            gpus: r.gpus,
            ram_gb: r.ram_gb,
        };
        need.fits(&room)
            && spec
                .machine_types
                .as_ref()
                .is_none_or(|a| a.contains(&r.name))
            && spec.zone.as_ref().is_none_or(|s| r.zones.contains(s))
    });
    if !fits {
        return Some("a task fits no allowed machine type".into());
    }
    let n = match spec.shape {
        Shape::Array => 1,
        Shape::Gang | Shape::Service => spec.tasks,
    };
    let all = need.times(f64::from(n));
    if !within_limit(all.cpus, team.cpus_max) || !within_limit(all.gpus, team.gpus_max) {
        return Some("needs more than the team's limit".into());
    }
    None
}

/// Whether a submission names jobs that it waits for.
pub fn names_producers(body: &[u8]) -> bool {
    parse_submission(body).is_ok_and(|s| !s.waits_on.is_empty())
}

/// `POST /submissions`.
pub async fn submit(node: &Node, body: &[u8]) -> Reply {
    let Submission { spec, waits_on } = match parse_submission(body) {
        Ok(s) => s,
        Err(Malformed { id, reason }) => {
            return if_known(node, id.as_ref(), Reply::error(400, &reason)).await;
        }
    };
    let id = spec.id.clone();
    let machine_types = lock(&node.machine_types).clone();
    if machine_types.is_empty() {
        let not_yet = Reply::busy("machine types are not known yet");
        return if_known(node, Some(&id), not_yet).await;
    }
    if let Some(reason) = never_runs(&spec, &machine_types, &node.policy.facts.teams) {
        return if_known(node, Some(&id), Reply::error(422, &reason)).await;
    }
    if waits_on.contains(&id) {
        let itself = Reply::error(422, "waits for itself");
        return if_known(node, Some(&id), itself).await;
    }
    match upstream_jobs::look_up(node, waits_on).await {
        Ok(Producers::Unfinished(after)) => open_job(node, spec, after).await,
        Ok(Producers::Cancelled) => accept_cancelled(node, &spec).await,
        Ok(Producers::NeverAccepted(unknown)) => {
            let reason = format!("waits for {unknown}, which was never accepted");
            if_known(node, Some(&id), Reply::error(422, &reason)).await
        }
        Err(_) => {
            let unknown = Reply::busy("the jobs that it waits for can't be looked up now");
            if_known(node, Some(&id), unknown).await
        }
    }
}

/// Accepts a job that waits for these.
async fn open_job(node: &Node, spec: JobSpec, after: Vec<JobId>) -> Reply {
    let id = spec.id.clone();
    let (class, team, producers) = (spec.class.clone(), spec.team.clone(), after.len());
    let mut record = OpenJobRecord {
        spec,
        at_ms: time_of_day_ms(),
        after,
        dependency_pages: 0,
    };
    let most_bytes = (node.policy.facts.state.value_kb * 1024.0 * 0.9) as usize;
    let Ok(pages) = record.move_dependencies_to_pages(most_bytes) else {
        return if_known(node, Some(&id), Reply::error(400, "too long a description")).await;
    };
    let Ok(data) = serde_json::to_value(&record) else {
        return Reply::error(400, "can't be stored");
    };
    let outcome = match dependency_pages::write_pages(node, &id, &pages).await {
        Ok(Ok(preconditions)) => {
            let changes = vec![Change::put(open_key(&id), data)];
            node.state
                .transaction(&Transaction {
                    preconditions,
                    changes,
                })
                .await
        }
        Ok(Err(conflict)) => Ok(conflict),
        // The open record was certainly not written.
        Err(_) => Err(StateError::Refused),
    };
    match outcome {
        Ok(TxnOutcome::Applied(store_revision)) => {
            node.leader.nudge();
            tracing::debug!(job = %id, store_revision = %store_revision, class, team, producers, "accepted");
            accepted(201, &id, JobPhase::Queued)
        }
        failed => settle(node, &id, failed).await,
    }
}

/// Accepts a job that needs a cancelled one: it is cancelled from the start.
async fn accept_cancelled(node: &Node, spec: &JobSpec) -> Reply {
    let id = &spec.id;
    let Ok(data) = serde_json::to_value(TerminalRecord::cancelled(spec.tasks)) else {
        return Reply::error(400, "can't be stored");
    };
    let absent = |key| Precondition {
        key,
        revision: KeyRevision(0),
    };
    let transaction = Transaction {
        preconditions: vec![absent(open_key(id)), absent(terminal_key(id))],
        changes: vec![Change::put(terminal_key(id), data)],
    };
    match node.state.transaction(&transaction).await {
        Ok(TxnOutcome::Applied(_)) => {
            tracing::debug!(job = %id, "accepted and cancelled with a job that it needs");
            lock(&node.finals).put(id, JobPhase::Cancelled, spec.tasks);
            accepted(201, id, JobPhase::Cancelled)
        }
        failed => settle(node, id, failed).await,
    }
}

/// The answer to a submission whose transaction was not applied, as far as is known. Known already, or an
/// unclear outcome: settled by reading before anything is answered.
async fn settle(node: &Node, id: &JobId, outcome: Result<TxnOutcome, StateError>) -> Reply {
    match outcome {
        Ok(_) | Err(StateError::Unclear) => {
            let unsettled = Reply::busy("the outcome is not known yet");
            if_known(node, Some(id), unsettled).await
        }
        Err(_) => Reply::busy("the state service can't be reached"),
    }
}

/// `GET /submissions/{id}`.
pub async fn poll(node: &Node, id: &str) -> Reply {
    let Some(id) = JobId::parse(id) else {
        return Reply::error(404, "no such job");
    };
    let found = tokio::time::timeout(POLL, find(node, &id)).await;
    match found {
        Ok(Ok(Found::Open(note))) => {
            let (phase, done, running) = open_status(node, &id);
            Reply::json(
                200,
                &Status {
                    id: &id,
                    phase,
                    done: done.min(note.tasks),
                    running,
                },
            )
        }
        Ok(Ok(Found::Final(Final { phase, tasks }))) => {
            let done = if phase == JobPhase::Done { tasks } else { 0 };
            Reply::json(
                200,
                &Status {
                    id: &id,
                    phase,
                    done,
                    running: 0,
                },
            )
        }
        Ok(Ok(Found::Never)) => Reply::error(404, "no such job"),
        Ok(Err(_)) | Err(_) => Reply::busy("the state service can't be reached"),
    }
}

/// `POST /submissions/{id}/withdraw`. Cancelling and finishing are both guarded by the version of
/// the open record, so that exactly one of them wins.
pub async fn cancel(node: &Node, id: &str) -> Reply {
    let Some(id) = JobId::parse(id) else {
        return Reply::error(404, "no such job");
    };
    let began = std::time::Instant::now();
    let mut unclear = false;
    while began.elapsed() < SUBMIT / 2 {
        let OpenJob {
            revision, tasks, ..
        } = match find(node, &id).await {
            Ok(Found::Open(job)) => job,
            Ok(Found::Final(Final { phase, tasks })) => {
                // Perhaps a transaction of ours that got no answer: nobody has been told yet.
                if unclear && phase == JobPhase::Cancelled {
                    node.cancelled(&id, tasks);
                }
                return accepted(200, &id, phase);
            }
            Ok(Found::Never) => return Reply::error(404, "no such job"),
            Err(_) => break,
        };
        let terminal_record = TerminalRecord::cancelled(tasks);
        let Ok(data) = serde_json::to_value(&terminal_record) else {
            break;
        };
        let transaction = Transaction {
            preconditions: vec![
                Precondition {
                    key: open_key(&id),
                    revision,
                },
                Precondition {
                    key: terminal_key(&id),
                    revision: KeyRevision(0),
                },
            ],
            changes: vec![
                Change::Delete {
                    delete: open_key(&id),
                },
                Change::put(terminal_key(&id), data),
            ],
        };
        match node.state.transaction(&transaction).await {
            Ok(TxnOutcome::Applied(store_revision)) => {
                tracing::debug!(job = %id, store_revision = %store_revision, opened = %revision, "cancellation confirmed");
                node.cancelled(&id, tasks);
                return accepted(200, &id, JobPhase::Cancelled);
            }
            Ok(TxnOutcome::Conflict(_)) => continue,
            Err(StateError::Unclear) => unclear = true,
            Err(_) => break,
        }
    }
    Reply::busy("the state service can't be reached")
}
