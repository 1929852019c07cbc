//! The tasks of a leader: the lease, handing over, the step loop. How a controller becomes the leader is in
//! `campaign.rs`, what it reads of the jobs in `following.rs`, carrying out what the core decides in
//! `effects.rs`.

mod activity;
mod effects;
pub(super) mod election;
mod job_watch;

use crate::coordination::attempts::reconciliation::HeartbeatOutcome;
use crate::coordination::leadership::authority::Authority;
use crate::coordination::leadership::transfer::{should_hand_over, silence_bound};
use crate::coordination::{Effect, Event, Scheduler};
use crate::ids::{FencingToken, JobId, LeaseId, MachineId};
use crate::protocol::peers::{PeerReply, PeerRequest};
use crate::protocol::workers::{Command, WorkerStatus};
use crate::runtime::clients::cloud::list_hosts;
use crate::runtime::clients::state_store::StateError;
use crate::runtime::leader::activity::Activity;
use crate::runtime::leader::effects::carry_out;
use crate::runtime::leader::election::Won;
use crate::runtime::leader::job_watch::{inherit, watch_jobs};
use crate::runtime::{lock, Node};
use crate::time::{Instant, TimeSpan};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio_util::sync::CancellationToken;

/// A leadership that is going on.
struct Active {
    core: Scheduler,
    authority: Arc<Authority>,
    activity: Arc<Activity>,
}

/// What carries orders to a worker.
#[derive(Clone, Copy, Debug)]
enum Carrier {
    Heartbeat,
    Command,
}

impl Active {
    /// Each launch and stop as it leaves, and what it rests on.
    fn log_orders(
        &self,
        now: Instant,
        carrier: Carrier,
        machine_id: &MachineId,
        commands: &[Command],
    ) {
        let token = self.core.token();
        let view_age_ms = self.authority.view_age(now).0;
        for order in commands {
            match order {
                Command::Launch { task, attempt_id } => {
                    tracing::debug!(machine = %machine_id, %task, attempt = %attempt_id, ?carrier, %token, view_age_ms, "launch leaves");
                }
                Command::Stop {
                    task, attempt_id, ..
                } => {
                    tracing::debug!(machine = %machine_id, %task, attempt = %attempt_id, ?carrier, %token, view_age_ms, "stop leaves");
                }
                Command::Clear { .. } => {}
            }
        }
    }
}

/// What a worker's check-in is answered with.
pub enum Heartbeat {
    Commands {
        token: FencingToken,
        commands: Vec<Command>,
    },
    GoTo(Option<String>),
    /// This controller has the leader key and is about to take over.
    TakingOver,
}

/// A check-in waits for a takeover for this long; the worker waits for 4 s.
const TAKEOVER_WAIT: Duration = Duration::from_millis(2500);

/// The leader's core, if this controller leads, and the name of whoever else does.
#[derive(Default)]
pub struct LeaderCell {
    active: Mutex<Option<Active>>,
    /// Whether we have the leader key but have not taken over yet.
    taking: watch::Sender<bool>,
    /// As read at that moment: it counts only for so long.
    pub(in crate::runtime) other: Mutex<Option<(String, Instant)>>,
    wake: Notify,
    /// We handed over, and don't campaign before this.
    pub(in crate::runtime) stand_back: Mutex<Option<Instant>>,
}

impl LeaderCell {
    /// Whether this controller leads at this moment.
    pub fn leads(&self, now: Instant) -> bool {
        lock(&self.active)
            .as_ref()
            .is_some_and(|a| a.authority.is_held(now))
    }

    /// Makes the step loop look soon.
    pub fn nudge(&self) {
        self.wake.notify_one();
    }

    /// Hands the core an event; nothing if this controller doesn't lead.
    pub fn event(&self, now: Instant, event: Event) {
        if let Some(a) = lock(&self.active).as_mut() {
            a.core.on(now, event);
            self.wake.notify_one();
        }
    }

