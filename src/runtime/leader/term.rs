//! One term of a leader: failover, the tasks of the leader, and the end.

use super::activity::Activity;
use super::election::ElectionWon;
use super::state::ActiveLeader;
use super::{count_broadcast, job_watch, lease_renewal, machine_list, step_loop, transfer};
use crate::coordination::leadership::authority::Authority;
use crate::coordination::leadership::LeadershipTerm;
use crate::coordination::Scheduler;
use crate::ids::{FencingToken, StoreRevision};
use crate::runtime::Node;
use crate::time::Instant;
use std::sync::Arc;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// What every task of a leader needs: the node, the right to act, and the token that ends the term.
#[derive(Clone)]
pub struct Term {
    /// The controller.
    pub node: Arc<Node>,
    /// The leader's right to act.
    pub authority: Arc<Authority>,
    /// Cancelled when the term ends.
    pub end: CancellationToken,
}

impl Term {
    /// Whether the leader may act at this moment.
    pub fn may_act(&self, now: Instant) -> bool {
        !self.end.is_cancelled() && self.authority.is_held(now)
    }

    /// Gives up the right to act and ends the term.
    pub fn resign(&self) {
        self.authority.resign();
        self.end.cancel();
    }

    /// Ends a term whose authority has lapsed, and logs why, once. A lease renewal that is answered later
    /// changes nothing any more.
    pub fn end_lapsed(&self, now: Instant) {
        if !self.end.is_cancelled() {
            let reason = self.authority.loss(now);
            let view_age_ms = self.authority.view_age(now).0;
            tracing::info!(?reason, view_age_ms, "authority lapsed");
        }
        self.end.cancel();
    }
}

/// Leads until the authority is lost, then revokes the lease.
pub async fn lead(node: &Arc<Node>, won: ElectionWon) {
    let started_at = node.now();
    let (fencing_token, lease) = (won.term.initial_token, won.term.lease);
    let term = Term {
        node: node.clone(),
        authority: won.authority,
        end: node.stop.child_token(),
    };
    tracing::info!(%fencing_token, version = env!("CARGO_PKG_VERSION"), "election won");
    let renewal = tokio::spawn(lease_renewal::renew(term.clone(), lease));
    node.leadership.failover_begins();
    match take_over(&term, won.term).await {
        Some(taken_over) => run_tasks(&term, taken_over).await,
        None => tracing::info!(%fencing_token, "failover abandoned"),
    }
    term.authority.resign();
    node.leadership.deactivate();
    term.end.cancel();
    let _ = renewal.await;
    let duration_ms = (node.now() - started_at).0;
    tracing::info!(%fencing_token, duration_ms, "leadership ended");
    // Others needn't wait for a lease that we don't use. Everything of ours has stopped by now.
    node.state_store.revoke_lease(lease).await;
}

/// A failover that is complete: the scheduler is in place.
struct TakenOver {
    activity: Arc<Activity>,
    /// The store revision of the open jobs that were read: the watch goes on from there.
    store_revision: StoreRevision,
}

/// Reads the state that former leaders left and puts the scheduler in place. None if anything can't be read, or
/// the authority lapsed meanwhile.
async fn take_over(term: &Term, leadership: LeadershipTerm) -> Option<TakenOver> {
    let node = &term.node;
    let fencing_token = leadership.initial_token;
    let asked_at = node.now();
    let (recovered, store_revision) = job_watch::read_recovered_state(node).await?;
    let jobs = recovered.open_jobs.len();
    let scheduler = Scheduler::recover(node.policy.clone(), leadership, node.now(), recovered)
        // Guards against taking an attempt for never launched because its record can't be read.
        .map_err(|error| tracing::error!(%error, "failover stopped by an unreadable record"))
        .ok()?;
    if !term.authority.is_held(node.now()) {
        return None;
    }
    term.authority.view_refreshed(asked_at);
    log_take_over(
        node,
        &scheduler,
        fencing_token,
        store_revision,
        asked_at,
        jobs,
    );
    let activity = Arc::new(Activity::new(node.now()));
    node.leadership.activate(ActiveLeader {
        scheduler,
        authority: term.authority.clone(),
        activity: activity.clone(),
    });
    Some(TakenOver {
        activity,
        store_revision,
    })
}

fn log_take_over(
    node: &Node,
    scheduler: &Scheduler,
    fencing_token: FencingToken,
    store_revision: StoreRevision,
    asked_at: Instant,
    jobs: usize,
) {
    let attempts = scheduler.attempt_counts();
    tracing::info!(
        %fencing_token,
        %store_revision,
        read_ms = (node.now() - asked_at).0,
        jobs,
        machines = scheduler.machines_up(),
        attempts = attempts.total,
        attempts_of_closed_jobs = attempts.of_closed_jobs,
        "failover complete"
    );
}

/// Runs the tasks of the leader until the term ends.
async fn run_tasks(term: &Term, taken_over: TakenOver) {
    let TakenOver {
        activity,
        store_revision,
    } = taken_over;
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
