//! `POST /submissions`: validates a job and accepts it by writing its open record.
//!
//! A submission is idempotent: if the job was accepted earlier, the response is its current state, even if the
//! repeated submission is invalid.

use super::error::{ApiError, NeverRuns};
use super::response::ApiResponse;
use super::status;
use crate::config::Team;
use crate::ids::JobId;
use crate::protocol::cloud::MachineTypeInfo;
use crate::protocol::state::{Change, Precondition, Transaction};
use crate::protocol::users::{JobPhase, JobSpec, MalformedSubmission, Shape, Submission};
use crate::resources::{within_limit, Resources};
use crate::runtime::clients::dependency_pages::{self, PagesOutcome};
use crate::runtime::clients::job_lookup::TerminalState;
use crate::runtime::clients::state_store::{StateStoreError, TransactionOutcome};
use crate::runtime::clients::upstream_jobs::{find_upstream, UpstreamState};
use crate::runtime::{unix_time_ms, Node};
use crate::storage::records::{open_job_key, terminal_key, OpenJobRecord, TerminalRecord};
use std::collections::BTreeSet;

/// The fraction of the state store's value size limit that an open record may use.
const MAX_RECORD_SHARE: f64 = 0.9;

/// Why a job was not accepted.
enum Rejection {
    /// The error response if the job was not accepted earlier; otherwise the response is the job's state.
    UnlessKnown(ApiError),
    /// The error response in any case.
    Always(ApiError),
}

/// Accepts a job, or responds with its state if it was accepted earlier.
pub async fn submit(
    node: &Node,
    submission: &Result<Submission, MalformedSubmission>,
) -> Result<ApiResponse, ApiError> {
    let (id, outcome) = match submission {
        Ok(submission) => (Some(&submission.spec.id), accept(node, submission).await),
        Err(malformed) => {
            let reason = malformed.reason.clone();
            let rejection = Rejection::UnlessKnown(ApiError::MalformedSubmission { reason });
            (malformed.id.as_ref(), Err(rejection))
        }
    };
    match (outcome, id) {
        (Ok(response), _) => Ok(response),
        (Err(Rejection::UnlessKnown(error)), Some(id)) => {
            let known = status::known_job(node, id).await?;
            known.ok_or(error)
        }
        (Err(Rejection::UnlessKnown(error) | Rejection::Always(error)), _) => Err(error),
    }
}

async fn accept(node: &Node, submission: &Submission) -> Result<ApiResponse, Rejection> {
    let Submission {
        spec,
        upstream_jobs,
    } = submission;
    let machine_types = node.catalog.machine_types();
    if machine_types.is_empty() {
        return Err(Rejection::UnlessKnown(ApiError::MachineTypesUnknown));
    }
    check_can_run(spec, &machine_types, &node.policy.facts.teams)
        .map_err(|reason| Rejection::UnlessKnown(reason.into()))?;
    if upstream_jobs.contains(&spec.id) {
        return Err(Rejection::UnlessKnown(ApiError::DependsOnItself));
    }
    match find_upstream(node, upstream_jobs.clone()).await {
        Ok(UpstreamState::Unfinished(dependencies)) => open_job(node, spec, dependencies).await,
        Ok(UpstreamState::Cancelled) => accept_cancelled(node, spec).await,
        Ok(UpstreamState::NeverAccepted(unknown)) => {
            let error = ApiError::UnknownDependency(unknown);
            Err(Rejection::UnlessKnown(error))
        }
        Err(_) => Err(Rejection::UnlessKnown(ApiError::DependenciesUnavailable)),
    }
}

/// Checks that the job's team is configured, that a task fits an allowed machine type, and that the tasks that have to
/// run at the same time fit within the team's limit.
fn check_can_run(
    spec: &JobSpec,
    machine_types: &[MachineTypeInfo],
    teams: &[Team],
) -> Result<(), NeverRuns> {
    let Some(team) = teams.iter().find(|team| team.name == spec.team) else {
        return Err(NeverRuns::UnknownTeam);
    };
    if !machine_types.iter().any(|info| task_fits(spec, info)) {
        return Err(NeverRuns::NoMachineTypeFits);
    }
    let concurrent_tasks = match spec.shape {
        Shape::Array => 1,
        Shape::Gang | Shape::Service => spec.tasks,
    };
    let request = Resources::of(spec).times(f64::from(concurrent_tasks));
    if within_limit(request.cpus, team.cpus_max) && within_limit(request.gpus, team.gpus_max) {
        Ok(())
    } else {
        Err(NeverRuns::ExceedsTeamLimit)
    }
}

