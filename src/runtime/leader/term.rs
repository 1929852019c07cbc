//! One leadership term: the failover, the leader's tasks, and the end of the term.

use super::activity::Activity;
use super::election::ElectionWon;
use super::state::ActiveLeader;
use super::{count_broadcast, job_watch, lease_renewal, machine_list, step_loop, transfer};
use crate::coordination::leadership::authority::Authority;
use crate::coordination::leadership::LeadershipTerm;
use crate::coordination::Scheduler;
use crate::ids::{FencingToken, StoreRevision};
use crate::runtime::clients::state_store::StateStoreError;
use crate::runtime::Node;
use crate::time::Instant;
use std::sync::Arc;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// The context that a leader's tasks share: the node, the leader's authority, and the token that ends the term.
#[derive(Clone)]
pub struct TermContext {
    /// The controller.
    pub node: Arc<Node>,
    /// The leader's authority to act.
    pub authority: Arc<Authority>,
    /// Cancelled when the term ends.
    pub end: CancellationToken,
}

impl TermContext {
    /// Whether the term is active and the leader has authority to act.
    pub fn may_act(&self, now: Instant) -> bool {
        !self.end.is_cancelled() && self.authority.is_held(now)
    }

    /// Resigns the leader's authority and ends the term.
    pub fn resign(&self) {
        self.authority.resign();
        self.end.cancel();
    }

    /// Ends a term whose authority has lapsed, and logs the reason once. A lease renewal that is answered later
    /// has no effect.
    pub fn end_lapsed(&self, now: Instant) {
        if !self.end.is_cancelled() {
            let reason = self.authority.loss(now);
            let view_age_ms = self.authority.view_age(now).0;
            tracing::info!(?reason, view_age_ms, "authority lapsed");
        }
        self.end.cancel();
    }
}

/// How a term ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermEnd {
    /// This controller has led.
    Led,
    /// The failover was not completed.
    FailoverAbandoned,
}

/// Leads until the authority is lost, then revokes the lease.
pub async fn lead(node: &Arc<Node>, won: ElectionWon) -> TermEnd {
    let started_at = node.now();
    let (fencing_token, lease) = (won.term.initial_token, won.term.lease);
    let term = TermContext {
        node: node.clone(),
        authority: won.authority,
        end: node.stop.child_token(),
    };
    tracing::info!(%fencing_token, version = env!("CARGO_PKG_VERSION"), "election won");
    let renewal = tokio::spawn(lease_renewal::renew(term.clone(), lease));
    node.leadership.start_failover();
    let end = match take_over(&term, won.term).await {
        Ok(failover) => {
            run_tasks(&term, failover).await;
            TermEnd::Led
        }
        Err(reason) => {
            let duration_ms = (node.now() - started_at).0;
            tracing::info!(%fencing_token, %reason, duration_ms, "failover abandoned");
            TermEnd::FailoverAbandoned
        }
    };
    term.authority.resign();
    node.leadership.deactivate();
    term.end.cancel();
    let _ = renewal.await;
    let duration_ms = (node.now() - started_at).0;
    tracing::info!(%fencing_token, duration_ms, "leadership ended");
    // The tasks of the term have stopped, and another controller needn't wait for the lease to expire.
    node.state_store.revoke_lease(lease).await;
    end
}

/// Why a failover was abandoned.
#[derive(Debug, thiserror::Error)]
enum FailoverError {
    /// The state store did not answer a read.
    #[error(transparent)]
    Read(#[from] StateStoreError),
    /// Guards against treating an attempt as never launched because its record is unreadable.
    #[error("unreadable record")]
    UnreadableRecord,
    /// The reads took longer than the leader's authority lasted.
    #[error("authority lapsed")]
    AuthorityLapsed,
}

/// The result of a completed failover, whose scheduler is active.
struct CompletedFailover {
    activity: Arc<Activity>,
    /// The store revision of the open jobs that were read, from which the watch starts.
    store_revision: StoreRevision,
}

/// Recovers the state that former leaders stored and activates the scheduler.
async fn take_over(
    term: &TermContext,
    leadership: LeadershipTerm,
) -> Result<CompletedFailover, FailoverError> {
    let node = &term.node;
    let fencing_token = leadership.initial_token;
    let requested_at = node.now();
    let (recovered, store_revision) = job_watch::read_recovered_state(node).await?;
    let jobs = recovered.open_jobs.len();
    let scheduler = Scheduler::recover(node.policy.clone(), leadership, node.now(), recovered)
        .map_err(|error| {
            tracing::error!(%error, "failover stopped by an unreadable record");
            FailoverError::UnreadableRecord
        })?;
    if !term.authority.is_held(node.now()) {
        return Err(FailoverError::AuthorityLapsed);
    }
    term.authority.view_refreshed(requested_at);
    log_failover(
        node,
        &scheduler,
        fencing_token,
        store_revision,
        requested_at,
        jobs,
    );
    let activity = Arc::new(Activity::new(node.now()));
    node.leadership.activate(ActiveLeader {
        scheduler,
        authority: term.authority.clone(),
        activity: activity.clone(),
    });
    Ok(CompletedFailover {
        activity,
        store_revision,
    })
}

fn log_failover(
    node: &Node,
    scheduler: &Scheduler,
    fencing_token: FencingToken,
    store_revision: StoreRevision,
    requested_at: Instant,
    jobs: usize,
) {
    let attempts = scheduler.attempt_counts();
    tracing::info!(
        %fencing_token,
        %store_revision,
        read_ms = (node.now() - requested_at).0,
        jobs,
        machines = scheduler.machines_up(),
        attempts = attempts.total,
        attempts_of_closed_jobs = attempts.of_closed_jobs,
        "failover complete"
    );
}

/// Runs the leader's tasks until the term ends.
async fn run_tasks(term: &TermContext, failover: CompletedFailover) {
    let CompletedFailover {
        activity,
        store_revision,
    } = failover;
    let mut tasks = JoinSet::new();
    tasks.spawn(step_loop::run(term.clone(), activity.clone()));
    tasks.spawn(job_watch::run(term.clone(), store_revision));
    tasks.spawn(machine_list::poll(term.clone()));
    tasks.spawn(count_broadcast::run(term.clone()));
    tasks.spawn(transfer::watch_heartbeats(term.clone()));
    term.end.cancelled().await;
    tasks.shutdown().await;
    activity.log(term.node.now());
}
