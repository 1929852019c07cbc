//! What the scheduler takes in: news of jobs, workers and the cloud, and the answers to its requests.
//!
//! An answer repeats what names the request; one that comes late, or twice, changes nothing.

use super::effect::RequestId;
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

/// A job's terminal record as read from the state store.
#[derive(Clone, Debug)]
pub struct TerminalRecordRead {
    /// The job.
    pub job: JobId,
    /// Its terminal record; None if it has none, for it is still open.
    pub record: Option<TerminalRecord>,
}

/// A key as read again after a write whose outcome was unclear.
#[derive(Clone, Debug)]
pub struct KeyReread {
    /// The key.
    pub key: String,
    /// What it holds; None if it is absent.
    pub item: Option<KeyValue>,
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
    /// An open job appeared, or is told again.
    JobOpened(Box<OpenJob>),
    /// A job is no longer open: cancelled, or finished by us.
    JobClosed {
        /// The job.
        id: JobId,
    },
    /// A controller has confirmed that a job is cancelled: its terminal record is written.
    JobCancelled {
        /// The job.
        id: JobId,
    },
    /// The whole list of open jobs, read anew after a gap in the watch.
    OpenJobsListed(Vec<OpenJob>),
    /// Answers [`super::Effect::ReadTerminalRecords`].
    TerminalRecordsRead(Vec<TerminalRecordRead>),

    /// Answers [`super::Effect::Push`]: the worker executed the commands (200), or certainly did not (409).
    PushAnswered {
        /// The machine that the commands were pushed to.
        machine_id: MachineId,
        /// The push.
        request_id: RequestId,
        /// The worker's status after it.
        status: Box<WorkerStatus>,
    },
    /// A push was not answered.
    PushFailed {
        /// The machine that the commands were pushed to.
        machine_id: MachineId,
        /// The push.
        request_id: RequestId,
        /// False if it certainly never left. Otherwise it may be executed at any later time.
        sent: bool,
    },

    /// Machine types and their prices, as the cloud lists them.
    MachineTypes(Vec<MachineTypeInfo>),
    /// The whole list of machines. It lags behind, so a machine that is missing may exist.
    MachinesListed {
        /// When the list was asked for.
        requested_at: Instant,
        /// The machines.
        machines: Vec<ListedMachine>,
    },
    /// Answers [`super::Effect::ScaleOut`].
    ScaleOutAnswered {
        /// The request.
        idempotency_key: IdempotencyKey,
        /// What was granted.
        answer: ScaleOutAnswer,
    },
    /// The outcome of a scale-out request is unclear; it is asked again with the same key.
    ScaleOutUnconfirmed {
        /// The request.
        idempotency_key: IdempotencyKey,
    },
    /// Answers [`super::Effect::ScaleIn`]: the cloud confirmed that the machines are terminated.
    MachinesTerminated {
        /// The machines.
        machine_ids: Vec<MachineId>,
    },
    /// The cloud did not confirm a scale-in; it may have been executed.
    ScaleInFailed {
        /// The machines.
        machine_ids: Vec<MachineId>,
    },

    /// Answers [`super::Effect::Write`]: the transaction is applied.
    WriteApplied {
        /// The write.
        request_id: RequestId,
        /// The store's revision after it, which is the revision of each key it wrote.
        store_revision: StoreRevision,
    },
    /// A transaction was certainly not applied, nor will be.
    WriteNotApplied {
        /// The write.
        request_id: RequestId,
    },
    /// A transaction was not applied: the store's rate limit is used up.
    WriteRateLimited {
        /// The write.
        request_id: RequestId,
        /// No write is to be sent for so long.
        pause: TimeSpan,
    },
    /// A transaction was refused for what it is, and would be each time: it has too many operations, or a value
    /// is too large.
    WriteRejected {
        /// The write.
        request_id: RequestId,
    },
    /// Preconditions of a transaction failed, or its outcome is unclear: its keys must be read again.
    WriteUnconfirmed {
        /// The write.
        request_id: RequestId,
        /// The keys of the preconditions that failed, if the store said which.
        failed_preconditions: Vec<String>,
    },
    /// Answers [`super::Effect::Reread`].
    Reread {
        /// The read.
        request_id: RequestId,
        /// Each key with what it holds.
        items: Vec<KeyReread>,
    },
}
