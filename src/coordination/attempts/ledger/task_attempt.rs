//! One attempt of a task: how it was launched, and what its worker said of it.

use super::StatusEvidence;
use crate::coordination::jobs::job::Job;
use crate::coordination::RequestId;
use crate::ids::{
    AttemptId, AttemptKey, FencingToken, Image, PageNumber, SequenceNumber, Session, TaskId,
    TeamIndex,
};
use crate::protocol::workers::{Cause, TaskPhase, TaskStatus};
use crate::resources::Resources;
use crate::time::Instant;

/// What became of the last push that launched an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushDelivery {
    /// None under way.
    None,
    /// Sent, the answer is awaited.
    InFlight(RequestId),
    /// No answer came: it may execute at any time in this session, until the worker has seen a higher
    /// token than this.
    Unconfirmed(Session, FencingToken),
}

/// What a status said of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LastStatus {
    /// How far the attempt was.
    pub phase: TaskPhase,
    /// Why it ended, if it has.
    pub cause: Option<Cause>,
    /// Whether its progress was saved when it was stopped.
    pub stored: bool,
    /// Since when it has been in this phase, as far as we know.
    pub since: Instant,
    /// The message that said so.
    pub at: (Session, SequenceNumber),
}

impl LastStatus {
    /// What a status at `at` says of a task, after what was known of it before.
    pub(in crate::coordination::attempts) fn after(
        before: Option<LastStatus>,
        task: &TaskStatus,
        at: (Session, SequenceNumber),
        now: Instant,
    ) -> LastStatus {
        let same_phase = before.filter(|before| before.phase == task.phase);
        LastStatus {
            phase: task.phase,
            cause: task.cause,
            stored: task.checkpoint_saved,
            since: same_phase.map_or(now, |before| before.since),
            at,
        }
    }

    /// Whether another status says the same of the attempt.
    pub(in crate::coordination::attempts) fn reports_same_state_as(
        &self,
        other: &LastStatus,
    ) -> bool {
        (self.phase, self.cause, self.stored) == (other.phase, other.cause, other.stored)
    }
}

/// A request that an attempt end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopRequest {
    /// Seconds that the task has to save a checkpoint; 0: it exits at once.
    pub grace_s: f64,
    /// Whether a push has carried it.
    pub pushed: bool,
}

impl StopRequest {
    /// A request that no command has carried yet.
    pub fn new(grace_s: f64) -> StopRequest {
        StopRequest {
            grace_s,
            pushed: false,
        }
    }
}

/// One attempt of a task that may be on a machine.
#[derive(Clone, Debug)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// Tells this attempt from others of the same task.
    pub attempt_id: AttemptId,
    /// What it takes of its machine and of its team: kept here so that sums need no look at the job.
    pub request: Resources,
    /// The team that it is charged to, if the settings know it.
    pub team: Option<TeamIndex>,
    /// The image that it needs, if its job is known.
    pub image: Option<Image>,
    /// A member of a gang: seconds until its image was to be there when it was placed.
    pub image_wait_s: Option<f64>,
    /// Whether its job was a latency job when it was placed.
    pub is_latency_task: bool,
    /// The page on the state store that holds the intent: only then may it be launched.
    pub intent_page: Option<PageNumber>,
    /// The tick of the heartbeat whose response carried the launch, until settled.
    pub launch_heartbeat: Option<SequenceNumber>,
    /// What became of the last push that launched it.
    pub last_push: PushDelivery,
    /// The session in which we launched it. None: never launched by us.
    pub launch_session: Option<Session>,
    /// The highest token of a push that launched it.
    pub launch_token: Option<FencingToken>,
    /// Left by a former leader and not yet resolved by a status that carries our token.
    pub recovered: bool,
    /// What its worker last said of it.
    pub last_status: Option<LastStatus>,
    /// The request that it end, if there is one.
    pub stop: Option<StopRequest>,
    /// When it was placed.
    pub placed_at: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
}

impl TaskAttempt {
    /// An attempt that is only planned. Without a job (closed and forgotten) `request` stands for all that
    /// it might take.
    pub fn planned(
        key: AttemptKey,
        job: Option<&Job>,
        request: Resources,
        now: Instant,
    ) -> TaskAttempt {
        TaskAttempt {
            task: key.task,
            attempt_id: key.attempt_id,
            request: job.map_or(request, |j| Resources::of(j.spec())),
            team: job.and_then(|j| j.team()),
            image: job.map(|j| j.spec().image.clone()),
            image_wait_s: None,
            is_latency_task: false,
            intent_page: None,
            launch_heartbeat: None,
            last_push: PushDelivery::None,
            launch_session: None,
            launch_token: None,
            recovered: false,
            last_status: None,
            stop: None,
            placed_at: now,
            running_since: None,
        }
    }
    /// Its place in the ledger of its machine.
    pub fn key(&self) -> AttemptKey {
        AttemptKey {
            task: self.task.clone(),
            attempt_id: self.attempt_id,
        }
    }
    /// Seen ended, and still listed by the worker: a tombstone, on which a late launch of the same
    /// attempt has no effect.
    pub fn has_ended(&self) -> bool {
        self.last_status
            .is_some_and(|s| s.phase == TaskPhase::Ended)
    }
    /// Takes in what a status says of launches under way. True if it settles one that the response to a
    /// heartbeat carried.
    pub(in crate::coordination::attempts) fn settle_launches(
        &mut self,
        status: &StatusEvidence,
    ) -> bool {
        if let PushDelivery::Unconfirmed(session, token) = self.last_push {
            if session < status.at.0 || token < status.token {
                // The worker refuses that command from now on.
                self.last_push = PushDelivery::None;
            }
        }
        let carrier = self.launch_heartbeat.filter(|_| status.is_heartbeat);
        let is_settled = carrier.is_some_and(|tick| tick < status.at.1 || status.starts_session);
        if is_settled {
            // A later heartbeat means that the response was either executed or dropped.
            self.launch_heartbeat = None;
        }
        is_settled
    }
    /// Whether a launch of it can still arrive.
    pub fn has_launch_in_flight(&self) -> bool {
        self.launch_heartbeat.is_some() || self.last_push != PushDelivery::None
    }
    /// Never launched by anybody: may be dropped at will.
    pub fn was_never_launched(&self) -> bool {
        !self.recovered && self.launch_session.is_none() && self.last_status.is_none()
    }
    /// Seen running, and not ended since.
    pub fn is_running(&self) -> bool {
        self.running_since.is_some() && !self.has_ended()
    }
}