    /// Waits until a takeover that is under way is over, if it is so soon.
    pub async fn taken_over(&self) {
        let mut taking = self.taking.subscribe();
        let _ = tokio::time::timeout(TAKEOVER_WAIT, taking.wait_for(|t| !t)).await;
    }

    /// Answers a check-in. Authority is checked before the core acts and again on what it says.
    pub fn heartbeat(&self, now: Instant, report: &WorkerStatus) -> Heartbeat {
        if *self.taking.borrow() {
            return Heartbeat::TakingOver;
        }
        if let Some(a) = lock(&self.active).as_mut() {
            if a.authority.is_held(now) {
                let answer = a.core.heartbeat(now, report);
                self.wake.notify_one();
                return match answer {
                    HeartbeatOutcome::Commands(commands) => {
                        a.log_orders(now, Carrier::Heartbeat, &report.machine_id, &commands);
                        a.activity.answered(&commands, a.authority.view_age(now));
                        Heartbeat::Commands {
                            token: a.core.token(),
                            commands,
                        }
                    }
                    HeartbeatOutcome::Refused => Heartbeat::GoTo(None),
                };
            }
        }
        // Guards against a controller that lost the state service and goes on sending workers to
        // whoever led when it last knew.
        let other = lock(&self.other).clone();
        let fresh = other.filter(|(_, read)| now - *read < OTHER_FRESH);
        Heartbeat::GoTo(fresh.map(|(name, _)| name))
    }

    /// Counts of one job, if this controller leads.
    pub fn counts_of(&self, now: Instant, id: &JobId) -> Option<(u32, u32)> {
        let active = lock(&self.active);
        let a = active.as_ref().filter(|a| a.authority.is_held(now))?;
        Some(a.core.counts_of(id))
    }
}

/// The name of the leader counts for this long after it was read.
const OTHER_FRESH: TimeSpan = TimeSpan(3000);

/// Leads until authority is lost.
pub(in crate::runtime) async fn lead(node: &Arc<Node>, won: Won) {
    let end = node.stop.child_token();
    let (first, lease) = (won.lead.initial_token, won.lead.lease);
    let began = node.now();
    tracing::info!(token = %first, version = env!("CARGO_PKG_VERSION"), "leading");
    let renewing = tokio::spawn(renew(
        node.clone(),
        won.authority.clone(),
        lease,
        end.clone(),
    ));
    // Guards against a takeover that starves: workers sent here by the others would be sent away and
    // come back every second, all of them, and took the whole of a small share.
    node.leader.taking.send_replace(true);
    let asked = node.now();
    let found = inherit(node).await;
    let core = found.and_then(|(found, store_revision)| {
        let jobs = found.open_jobs.len();
        let taken = Scheduler::recover(node.policy.clone(), won.lead, node.now(), found);
        // Guards against taking a start for never launched because its record can't be read.
        taken
            .map_err(|e| tracing::error!(error = %e, "a record can't be read: not leading"))
            .ok()
            .map(|core| (core, store_revision, jobs))
    });
    match core {
        Some((core, store_revision, jobs)) if won.authority.is_held(node.now()) => {
            won.authority.view_refreshed(asked);
            let (machines, attempts) = (core.machines_up(), core.attempt_counts());
            let activity = Arc::new(Activity::new(node.now()));
            *lock(&node.leader.active) = Some(Active {
                core,
                authority: won.authority.clone(),
                activity: activity.clone(),
            });
            node.leader.taking.send_replace(false);
            let read_ms = (node.now() - asked).0;
            tracing::info!(
                token = %first,
                store_revision = %store_revision,
                read_ms,
                jobs,
                machines,
                attempts = attempts.all,
                starts_of_closed_jobs = attempts.of_closed_jobs,
                "took over"
            );
            let mut tasks = tokio::task::JoinSet::new();
            let authority = won.authority.clone();
            tasks.spawn(steps(
                node.clone(),
                authority,
                activity.clone(),
                end.clone(),
            ));
            let authority = won.authority.clone();
            tasks.spawn(watch_jobs(
                node.clone(),
                authority,
                store_revision,
                end.clone(),
            ));
            tasks.spawn(list_hosts(node.clone(), end.clone()));
            tasks.spawn(tell_counts(node.clone(), end.clone()));
            let authority = won.authority.clone();
            tasks.spawn(listen_for_workers(node.clone(), authority, end.clone()));
            end.cancelled().await;
            tasks.shutdown().await;
            activity.log(node.now());
        }
        _ => tracing::info!(token = %first, "could not take over"),
    }
    won.authority.resign();
    *lock(&node.leader.active) = None;
    node.leader.taking.send_replace(false);
    end.cancel();
    let _ = renewing.await;
    tracing::info!(token = %first, led_ms = (node.now() - began).0, "leading no more");
    // Others needn't wait for a lease that we don't use. Everything of ours has stopped by now.
    node.state.revoke(lease).await;
}

