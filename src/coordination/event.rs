//! What the scheduler takes in.

use crate::ids::{IdempotencyKey, JobId, KeyRevision, MachineId, StoreRevision};
use crate::protocol::cloud::{ListedMachine, MachineTypeInfo};
use crate::protocol::state::KeyValue;
use crate::protocol::workers::WorkerStatus;
use crate::storage::records::{OpenJobRecord, TerminalRecord};
use crate::time::{Instant, TimeSpan};

/// An open job as read from the state store.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// Its open record, with all upstream jobs.
    pub record: OpenJobRecord,
    /// The revision of that record: a write with it as a precondition is applied only while the job is open.
    pub revision: KeyRevision,
    /// When its user submitted it.
    pub submitted_at: Instant,
}

/// The cloud's answer to a scale-out request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScaleOutAnswer {
    /// These machines were started: perhaps fewer than asked for.
    Granted(Vec<MachineId>),
    /// There is no capacity for any.
    NoCapacity,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// An open job appeared.
    JobOpened(Box<OpenJob>),
    /// A job is no longer open: cancelled, or finished by us.
    JobClosed { id: JobId },
    /// A controller has confirmed that a job is cancelled: its mark is written.
    JobCancelled { id: JobId },
    /// Finish marks as read; None: the job has none.
    TerminalRecordsRead {
        terminal_records: Vec<(JobId, Option<TerminalRecord>)>,
    },
    /// The whole list of open jobs, as read anew (after a gap in the watch).
    OpenJobs(Vec<OpenJob>),
    /// A direct command was answered: 200 (executed) or 409 (not).
    PushAnswered {
        machine_id: MachineId,
        seq: u64,
        status: Box<WorkerStatus>,
    },
    /// A direct command was not answered. `sent` is false if it certainly never left.
    PushFailed {
        machine_id: MachineId,
        seq: u64,
        sent: bool,
    },
    /// Machine types and their prices.
    MachineTypes(Vec<MachineTypeInfo>),
    /// The whole machine list, asked for at the given moment.
    MachinesListed {
        asked: Instant,
        machines: Vec<ListedMachine>,
    },
    /// The cloud answered a scale-out request.
    ScaleOutAnswered {
        idempotency_key: IdempotencyKey,
        answer: ScaleOutAnswer,
    },
    /// Whether a scale-out request was executed is not known; it is repeated under the same key.
    ScaleOutUnclear { idempotency_key: IdempotencyKey },
    /// The cloud confirmed that the machines are gone.
    MachinesTerminated { machine_ids: Vec<MachineId> },
    /// Returning was not confirmed.
    ScaleInFailed { machine_ids: Vec<MachineId> },
    /// A write is known to be done.
    Written {
        seq: u64,
        store_revision: StoreRevision,
    },
    /// A write was certainly not executed, nor will be.
    NotWritten { seq: u64 },
    /// A write was not executed since there were too many changes; none for so long.
    WriteLimited { seq: u64, pause: TimeSpan },
    /// A write was refused for what it is, and would be each time: too many operations, too large a value.
    WriteRejected { seq: u64 },
    /// A write's guards failed (these, if the service said which), or its outcome is unclear: the
    /// keys must be read again.
    WriteUnclear { seq: u64, failed: Vec<String> },
    /// The keys read again.
    Reread {
        seq: u64,
        items: Vec<(String, Option<KeyValue>)>,
    },
}
