//! The wire between workers and controllers: heartbeats and commands.
//!
//! The operators' words are in serde names, and nowhere else.

use crate::ids::{
    AttemptId, FencingToken, MachineId, MachineType, SequenceNumber, Session, TaskId, Zone,
};
use serde::{Deserialize, Serialize};

/// A worker's status, in heartbeats and in the responses of `/commands` and `/inspect`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker's machine.
    #[serde(rename = "host")]
    pub machine_id: MachineId,
    /// Where the worker listens: address and port.
    pub endpoint: String,
    /// The machine's type.
    #[serde(rename = "rig")]
    pub machine_type: MachineType,
    /// Where the machine is.
    #[serde(rename = "site")]
    pub zone: Zone,
    /// Whether it is a spot instance.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The worker's session: a new one begins when its lease has expired.
    #[serde(rename = "tenure")]
    pub session: Session,
    /// Numbers the messages of a session: of two messages, the one with the larger session and tick is the newer.
    #[serde(rename = "tick")]
    pub sequence_number: SequenceNumber,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton", default)]
    pub token: FencingToken,
    /// A preemption notice: in how many seconds the cloud reclaims the machine.
    #[serde(rename = "recallS", default)]
    pub preemption_notice_s: Option<f64>,
    /// The task attempts on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// One task on a machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "piece")]
    pub task: TaskId,
    /// Which attempt at it.
    #[serde(rename = "try")]
    pub attempt_id: AttemptId,
    /// How far it is.
    pub phase: TaskPhase,
    /// Why it ended, if it has.
    #[serde(default)]
    pub cause: Option<Cause>,
    /// Whether its progress was saved when it was stopped.
    #[serde(rename = "stored", default)]
    pub checkpoint_saved: bool,
}

/// How far a task is. Unknown phases count as present and running: the careful reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// It waits for its container image.
    #[serde(rename = "pulling")]
    Fetching,
    /// A gang member waits for the others.
    Waiting,
    /// It was told to stop and saves a checkpoint.
    Saving,
    /// It runs no more.
    #[serde(rename = "ended")]
    Ended,
    /// It runs; also any phase not known.
    #[serde(other)]
    Running,
}

/// Why a task ended. Unknown causes count as errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The task is completed.
    Done,
    /// It was told to stop.
    #[serde(rename = "halted")]
    Stopped,
    /// Another member of its gang is gone.
    #[serde(rename = "mates_gone")]
    MatesGone,
    /// Its gang did not come together in time.
    Incomplete,
    /// The machine had no room for it.
    Full,
    /// Another attempt at the task is on the machine.
    Busy,
    /// The worker can find no such job or task (yet).
    #[serde(rename = "no_such")]
    Unknown,
    /// The task failed; also any cause not known.
    #[serde(other)]
    Error,
}

/// A command to a worker, which carries out the commands of a message in their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start a task attempt.
    Launch {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Which attempt at it.
        #[serde(rename = "try")]
        attempt_id: AttemptId,
    },
    /// Stop a task attempt.
    Stop {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Which attempt at it.
        #[serde(rename = "try")]
        attempt_id: AttemptId,
        /// How long it may take to save its progress, in seconds.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Leave a task attempt that has ended out of the status from now on.
    Clear {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Which attempt at it.
        #[serde(rename = "try")]
        attempt_id: AttemptId,
    },
}

/// The body of the leader's response to a heartbeat.
#[derive(Serialize)]
pub struct HeartbeatResponse {
    /// The leader's fencing token.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// What the worker is to do.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of the response to a heartbeat by a controller that doesn't lead (421).
#[derive(Serialize)]
pub struct Redirect<'a> {
    /// The leader's name, if it is known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<&'a str>,
}

/// A push: the body of `POST /commands`.
#[derive(Clone, Debug, Serialize)]
pub struct CommandBatch {
    /// The leader's fencing token.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// The worker's session that the commands are meant for.
    #[serde(rename = "tenure")]
    pub session: Session,
    /// What the worker is to do.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