/// Touches the lease until authority is lost. A touch doesn't wait for the answer to the one before.
///
/// Guards against a leader that ends a moment after a takeover: a thousand workers reported at once,
/// answers waited in the sockets for longer than an ordinary call may take, and every touch was given
/// up though it had been answered. Each is good from when it was sent, however late it is read.
async fn renew(node: Arc<Node>, authority: Arc<Authority>, lease: LeaseId, end: CancellationToken) {
    let life = node.settings.leader.life.0 as u64;
    let every = Duration::from_millis(life / TOUCHES);
    let mut touches = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            _ = end.cancelled() => return,
            _ = tokio::time::sleep(every) => {}
        }
        while touches.try_join_next().is_some() {}
        if !authority.is_held(node.now()) {
            end_lapsed(&authority, node.now(), &end);
            return;
        }
        if touches.len() < TOUCHES as usize {
            let (node, authority) = (node.clone(), authority.clone());
            touches.spawn(async move {
                let sent = node.now();
                match node.state.touch(lease, Duration::from_millis(life)).await {
                    Ok(()) => authority.lease_renewed(sent),
                    Err(StateError::NoLease) => {
                        tracing::info!("the leader's lease is over");
                        authority.resign();
                    }
                    Err(_) => {}
                }
            });
        }
    }
}

/// Ends a leadership whose authority has lapsed, and says why, once. A touch that is answered later changes
/// nothing any more.
fn end_lapsed(authority: &Authority, now: Instant, end: &CancellationToken) {
    if !end.is_cancelled() {
        let (authority_loss, view_age) = (authority.loss(now), authority.view_age(now));
        tracing::info!(
            ?authority_loss,
            view_age_ms = view_age.0,
            "authority lapsed"
        );
    }
    end.cancel();
}

/// Touches in a lease's life, and so many at most under way.
const TOUCHES: u64 = 5;

/// Hands the leadership over when we alone hear no workers: guards against a leader whose workers'
/// leases all run out while siblings could answer them. We stop acting first, then end the lease.
async fn listen_for_workers(node: Arc<Node>, authority: Arc<Authority>, end: CancellationToken) {
    let began = node.now();
    let report_s = node.policy.facts.workers.report_s;
    let silence = || {
        let since_began = node.now() - began;
        node.workers_heard()
            .map_or(since_began, |s| s.min(since_began))
    };
    loop {
        tokio::select! {
            _ = end.cancelled() => return,
            _ = tokio::time::sleep(Duration::from_secs(1)) => {}
        }
        let up = lock(&node.leader.active)
            .as_ref()
            .map_or(0, |a| a.core.machines_up());
        let bound = silence_bound(up, report_s);
        if silence() <= bound {
            continue;
        }
        let mut heard = Vec::new();
        for s in &node.siblings {
            let hello = s.ask(&PeerRequest::Hello, Duration::from_millis(400)).await;
            heard.push(match hello {
                Some(PeerReply::Hello {
                    state_ok: true,
                    workers_heard_ms: Some(ms),
                }) => Some(TimeSpan(ms)),
                _ => None,
            });
        }
        // Measured again: a process that stood still has taken in by now what had come meanwhile.
        if should_hand_over(up, silence(), &heard, bound) {
            tracing::info!("no worker reaches us, but a sibling hears them: handing over");
            *lock(&node.leader.stand_back) = Some(node.now() + STAND_BACK);
            authority.resign();
            end.cancel();
            return;
        }
    }
}

