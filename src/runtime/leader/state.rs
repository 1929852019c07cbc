//! What a controller knows of the leadership: its own scheduler if it leads, the name of whoever else does.

use super::activity::Activity;
use crate::coordination::attempts::reconciliation::HeartbeatOutcome;
use crate::coordination::leadership::authority::Authority;
use crate::coordination::{Effect, Event, JobTaskCounts, Scheduler, TaskCounts};
use crate::ids::{FencingToken, JobId, MachineId};
use crate::protocol::workers::{Command, WorkerStatus};
use crate::runtime::lock;
use crate::time::{Instant, TimeSpan};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{watch, Notify};

/// A heartbeat waits for a failover to this controller for this long; the worker waits for 4 s.
const FAILOVER_WAIT: Duration = Duration::from_millis(2500);
/// The name of the leader counts for this long after it was asked for.
const OTHER_LEADER_FRESH: TimeSpan = TimeSpan(3000);
/// After a leadership transfer this controller doesn't campaign for this long.
const TRANSFER_COOL_DOWN: TimeSpan = TimeSpan(20_000);
/// It campaigns after this long all the same if nobody else has become the leader.
const MIN_COOL_DOWN: TimeSpan = TimeSpan(4_000);

/// The reply to a worker's heartbeat.
pub enum HeartbeatReply {
    /// The worker is to carry out these commands, which may be none. It renews the worker's lease.
    Commands {
        /// The leader's fencing token.
        token: FencingToken,
        /// The commands.
        commands: Vec<Command>,
    },
    /// The worker is to turn to the leader, whose name is given if it is known.
    Redirect {
        /// The leader's name.
        leader: Option<String>,
    },
    /// This controller has won the election and is about to take over.
    FailoverInProgress,
}

/// What carries commands to a worker.
#[derive(Clone, Copy, Debug)]
enum Carrier {
    /// The response to a heartbeat.
    Heartbeat,
    /// A push.
    Command,
}

/// A leadership that is going on.
pub struct ActiveLeader {
    /// The scheduler of this term.
    pub scheduler: Scheduler,
    /// The right to act.
    pub authority: Arc<Authority>,
    /// Counters for the log.
    pub activity: Arc<Activity>,
}

impl ActiveLeader {
    /// Logs each launch and stop as it is sent, and how old the view of the open jobs is that it rests on.
    fn log_commands(
        &self,
        now: Instant,
        carrier: Carrier,
        machine_id: &MachineId,
        commands: &[Command],
    ) {
        let token = self.scheduler.token();
        let view_age_ms = self.authority.view_age(now).0;
        for command in commands {
            match command {
                Command::Launch { task, attempt_id } => {
                    tracing::debug!(machine = %machine_id, %task, attempt = %attempt_id, ?carrier, fencing_token = %token, view_age_ms, "launch sent");
                }
                Command::Stop {
                    task, attempt_id, ..
                } => {
                    tracing::debug!(machine = %machine_id, %task, attempt = %attempt_id, ?carrier, fencing_token = %token, view_age_ms, "stop sent");
                }
                Command::Clear { .. } => {}
            }
        }
    }
}

/// Another leader's name, as read at a moment.
struct ObservedLeader {
    name: String,
    asked_at: Instant,
}

/// Whether this controller leads, its scheduler if it does, and who else leads if it does not.
#[derive(Default)]
pub struct LeadershipState {
    active: Mutex<Option<ActiveLeader>>,
    /// Whether this controller has won the election but has not taken over yet.
    taking_over: watch::Sender<bool>,
    other_leader: Mutex<Option<ObservedLeader>>,
    /// Wakes the step loop.
    step_requested: Notify,
    /// The end of the cool-down after a leadership transfer.
    cool_down_until: Mutex<Option<Instant>>,
}

impl LeadershipState {
    /// Whether this controller leads at this moment.
    pub fn is_leader(&self, now: Instant) -> bool {
        lock(&self.active)
            .as_ref()
            .is_some_and(|leader| leader.authority.is_held(now))
    }

    /// Makes the step loop run soon.
    pub fn request_step(&self) {
        self.step_requested.notify_one();
    }

    /// Waits until a step is requested.
    pub async fn step_requested(&self) {
        self.step_requested.notified().await;
    }

    /// Hands the scheduler an event; does nothing if this controller doesn't lead.
    pub fn handle_event(&self, now: Instant, event: Event) {
        if let Some(leader) = lock(&self.active).as_mut() {
            leader.scheduler.handle(now, event);
            self.step_requested.notify_one();
        }
    }

    /// Hands the scheduler the outcome of an effect, if the term that asked for it is still going on.
    pub fn handle_outcome(&self, now: Instant, authority: &Arc<Authority>, event: Event) {
        let same_term = lock(&self.active)
            .as_ref()
            .is_some_and(|leader| Arc::ptr_eq(&leader.authority, authority));
        if same_term {
            self.handle_event(now, event);
        }
    }

    /// Waits until a failover to this controller is over, if it is so soon.
    pub async fn wait_for_failover(&self) {
        let mut taking_over = self.taking_over.subscribe();
        let finished = taking_over.wait_for(|taking_over| !taking_over);
        let _ = tokio::time::timeout(FAILOVER_WAIT, finished).await;
    }

