//! The leadership state of a controller: its scheduler while it is the leader, otherwise the leader's name.

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

/// How long a heartbeat waits for a failover to this controller to finish; the worker's own timeout is 4 s.
const FAILOVER_WAIT: Duration = Duration::from_millis(2500);
/// How long the name of another leader is used after the request that read it.
const OTHER_LEADER_MAX_AGE: TimeSpan = TimeSpan(3000);
/// Length of the cool-down after a leadership transfer.
const TRANSFER_COOL_DOWN: TimeSpan = TimeSpan(20_000);
/// The first part of the cool-down, in which this controller doesn't campaign for a vacant leadership. If no
/// peer has become the leader by its end, this controller campaigns again.
const VACANT_COOL_DOWN: TimeSpan = TimeSpan(4_000);

/// The reply to a worker's heartbeat.
pub enum HeartbeatReply {
    /// Commands for the worker, possibly none. This reply renews the worker's lease.
    Commands {
        /// The leader's fencing token.
        token: FencingToken,
        /// The commands.
        commands: Vec<Command>,
    },
    /// The worker must send its heartbeats to the leader instead, which is named if it is known.
    Redirect {
        /// The leader's name.
        leader: Option<String>,
    },
    /// This controller has won the election, and its failover is in progress.
    FailoverInProgress,
}

/// The kind of message that carries commands to a worker.
#[derive(Clone, Copy, Debug)]
enum Carrier {
    /// The response to a heartbeat.
    Heartbeat,
    /// A push.
    Command,
}

/// The current leadership term of this controller.
pub struct ActiveLeader {
    /// The scheduler of this term.
    pub scheduler: Scheduler,
    /// The leader's authority to act.
    pub authority: Arc<Authority>,
    /// Counters for the log.
    pub activity: Arc<Activity>,
}

impl ActiveLeader {
    /// Logs each launch and stop that is sent, with the age of the view of the open jobs on which it is based.
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

/// Another leader's name, and when it was requested.
struct ObservedLeader {
    name: String,
    requested_at: Instant,
}

/// Whether this controller is the leader, its scheduler if it is, and the name of the other leader if it isn't.
#[derive(Default)]
pub struct LeadershipState {
    active: Mutex<Option<ActiveLeader>>,
    /// Whether this controller has won the election and its failover is in progress.
    in_failover: watch::Sender<bool>,
    other_leader: Mutex<Option<ObservedLeader>>,
    /// Wakes the step loop.
    step_requested: Notify,
    /// The end of the cool-down after a leadership transfer.
    cool_down_until: Mutex<Option<Instant>>,
}

impl LeadershipState {
    /// Whether this controller is the leader and has authority to act.
    pub fn is_leader(&self, now: Instant) -> bool {
        lock(&self.active)
            .as_ref()
            .is_some_and(|leader| leader.authority.is_held(now))
    }

    /// Requests a step of the scheduler.
    pub fn request_step(&self) {
        self.step_requested.notify_one();
    }

    /// Waits until a step is requested.
    pub async fn step_requested(&self) {
        self.step_requested.notified().await;
    }

    /// Passes an event to the scheduler; does nothing if this controller isn't the leader.
    pub fn handle_event(&self, now: Instant, event: Event) {
        if let Some(leader) = lock(&self.active).as_mut() {
            leader.scheduler.handle(now, event);
            self.step_requested.notify_one();
        }
    }

    /// Passes the outcome of an effect to the scheduler, unless the term that issued the effect has ended.
    pub fn handle_outcome(&self, now: Instant, authority: &Arc<Authority>, event: Event) {
        let same_term = lock(&self.active)
            .as_ref()
            .is_some_and(|leader| Arc::ptr_eq(&leader.authority, authority));
        if same_term {
            self.handle_event(now, event);
        }
    }

    /// Waits until a failover to this controller has finished, for at most `FAILOVER_WAIT`.
    pub async fn wait_for_failover(&self) {
        let mut in_failover = self.in_failover.subscribe();
        let finished = in_failover.wait_for(|in_failover| !in_failover);
        let _ = tokio::time::timeout(FAILOVER_WAIT, finished).await;
    }

