//! Workers <-> controllers: reports and orders.

use crate::ids::{AttemptId, FencingToken, MachineId, MachineType, Session, TaskId, Tick, Zone};
use serde::{Deserialize, Serialize};

/// What a worker says of itself, in check-ins and in the answers of `/commands` and `/inspect`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerStatus {
    #[serde(rename = "host")]
    pub machine_id: MachineId,
    pub endpoint: String,
    #[serde(rename = "rig")]
    pub machine_type: MachineType,
    #[serde(rename = "site")]
    pub zone: Zone,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub session: Session,
    pub tick: Tick,
    #[serde(rename = "baton", default)]
    pub token: FencingToken,
    #[serde(rename = "recallS", default)]
    pub recall_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// One task on a machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "piece")]
    pub task: TaskId,
    #[serde(rename = "try")]
    pub attempt_id: AttemptId,
    pub phase: TaskPhase,
    #[serde(default)]
    pub cause: Option<Cause>,
    #[serde(default)]
    pub stored: bool,
}

/// How far a task is. Unknown phases count as present and running: the careful reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    #[serde(rename = "pulling")]
    Fetching,
    Waiting,
    Saving,
    #[serde(rename = "ended")]
    Ended,
    #[serde(other)]
    Running,
}

/// Why a task ended. Unknown causes count as errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "mates_gone")]
    MatesGone,
    Incomplete,
    Full,
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    #[serde(other)]
    Error,
}

/// One order to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    Launch {
        #[serde(rename = "piece")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt_id: AttemptId,
    },
    Stop {
        #[serde(rename = "piece")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt_id: AttemptId,
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    Clear {
        #[serde(rename = "piece")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt_id: AttemptId,
    },
}

/// The body of a 200 to a check-in.
#[derive(Serialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "baton")]
    pub token: FencingToken,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of a 421.
#[derive(Serialize)]
pub struct Redirect<'a> {
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<&'a str>,
}

/// The body of `POST /commands`.
#[derive(Clone, Debug, Serialize)]
pub struct CommandBatch {
    #[serde(rename = "baton")]
    pub token: FencingToken,
    #[serde(rename = "tenure")]
    pub session: Session,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
