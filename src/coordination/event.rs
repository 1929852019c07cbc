//! Events, the scheduler's input: changes of jobs, workers and machines, and the answers to its requests.
//!
//! An answer repeats the id of its request; a late or repeated answer has no effect.

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
    /// The job's open record, with all upstream jobs.
    pub record: OpenJobRecord,
    /// The revision of the open record: a write with it as a precondition is applied only while the job is open.
    pub revision: KeyRevision,
    /// When the job was submitted.
    pub submitted_at: Instant,
}

/// A job's terminal record as read from the state store.
#[derive(Clone, Debug)]
pub struct TerminalRecordRead {
    /// The job.
    pub job: JobId,
    /// The job's terminal record; `None` if the job is still open.
    pub record: Option<TerminalRecord>,
}

/// A key as read again after an unconfirmed write.
#[derive(Clone, Debug)]
pub struct KeyReread {
    /// The key.
    pub key: String,
    /// The key's value; `None` if the key is absent.
    pub item: Option<KeyValue>,
}

/// The cloud's answer to a scale-out request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScaleOutAnswer {
    /// These machines were started, possibly fewer than requested.
    Granted(Vec<MachineId>),
    /// The cloud has no capacity for any of the machines.
    NoCapacity,
}

/// An event for the scheduler.
#[derive(Debug)]
pub enum Event {
    /// A job was opened, or is reported again.
    JobOpened(Box<OpenJob>),
    /// A job is no longer open: it was cancelled, or finished by this leader.
    JobClosed {
        /// The job.
        id: JobId,
    },
    /// A controller has confirmed that a job is cancelled: the job's terminal record is written.
    JobCancelled {
        /// The job.
        id: JobId,
    },
    /// The full list of open jobs, read again after a gap in the watch.
    OpenJobsListed(Vec<OpenJob>),
    /// All changes of the open jobs that a request showed, or the list that it returned, have been passed on.
    ViewRefreshed {
        /// When the changes or the list were requested.
        requested_at: Instant,
    },
    /// Answers [`super::Effect::ReadTerminalRecords`].
    TerminalRecordsRead(Vec<TerminalRecordRead>),

    /// Answers [`super::Effect::Push`]: the worker executed the commands (200) or rejected them (409).
    PushAnswered {
        /// The machine that the commands were pushed to.
        machine_id: MachineId,
        /// The id of the push.
        request_id: RequestId,
        /// The worker's status after the push.
        status: Box<WorkerStatus>,
    },
    /// A push was not answered.
    PushFailed {
        /// The machine that the commands were pushed to.
        machine_id: MachineId,
        /// The id of the push.
        request_id: RequestId,
        /// Whether the push may have been sent; if so, the worker may execute it at any later time.
        sent: bool,
    },

    /// The machine types and their prices, as listed by the cloud.
    MachineTypes(Vec<MachineTypeInfo>),
    /// The full list of machines. The cloud's list lags, so a machine that is missing from it may exist.
    MachinesListed {
        /// When the list was requested.
        requested_at: Instant,
        /// The listed machines.
        machines: Vec<ListedMachine>,
    },
    /// Answers [`super::Effect::ScaleOut`].
    ScaleOutAnswered {
        /// The idempotency key of the request.
        idempotency_key: IdempotencyKey,
        /// The cloud's answer.
        answer: ScaleOutAnswer,
    },
    /// The outcome of a scale-out request is unconfirmed; the request is retried with the same key.
    ScaleOutUnconfirmed {
        /// The idempotency key of the request.
        idempotency_key: IdempotencyKey,
    },
    /// Answers [`super::Effect::ScaleIn`]: the cloud confirmed that the machines are terminated.
    MachinesTerminated {
        /// The terminated machines.
        machine_ids: Vec<MachineId>,
    },
    /// The cloud did not confirm a scale-in, which may have been executed.
    ScaleInFailed {
        /// The machines that were to be terminated.
        machine_ids: Vec<MachineId>,
    },

    /// Answers [`super::Effect::Write`]: the transaction was applied.
    WriteApplied {
        /// The id of the write.
        request_id: RequestId,
        /// The store's revision after the transaction, which is the revision of each key that it wrote.
        store_revision: StoreRevision,
    },
    /// A transaction was not applied and never will be.
    WriteNotApplied {
        /// The id of the write.
        request_id: RequestId,
    },
    /// A transaction was not applied because the store's rate limit was exceeded.
    WriteRateLimited {
        /// The id of the write.
        request_id: RequestId,
        /// How long to wait before the next write.
        pause: TimeSpan,
    },
    /// A transaction was rejected as invalid and would be on every retry: it has too many operations, or a value
    /// is too large.
    WriteRejected {
        /// The id of the write.
        request_id: RequestId,
    },
    /// Preconditions of a transaction failed, or its outcome is unconfirmed: its keys must be read again.
    WriteUnconfirmed {
        /// The id of the write.
        request_id: RequestId,
        /// The keys of the failed preconditions, if the store returned them; otherwise empty.
        failed_preconditions: Vec<String>,
    },
    /// Answers [`super::Effect::Reread`].
    Reread {
        /// The id of the read.
        request_id: RequestId,
        /// The keys with their values.
        items: Vec<KeyReread>,
    },
}