/// Whether an empty machine of this type can run a task of the job.
fn task_fits(spec: &JobSpec, machine_type: &MachineTypeInfo) -> bool {
    let capacity = Resources {
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        ram_gb: machine_type.ram_gb,
    };
    let type_allowed = |allowed: &BTreeSet<_>| allowed.contains(&machine_type.name);
    let zone_offered = |zone| machine_type.zones.contains(zone);
    Resources::of(spec).fits(&capacity)
        && spec.machine_types.as_ref().is_none_or(type_allowed)
        && spec.zone.as_ref().is_none_or(zone_offered)
}

/// Accepts a job by writing its open record. `dependencies` are the unfinished jobs that it depends on, if any.
async fn open_job(
    node: &Node,
    spec: &JobSpec,
    dependencies: Vec<JobId>,
) -> Result<ApiResponse, Rejection> {
    let id = &spec.id;
    let dependency_count = dependencies.len();
    let mut record = OpenJobRecord {
        spec: spec.clone(),
        accepted_at_ms: unix_time_ms(),
        upstream_jobs: dependencies,
        dependency_pages: 0,
    };
    let max_bytes = (node.policy.facts.state.value_kb * 1024.0 * MAX_RECORD_SHARE) as usize;
    let Ok(pages) = record.move_dependencies_to_pages(max_bytes) else {
        return Err(Rejection::UnlessKnown(ApiError::DescriptionTooLong));
    };
    match write_open_job(node, &record, &pages).await? {
        Ok(TransactionOutcome::Applied(store_revision)) => {
            node.leadership.request_step();
            tracing::debug!(
                job = %id,
                %store_revision,
                class = spec.class,
                team = spec.team,
                dependencies = dependency_count,
                "job accepted"
            );
            Ok(ApiResponse::job_created(id, JobPhase::Queued))
        }
        failed => Err(rejection(failed)),
    }
}

/// Writes the dependency pages, if any, and then the open record.
async fn write_open_job(
    node: &Node,
    record: &OpenJobRecord,
    pages: &[Vec<JobId>],
) -> Result<Result<TransactionOutcome, StateStoreError>, Rejection> {
    let id = &record.spec.id;
    let data =
        serde_json::to_value(record).map_err(|_| Rejection::Always(ApiError::NotStorable))?;
    let max_operations = node.policy.facts.state.txn_ops;
    let written = dependency_pages::write_pages(&node.state_store, max_operations, id, pages).await;
    Ok(match written {
        Ok(PagesOutcome::Written(preconditions)) => {
            let transaction = Transaction {
                preconditions,
                changes: vec![Change::put(open_job_key(id), data)],
            };
            node.state_store.transaction(&transaction).await
        }
        Ok(PagesOutcome::Conflict(failed)) => Ok(TransactionOutcome::Conflict(failed)),
        // The pages may have been written, but the open record was not.
        Err(_) => Err(StateStoreError::NotExecuted),
    })
}

/// Accepts a job that depends on a cancelled job, by writing a terminal record that cancels it at once.
async fn accept_cancelled(node: &Node, spec: &JobSpec) -> Result<ApiResponse, Rejection> {
    let id = &spec.id;
    let data = serde_json::to_value(TerminalRecord::cancelled(spec.tasks))
        .map_err(|_| Rejection::Always(ApiError::NotStorable))?;
    let transaction = Transaction {
        preconditions: vec![
            Precondition::absent(open_job_key(id)),
            Precondition::absent(terminal_key(id)),
        ],
        changes: vec![Change::put(terminal_key(id), data)],
    };
    match node.state_store.transaction(&transaction).await {
        Ok(TransactionOutcome::Applied(_)) => {
            tracing::debug!(job = %id, "job accepted and cancelled with its dependency");
            let cancelled = TerminalState::cancelled(spec.tasks);
            node.terminal_states.insert(id, cancelled);
            Ok(ApiResponse::job_created(id, JobPhase::Cancelled))
        }
        failed => Err(rejection(failed)),
    }
}

/// Returns why a job was not accepted, from the outcome of its transaction. After a conflict (the job was accepted
/// earlier) or an unknown outcome, the job is read before the response is sent.
fn rejection(outcome: Result<TransactionOutcome, StateStoreError>) -> Rejection {
    match outcome {
        Ok(_) | Err(StateStoreError::OutcomeUnknown) => {
            Rejection::UnlessKnown(ApiError::OutcomeUnknown)
        }
        Err(_) => Rejection::Always(ApiError::StateStoreUnavailable),
    }
}
