//! One attempt of a task: its launch, its stop request and the last status that its worker reported.

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

/// State of the last push that launched an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushDelivery {
    /// No push is in flight or unconfirmed.
    None,
    /// Sent, and not answered yet.
    InFlight(RequestId),
    /// Not answered: the worker may execute it at any time in this session, until it has seen a token higher
    /// than this.
    Unconfirmed(Session, FencingToken),
}

/// What the last worker status reported of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LastStatus {
    /// The attempt's phase.
    pub phase: TaskPhase,
    /// Why the attempt ended, if it has.
    pub cause: Option<Cause>,
    /// Whether the attempt saved a checkpoint when it was stopped.
    pub checkpoint_saved: bool,
    /// When the attempt was first seen in this phase.
    pub since: Instant,
    /// The session and sequence number of the status.
    pub message_id: (Session, SequenceNumber),
}

impl LastStatus {
    /// Builds the status of an attempt from a task entry of the worker status that `message_id` identifies.
    /// `previous` is the status recorded before.
    pub(in crate::coordination::attempts) fn after(
        previous: Option<LastStatus>,
        task: &TaskStatus,
        message_id: (Session, SequenceNumber),
        now: Instant,
    ) -> LastStatus {
        let same_phase = previous.filter(|previous| previous.phase == task.phase);
        LastStatus {
            phase: task.phase,
            cause: task.cause,
            checkpoint_saved: task.checkpoint_saved,
            since: same_phase.map_or(now, |previous| previous.since),
            message_id,
        }
    }

    /// Whether the other status reports the same phase, cause and `checkpoint_saved`.
    pub(in crate::coordination::attempts) fn reports_same_state_as(
        &self,
        other: &LastStatus,
    ) -> bool {
        (self.phase, self.cause, self.checkpoint_saved)
            == (other.phase, other.cause, other.checkpoint_saved)
    }
}

/// A request to stop an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopRequest {
    /// Seconds that the task has to save a checkpoint; 0 stops the task at once.
    pub grace_s: f64,
    /// Whether the stop has been sent in a push.
    pub pushed: bool,
}

impl StopRequest {
    /// Creates a request that has not been sent in a push.
    pub fn new(grace_s: f64) -> StopRequest {
        StopRequest {
            grace_s,
            pushed: false,
        }
    }
}

/// An attempt of a task that may be on a machine.
#[derive(Clone, Debug)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// Distinguishes the attempt from others of the same task.
    pub attempt_id: AttemptId,
    /// The resources that the attempt takes on its machine and from its team's limit, copied from the job.
    pub request: Resources,
    /// The team that the attempt is charged to, if the settings contain it.
    pub team: Option<TeamIndex>,
    /// The image that the task needs, if its job is known.
    pub image: Option<Image>,
    /// For a member of a gang whose members get their images at very different times: estimated seconds until its own is
    /// on the machine, as of the placement.
    pub image_wait_s: Option<f64>,
    /// Whether the job was a latency job when the attempt was placed.
    pub is_latency_task: bool,
    /// The state store page with the durable launch intent. Without one the attempt must not be launched.
    pub intent_page: Option<PageNumber>,
    /// The sequence number of the heartbeat whose response carried the launch, until a later heartbeat settles
    /// whether it arrived.
    pub launch_heartbeat: Option<SequenceNumber>,
    /// State of the last push that launched the attempt.
    pub last_push: PushDelivery,
    /// The worker session in which this leader launched the attempt, if it did.
    pub launch_session: Option<Session>,
    /// The highest fencing token of a push that launched the attempt.
    pub launch_token: Option<FencingToken>,
    /// The value of `launch_token` before the push in flight, in case that is not sent.
    previous_launch_token: Option<FencingToken>,
    /// For an attempt of a closed job: from this time on, no response may renew the worker's lease if the worker may
    /// execute a pushed launch of the attempt afterwards.
    pub revoke_launch_by: Option<Instant>,
    /// Whether the attempt is known from a former leader's intent, or from a status alone.
    pub recovered: bool,
    /// What the worker last reported of the attempt.
    pub last_status: Option<LastStatus>,
    /// The stop request, if there is one.
    pub stop: Option<StopRequest>,
    /// When the attempt was placed.
    pub placed_at: Instant,
    /// When the attempt started to run, as far as known.
    pub running_since: Option<Instant>,
}

impl TaskAttempt {
    /// Creates an attempt that is planned and not launched yet. It takes `request` if its job is unknown
    /// (closed and forgotten).
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
            previous_launch_token: None,
            revoke_launch_by: None,
            recovered: false,
            last_status: None,
            stop: None,
            placed_at: now,
            running_since: None,
        }
    }
    /// Returns the key of the attempt in the ledger.
    pub fn key(&self) -> AttemptKey {
        AttemptKey {
            task: self.task.clone(),
            attempt_id: self.attempt_id,
        }
    }
    /// Whether the attempt has ended and its worker still lists it: a tombstone, on which a late launch of the
    /// same attempt has no effect.
    pub fn has_ended(&self) -> bool {
        self.last_status
            .is_some_and(|s| s.phase == TaskPhase::Ended)
    }
    /// Updates the launches in flight from a worker status. Returns whether the status settles a launch that a
    /// heartbeat response carried.
    pub(in crate::coordination::attempts) fn settle_launches(
        &mut self,
        status: &StatusEvidence,
    ) -> bool {
        if let PushDelivery::Unconfirmed(session, token) = self.last_push {
            if session < status.message_id.0 || token < status.token {
                // From now on the worker refuses that push if it has not executed it yet.
                self.last_push = PushDelivery::None;
            }
        }
        let carrier = self.launch_heartbeat.filter(|_| status.is_heartbeat);
        let is_settled =
            carrier.is_some_and(|carrier| carrier < status.message_id.1 || status.starts_session);
        if is_settled {
            // A later heartbeat shows that the response was either executed or dropped.
            self.launch_heartbeat = None;
        }
        is_settled
    }
    /// Records that a push that launches the attempt is sent to the worker in a session.
    pub(in crate::coordination::attempts) fn push_launched(
        &mut self,
        request_id: RequestId,
        session: Session,
        token: FencingToken,
    ) {
        self.last_push = PushDelivery::InFlight(request_id);
        self.launch_session = Some(session);
        self.previous_launch_token = self.launch_token.replace(token);
    }
    /// Records that the push in flight was sent without the launch of the attempt, was not sent at all, or was not executed:
    /// no copy of it starts the attempt.
    pub(in crate::coordination::attempts) fn launch_not_sent(&mut self) {
        self.launch_token = self.previous_launch_token;
    }
    /// Whether a copy of a push that launched the attempt may start it again on a worker that has seen `token` and doesn't
    /// know the attempt. The worker refuses lower tokens than its own.
    pub fn may_be_launched_again(&self, token: FencingToken) -> bool {
        self.launch_token.is_some_and(|launched| launched >= token)
    }
    /// Whether a launch of the attempt may still arrive at the worker.
    pub fn has_launch_in_flight(&self) -> bool {
        self.launch_heartbeat.is_some() || self.last_push != PushDelivery::None
    }
    /// Whether no leader has launched the attempt: it may be removed at any time.
    pub fn was_never_launched(&self) -> bool {
        !self.recovered && self.launch_session.is_none() && self.last_status.is_none()
    }
    /// Whether the attempt was seen running and has not ended.
    pub fn is_running(&self) -> bool {
        self.running_since.is_some() && !self.has_ended()
    }
}
