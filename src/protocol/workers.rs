//! Messages between workers and controllers: heartbeats and commands.
//!
//! Wire names that differ from the code's terms are given as serde names.

use crate::ids::{
    AttemptId, FencingToken, MachineId, MachineType, SequenceNumber, Session, TaskId, Zone,
};
use serde::{Deserialize, Serialize};

/// The status of a worker, sent in heartbeats and in the responses to `/commands` and `/inspect`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The machine that the worker runs on.
    #[serde(rename = "host")]
    pub machine_id: MachineId,
    /// Listen address and port of the worker.
    pub endpoint: String,
    /// The type of the machine.
    #[serde(rename = "rig")]
    pub machine_type: MachineType,
    /// The zone of the machine.
    #[serde(rename = "site")]
    pub zone: Zone,
    /// Whether the machine is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The worker session; a new one starts when the worker's lease has expired.
    #[serde(rename = "tenure")]
    pub session: Session,
    /// The position of the message within its session. The newer of two messages of a worker has the larger pair of
    /// session and sequence number.
    #[serde(rename = "tick")]
    pub sequence_number: SequenceNumber,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton", default)]
    pub token: FencingToken,
    /// Preemption notice: time until the cloud reclaims the machine, in seconds.
    #[serde(rename = "recallS", default)]
    pub preemption_notice_s: Option<f64>,
    /// The task attempts on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// The status of a task attempt on a machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "piece")]
    pub task: TaskId,
    /// The attempt at the task.
    #[serde(rename = "try")]
    pub attempt_id: AttemptId,
    /// The phase of the attempt.
    pub phase: TaskPhase,
    /// Why the attempt ended, if it has.
    #[serde(default)]
    pub cause: Option<Cause>,
    /// Whether the attempt saved a checkpoint when it was stopped.
    #[serde(rename = "stored", default)]
    pub checkpoint_saved: bool,
}

/// The phase of a task attempt. An unknown phase is read as `Running`, the conservative choice: the attempt is
/// assumed to be on the machine and running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Waits for the container image.
    #[serde(rename = "pulling")]
    Fetching,
    /// A gang member that waits for the other members.
    Waiting,
    /// Saves a checkpoint after a stop command.
    Saving,
    /// Has ended.
    #[serde(rename = "ended")]
    Ended,
    /// Runs; also stands for every unknown phase.
    #[serde(other)]
    Running,
}

/// Why a task attempt ended. An unknown cause is read as `Error`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The task is completed.
    Done,
    /// The attempt was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another member of the gang ended or lost contact.
    #[serde(rename = "mates_gone")]
    MatesGone,
    /// The other members of the gang were not ready within the gang wait timeout.
    Incomplete,
    /// The machine had too little free capacity.
    Full,
    /// Another attempt at the task was on the machine.
    Busy,
    /// The worker could not find the job or task; the job specification may not be available to the worker yet.
    #[serde(rename = "no_such")]
    Unknown,
    /// The task failed; also stands for every unknown cause.
    #[serde(other)]
    Error,
}

/// A command to a worker. A worker executes the commands of a message in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Starts a task attempt.
    Launch {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// The attempt at the task.
        #[serde(rename = "try")]
        attempt_id: AttemptId,
    },
    /// Stops a task attempt.
    Stop {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// The attempt at the task.
        #[serde(rename = "try")]
        attempt_id: AttemptId,
        /// Time allowed for saving a checkpoint, in seconds.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Removes an ended task attempt (a tombstone) from the worker's status.
    Clear {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// The attempt at the task.
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
    /// Commands to execute, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of the response (421) to a heartbeat that reached a controller other than the leader.
#[derive(Serialize)]
pub struct Redirect<'a> {
    /// The host name of the leader, if known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<&'a str>,
}

/// A push: the body of `POST /commands`.
#[derive(Clone, Debug, Serialize)]
pub struct CommandBatch {
    /// The leader's fencing token.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// The worker session that the commands apply to.
    #[serde(rename = "tenure")]
    pub session: Session,
    /// Commands to execute, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
