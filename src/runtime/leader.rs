//! Campaigning for the leadership, and the tasks of a leader: the lease, handing over, the step loop.
//! What it reads of the jobs is in `following.rs`, carrying out what the core decides in `effects.rs`.

use super::cloud::list_hosts;
use super::effects::carry_out;
use super::following::{inherit, watch_jobs};
use super::state_client::{StateError, TxnOutcome};
use super::{lock, Node};
use crate::coordination::leadership::{should_hand_over, silence_bound, Authority, Lead};
use crate::coordination::worker_sessions::CheckInAnswer;
use crate::coordination::{Core, Effect, Event};
use crate::ids::{JobId, LeaseId, Millis, Stamp, Token};
use crate::protocol::peers::{PeerReply, PeerRequest};
use crate::protocol::state::{Change, Guard, Txn};
use crate::protocol::workers::{Order, Report};
use crate::storage::records::{LeadRecord, LEAD, TOKEN};
use rand::Rng;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio_util::sync::CancellationToken;

/// A leadership that is going on.
struct Active {
    core: Core,
    authority: Arc<Authority>,
}

/// What a worker's check-in is answered with.
pub enum CheckIn {
    Orders {
        token: Token,
        orders: Vec<Order>,
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
    other: Mutex<Option<(String, Millis)>>,
    wake: Notify,
    /// We handed over, and don't campaign before this.
    stand_back: Mutex<Option<Millis>>,
}

impl LeaderCell {
    /// Whether this controller leads at this moment.
    pub fn leads(&self, now: Millis) -> bool {
        lock(&self.active)
            .as_ref()
            .is_some_and(|a| a.authority.holds(now))
    }

    /// Makes the step loop look soon.
    pub fn nudge(&self) {
        self.wake.notify_one();
    }