/// After handing over we don't campaign for this long, unless nobody else takes the lead.
pub(in crate::runtime) const STAND_BACK: TimeSpan = TimeSpan(20_000);

/// Tells siblings the task counts, for display in their answers to polls.
async fn tell_counts(node: Arc<Node>, end: CancellationToken) {
    let mut told = Vec::new();
    loop {
        tokio::select! {
            _ = end.cancelled() => return,
            _ = tokio::time::sleep(Duration::from_millis(1500)) => {}
        }
        let jobs = lock(&node.leader.active)
            .as_ref()
            .map_or(Vec::new(), |a| a.core.counts());
        if jobs == told {
            continue;
        }
        let request = PeerRequest::Counts { jobs: jobs.clone() };
        for s in &node.siblings {
            let _ = s.ask(&request, Duration::from_millis(400)).await;
        }
        told = jobs;
    }
}

/// Events are collected for so long before a step.
const BUNCH: TimeSpan = TimeSpan(10);

/// Lets the core decide, soon after events and a few times a second, and carries out its effects.
async fn steps(
    node: Arc<Node>,
    authority: Arc<Authority>,
    activity: Arc<Activity>,
    end: CancellationToken,
) {
    loop {
        let _ = tokio::time::timeout(Duration::from_millis(250), node.leader.wake.notified()).await;
        // Events come in bunches; one decision for all of them.
        let due = node.now() + BUNCH;
        tokio::time::sleep(Duration::from_millis(BUNCH.0 as u64)).await;
        let now = node.now();
        if end.is_cancelled() || !authority.is_held(now) {
            end_lapsed(&authority, now, &end);
            return;
        }
        let effects = match lock(&node.leader.active).as_mut() {
            Some(a) => a.core.step(now),
            None => return,
        };
        activity.stepped(&effects, node.now() - now, now - due);
        activity.log_if_due(now);
        for effect in effects {
            if let Effect::StepDown { why } = effect {
                tracing::info!(why, "stepping down");
                authority.resign();
                end.cancel();
                return;
            }
            let (node, authority, end) = (node.clone(), authority.clone(), end.clone());
            tokio::spawn(async move {
                // Authority is checked as each effect leaves, not only when it was decided.
                if !end.is_cancelled() && authority.is_held(node.now()) {
                    let effect = node.leader.as_it_leaves(node.now(), effect);
                    if let Some(event) = carry_out(&node, &authority, effect).await {
                        if !end.is_cancelled() {
                            node.leader.event_of(node.now(), &authority, event);
                        }
                    }
                }
            });
        }
    }
}

impl LeaderCell {
    /// An effect with what is known as it leaves, which may be some time after it was decided.
    fn as_it_leaves(&self, now: Instant, mut effect: Effect) -> Effect {
        if let Effect::Push {
            machine_id,
            commands,
            ..
        } = &mut effect
        {
            if let Some(active) = lock(&self.active).as_ref() {
                *commands = active.core.still_wanted(std::mem::take(commands));
                active.log_orders(now, Carrier::Command, machine_id, commands);
            }
        }
        effect
    }

    /// Hands over an outcome, if the leadership that asked for it is still the one going on.
    fn event_of(&self, now: Instant, authority: &Arc<Authority>, event: Event) {
        let same = lock(&self.active)
            .as_ref()
            .is_some_and(|a| Arc::ptr_eq(&a.authority, authority));
        if same {
            self.event(now, event);
        }
    }
}