    /// Handles a heartbeat. Authority is checked before the scheduler acts on it.
    pub fn heartbeat(&self, now: Instant, status: &WorkerStatus) -> HeartbeatReply {
        if *self.taking_over.borrow() {
            return HeartbeatReply::FailoverInProgress;
        }
        let reply = self.heartbeat_as_leader(now, status);
        reply.unwrap_or_else(|| HeartbeatReply::Redirect {
            leader: self.other_leader(now),
        })
    }

    /// The leader's reply; None if this controller doesn't lead.
    fn heartbeat_as_leader(&self, now: Instant, status: &WorkerStatus) -> Option<HeartbeatReply> {
        let mut active = lock(&self.active);
        let leader = active.as_mut()?;
        if !leader.authority.is_held(now) {
            return None;
        }
        let outcome = leader.scheduler.heartbeat(now, status);
        self.step_requested.notify_one();
        Some(match outcome {
            HeartbeatOutcome::Commands(commands) => {
                leader.log_commands(now, Carrier::Heartbeat, &status.machine_id, &commands);
                let view_age = leader.authority.view_age(now);
                leader.activity.heartbeat_answered(&commands, view_age);
                HeartbeatReply::Commands {
                    token: leader.scheduler.token(),
                    commands,
                }
            }
            HeartbeatOutcome::Refused => HeartbeatReply::Redirect { leader: None },
        })
    }

    /// The name of the other leader, if it was read lately.
    ///
    /// Guards against a controller that lost the state store and goes on sending workers to whoever led when it
    /// last knew.
    fn other_leader(&self, now: Instant) -> Option<String> {
        let other = lock(&self.other_leader);
        let fresh = other
            .as_ref()
            .filter(|leader| now - leader.asked_at < OTHER_LEADER_FRESH);
        fresh.map(|leader| leader.name.clone())
    }

    /// Notes the name of the other leader, and when it was asked for; None if there is none or it is not known.
    pub fn set_other_leader(&self, leader: Option<(String, Instant)>) {
        *lock(&self.other_leader) =
            leader.map(|(name, asked_at)| ObservedLeader { name, asked_at });
    }

    /// The task counts of one job, if this controller leads.
    pub fn task_counts(&self, now: Instant, id: &JobId) -> Option<TaskCounts> {
        let active = lock(&self.active);
        let leader = active
            .as_ref()
            .filter(|leader| leader.authority.is_held(now))?;
        Some(leader.scheduler.task_counts_of(id))
    }

    /// The task counts of all open jobs that have any. Empty without a leader.
    pub fn all_task_counts(&self) -> Vec<JobTaskCounts> {
        lock(&self.active)
            .as_ref()
            .map_or(Vec::new(), |leader| leader.scheduler.task_counts())
    }

    /// How many machines the scheduler knows to be up; 0 without a leader.
    pub fn machines_up(&self) -> usize {
        lock(&self.active)
            .as_ref()
            .map_or(0, |leader| leader.scheduler.machines_up())
    }

    /// Lets the scheduler decide; None if the term is over.
    pub fn step(&self, now: Instant) -> Option<Vec<Effect>> {
        let mut active = lock(&self.active);
        active.as_mut().map(|leader| leader.scheduler.step(now))
    }

    /// The effect as it is sent, which may be some time after it was decided: pushed commands that are no
    /// longer wanted are left out.
    pub fn prepare_to_send(&self, now: Instant, mut effect: Effect) -> Effect {
        if let Effect::Push {
            machine_id,
            commands,
            ..
        } = &mut effect
        {
            if let Some(leader) = lock(&self.active).as_ref() {
                *commands = leader
                    .scheduler
                    .revalidate_commands(machine_id, std::mem::take(commands));
                leader.log_commands(now, Carrier::Command, machine_id, commands);
            }
        }
        effect
    }

    /// A failover to this controller begins: heartbeats wait for its end.
    ///
    /// Guards against a failover that starves: workers sent here by other controllers would be sent away and
    /// come back every second, all of them, and took the whole of a small share of the processor.
    pub fn failover_begins(&self) {
        self.taking_over.send_replace(true);
    }

    /// From now on this controller leads.
    pub fn activate(&self, leader: ActiveLeader) {
        *lock(&self.active) = Some(leader);
        self.taking_over.send_replace(false);
    }

    /// From now on this controller doesn't lead.
    pub fn deactivate(&self) {
        *lock(&self.active) = None;
        self.taking_over.send_replace(false);
    }

    /// The leadership is transferred: others campaign first.
    pub fn begin_cool_down(&self, now: Instant) {
        *lock(&self.cool_down_until) = Some(now + TRANSFER_COOL_DOWN);
    }

    /// Whether this controller leaves the campaign to others after a leadership transfer. A vacant leadership is
    /// left to them only for the first part of the cool-down.
    pub fn must_stand_back(&self, now: Instant, vacant: bool) -> bool {
        let until = (*lock(&self.cool_down_until)).filter(|until| now < *until);
        until.is_some_and(|until| vacant && until - now > TRANSFER_COOL_DOWN - MIN_COOL_DOWN)
    }
}