    /// Hands the core an event; nothing if this controller doesn't lead.
    pub fn event(&self, now: Millis, event: Event) {
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
    pub fn check_in(&self, now: Millis, report: &Report) -> CheckIn {
        if *self.taking.borrow() {
            return CheckIn::TakingOver;
        }
        if let Some(a) = lock(&self.active).as_mut() {
            if a.authority.holds(now) {
                let answer = a.core.check_in(now, report);
                self.wake.notify_one();
                return match answer {
                    CheckInAnswer::Orders(orders) => CheckIn::Orders {
                        token: a.core.token(),
                        orders,
                    },
                    CheckInAnswer::Refuse => CheckIn::GoTo(None),
                };
            }
        }
        // Guards against a controller that lost the state service and goes on sending workers to
        // whoever led when it last knew.
        let other = lock(&self.other).clone();
        let fresh = other.filter(|(_, read)| now - *read < OTHER_FRESH);
        CheckIn::GoTo(fresh.map(|(name, _)| name))
    }

    /// Counts of one job, if this controller leads.
    pub fn counts_of(&self, now: Millis, id: &JobId) -> Option<(u32, u32)> {
        let active = lock(&self.active);
        let a = active.as_ref().filter(|a| a.authority.holds(now))?;
        Some(a.core.counts_of(id))
    }
}

/// The name of the leader counts for this long after it was read.
const OTHER_FRESH: Millis = Millis(3000);

/// Campaigns, leads, and campaigns again, until stopped.
pub async fn campaign(node: Arc<Node>) {
    while !node.stop.is_cancelled() {
        let asked = node.now();
        match node.state.get(LEAD).await {
            Ok(item) => {
                let held = item.as_ref().and_then(|i| {
                    serde_json::from_value::<LeadRecord>(i.data.clone())
                        .ok()
                        .map(|r| r.host_name)
                });
                let mine = held.as_deref() == Some(&node.settings.platform.host_name);
                *lock(&node.leader.other) = held.filter(|_| !mine).map(|name| (name, asked));
                // A leader key with our own name is that of our predecessor on this host, whose
                // process has ended: there is no need to wait for its lease.
                let now = node.now();
                let back = (*lock(&node.leader.stand_back)).filter(|until| now < *until);
                let wait = back
                    .is_some_and(|until| item.is_none() && until - now > STAND_BACK - NOBODY_ELSE);
                if (item.is_none() || mine) && !wait {
                    let stamp = item.map(|i| i.stamp).unwrap_or_default();
                    if let Some(won) = take_lead(&node, stamp).await {
                        *lock(&node.leader.other) = None;
                        lead(&node, won).await;
                        continue;
                    }
                }
            }
            Err(_) => *lock(&node.leader.other) = None,
        }
        let pause = Duration::from_millis(500 + rand::rng().random_range(0..300));
        tokio::select! {
            _ = node.stop.cancelled() => {}
            _ = tokio::time::sleep(pause) => {}
        }
    }
}

struct Won {
    lead: Lead,
    authority: Arc<Authority>,
}

/// Tries to take the leader key, raising the durable token in the same transaction.
async fn take_lead(node: &Node, lead_stamp: Stamp) -> Option<Won> {
    let life = node.settings.leader.life;
    let sent = node.now();
    let lease = node.state.grant(life.0 as u64).await.ok()?;
    let won = take_with(node, lead_stamp, lease, sent).await;
    if won.is_none() {
        // A late copy of our transaction can't take the key for a lease that has ended.
        node.state.revoke(lease).await;
    }
    won
}

async fn take_with(node: &Node, lead_stamp: Stamp, lease: LeaseId, sent: Millis) -> Option<Won> {
    let old = node.state.get(TOKEN).await.ok()?;
    let (last, token_stamp) = match old {
        Some(i) => (i.data.as_u64()?, i.stamp),
        None => (0, Stamp(0)),
    };
    let token = Token(last + 1);
    let record = LeadRecord {
        host_name: node.settings.platform.host_name.clone(),
        token,
    };
    let txn = Txn {
        guards: vec![
            Guard {
                key: LEAD.into(),
                stamp: lead_stamp,
            },
            Guard {
                key: TOKEN.into(),
                stamp: token_stamp,
            },
        ],
        apply: vec![
            Change::Put {
                put: LEAD.into(),
                data: serde_json::to_value(&record).ok()?,
                lease: Some(lease),
            },
            Change::put(TOKEN.into(), token.0.into()),
        ],
    };
    let (stamp, token_stamp) = match node.state.txn(&txn).await {
        Ok(TxnOutcome::Applied(epoch)) => (Stamp(epoch.0), Stamp(epoch.0)),
        Err(StateError::Unclear) => {
            // Only what is read settles it: the key carries our lease and this token, or not.
            let item = node.state.get(LEAD).await.ok()??;
            let record: LeadRecord = serde_json::from_value(item.data).ok()?;
            if item.lease != Some(lease) || record.token != token {
                return None;
            }
            // Both keys were written by the same transaction.
            (item.stamp, item.stamp)
        }
        _ => return None,
    };
    Some(Won {
        lead: Lead {
            token,
            first: token,
            stamp,
            token_stamp,
            lease,
            host_name: record.host_name,
        },
        authority: Arc::new(Authority::new(node.settings.leader, sent)),
    })
}

/// Leads until authority is lost.
async fn lead(node: &Arc<Node>, won: Won) {
    let end = node.stop.child_token();
    let (first, lease) = (won.lead.first, won.lead.lease);
    tracing::info!(token = %first, "leading");
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
    let core = found.and_then(|(found, epoch)| {
        let jobs = found.open.len();
        let taken = Core::take_over(node.policy.clone(), won.lead, node.now(), found);
        // Guards against taking a start for never launched because its record can't be read.
        taken
            .map_err(|e| tracing::error!(error = %e, "a record can't be read: not leading"))
            .ok()
            .map(|core| (core, epoch, jobs))
    });
    match core {
        Some((core, epoch, jobs)) if won.authority.holds(node.now()) => {
            won.authority.knows(asked);
            *lock(&node.leader.active) = Some(Active {
                core,
                authority: won.authority.clone(),
            });
            node.leader.taking.send_replace(false);
            tracing::info!(token = %first, jobs, "took over");
            let mut tasks = tokio::task::JoinSet::new();
            tasks.spawn(steps(node.clone(), won.authority.clone(), end.clone()));
            let authority = won.authority.clone();
            tasks.spawn(watch_jobs(node.clone(), authority, epoch, end.clone()));
            tasks.spawn(list_hosts(node.clone(), end.clone()));
            tasks.spawn(tell_counts(node.clone(), end.clone()));
            let authority = won.authority.clone();
            tasks.spawn(listen_for_workers(node.clone(), authority, end.clone()));
            end.cancelled().await;
            tasks.shutdown().await;
        }
        _ => tracing::info!(token = %first, "could not take over"),
    }
    won.authority.resign();
    *lock(&node.leader.active) = None;
    node.leader.taking.send_replace(false);
    end.cancel();
    let _ = renewing.await;
    tracing::info!(token = %first, "leading no more");
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
        if !authority.holds(node.now()) {
            end.cancel();
            return;
        }
        if touches.len() < TOUCHES as usize {
            let (node, authority) = (node.clone(), authority.clone());
            touches.spawn(async move {
                let sent = node.now();
                match node.state.touch(lease, Duration::from_millis(life)).await {
                    Ok(()) => authority.renewed(sent),
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
                }) => Some(Millis(ms)),
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
const STAND_BACK: Millis = Millis(20_000);
const NOBODY_ELSE: Millis = Millis(4_000);

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

/// Lets the core decide, soon after events and a few times a second, and carries out its effects.
async fn steps(node: Arc<Node>, authority: Arc<Authority>, end: CancellationToken) {
    loop {
        let _ = tokio::time::timeout(Duration::from_millis(250), node.leader.wake.notified()).await;
        // Events come in bunches; one decision for all of them.
        tokio::time::sleep(Duration::from_millis(10)).await;
        let now = node.now();
        if end.is_cancelled() || !authority.holds(now) {
            end.cancel();
            return;
        }
        let effects = match lock(&node.leader.active).as_mut() {
            Some(a) => a.core.step(now),
            None => return,
        };
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
                if !end.is_cancelled() && authority.holds(node.now()) {
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
    /// Hands over an outcome, if the leadership that asked for it is still the one going on.
    fn event_of(&self, now: Millis, authority: &Arc<Authority>, event: Event) {
        let same = lock(&self.active)
            .as_ref()
            .is_some_and(|a| Arc::ptr_eq(&a.authority, authority));
        if same {
            self.event(now, event);
        }
    }
}