    /// Handles a heartbeat. The leader's authority is checked before the scheduler processes the heartbeat.
    pub fn heartbeat(&self, now: Instant, status: &WorkerStatus) -> HeartbeatReply {
        if *self.in_failover.borrow() {
            return HeartbeatReply::FailoverInProgress;
        }
        let reply = self.heartbeat_as_leader(now, status);
        reply.unwrap_or_else(|| HeartbeatReply::Redirect {
            leader: self.other_leader(now),
        })
    }

    /// Returns the leader's reply; None if this controller isn't the leader or its authority has lapsed.
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

    /// Returns the name of the other leader, if it was read recently.
    ///
    /// Guards against a controller that can't reach the state store and keeps redirecting workers to a former
    /// leader.
    fn other_leader(&self, now: Instant) -> Option<String> {
        let other = lock(&self.other_leader);
        let fresh = other
            .as_ref()
            .filter(|leader| now - leader.requested_at < OTHER_LEADER_MAX_AGE);
        fresh.map(|leader| leader.name.clone())
    }

    /// Records the name of the other leader and when it was requested; None if there is none or it is unknown.
    pub fn set_other_leader(&self, leader: Option<(String, Instant)>) {
        *lock(&self.other_leader) =
            leader.map(|(name, requested_at)| ObservedLeader { name, requested_at });
    }

    /// Returns the task counts of one job; None if this controller isn't the leader.
    pub fn task_counts(&self, now: Instant, id: &JobId) -> Option<TaskCounts> {
        let active = lock(&self.active);
        let leader = active
            .as_ref()
            .filter(|leader| leader.authority.is_held(now))?;
        Some(leader.scheduler.task_counts_of(id))
    }

    /// Returns the task counts of all open jobs with running or completed tasks; empty if this controller isn't
    /// the leader.
    pub fn all_task_counts(&self) -> Vec<JobTaskCounts> {
        lock(&self.active)
            .as_ref()
            .map_or(Vec::new(), |leader| leader.scheduler.task_counts())
    }

    /// Returns the number of machines that are up; 0 if this controller isn't the leader.
    pub fn machines_up(&self) -> usize {
        lock(&self.active)
            .as_ref()
            .map_or(0, |leader| leader.scheduler.machines_up())
    }

    /// Runs one step of the scheduler and returns its effects; None if the term has ended.
    pub fn step(&self, now: Instant) -> Option<Vec<Effect>> {
        let mut active = lock(&self.active);
        active.as_mut().map(|leader| leader.scheduler.step(now))
    }

    /// Prepares an effect for sending, which may be some time after the scheduler issued it: removes launches
    /// that are no longer wanted from a push.
    pub fn prepare_to_send(&self, now: Instant, mut effect: Effect) -> Effect {
        if let Effect::Push {
            machine_id,
            commands,
            ..
        } = &mut effect
        {
            if let Some(leader) = lock(&self.active).as_mut() {
                *commands = leader
                    .scheduler
                    .revalidate_commands(machine_id, std::mem::take(commands));
                leader.log_commands(now, Carrier::Command, machine_id, commands);
            }
        }
        effect
    }

    /// Starts a failover to this controller; heartbeats wait until it has finished.
    ///
    /// Guards against a failover that gets no processor time: if heartbeats didn't wait, all workers that other
    /// controllers redirect here would be redirected again and retry every second, which used up a small CPU
    /// quota.
    pub fn start_failover(&self) {
        self.in_failover.send_replace(true);
    }

    /// Finishes a failover: this controller becomes the leader.
    pub fn activate(&self, leader: ActiveLeader) {
        *lock(&self.active) = Some(leader);
        self.in_failover.send_replace(false);
    }

    /// Ends this controller's leadership, or its abandoned failover.
    pub fn deactivate(&self) {
        *lock(&self.active) = None;
        self.in_failover.send_replace(false);
    }

    /// Starts the cool-down after a leadership transfer, so that peers campaign first.
    pub fn start_cool_down(&self, now: Instant) {
        *lock(&self.cool_down_until) = Some(now + TRANSFER_COOL_DOWN);
    }

    /// Whether this controller must not campaign because it has just transferred the leadership: in the first
    /// part of the cool-down, if the leadership is `vacant`.
    pub fn must_not_campaign(&self, now: Instant, vacant: bool) -> bool {
        let until = (*lock(&self.cool_down_until)).filter(|until| now < *until);
        until.is_some_and(|until| vacant && until - now > TRANSFER_COOL_DOWN - VACANT_COOL_DOWN)
    }
}
