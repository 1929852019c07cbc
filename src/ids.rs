//! Newtypes for ids, versions and sequence numbers, so that the compiler distinguishes them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! integer_newtype {
    ($(#[$m:meta])* $name:ident) => {
        $(#[$m])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

integer_newtype!(/// A leader's fencing token: unique and strictly increasing.
    FencingToken);
integer_newtype!(/// The number of a worker session; a worker starts a new session when its lease expires.
    Session);
integer_newtype!(/// The sequence number of a worker's message within its session.
    SequenceNumber);
integer_newtype!(/// The id of a task attempt; never reused for the same task.
    AttemptId);
integer_newtype!(/// The revision of a key in the state store; 0 means that the key is absent.
    KeyRevision);
integer_newtype!(/// The revision of the whole state store.
    StoreRevision);
integer_newtype!(/// The id of a lease in the state store.
    LeaseId);

/// The number of a page: records packed under one key of the state store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PageNumber(pub u32);

/// A team's index in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TeamIndex(pub usize);

macro_rules! string_newtype {
    ($(#[$m:meta])* $name:ident) => {
        $(#[$m])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Arc<str>);
        impl $name {
            /// Returns the value as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                $name(Arc::from(s))
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

string_newtype!(/// A job's id, chosen by its user.
    JobId);
string_newtype!(/// The id of a rented machine.
    MachineId);
string_newtype!(/// The name of a machine type.
    MachineType);
string_newtype!(/// The name of a zone.
    Zone);
string_newtype!(/// The name of a container image.
    Image);
string_newtype!(/// The idempotency key of a scale-out request: the cloud answers a retry with its first response.
    IdempotencyKey);

impl JobId {
    /// Parses a job id: `wk-` followed by 1 to 40 digits.
    pub fn parse(s: &str) -> Option<JobId> {
        let digits = s.strip_prefix("wk-")?;
        let is_valid =
            !digits.is_empty() && digits.len() <= 40 && digits.bytes().all(|b| b.is_ascii_digit());
        is_valid.then(|| JobId::from(s))
    }
}

/// The id of a task, written `wk-000412/3`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's index within the job, from 0.
    pub index: u32,
}

/// Identifies a task attempt. Attempt ids are never reused, so neither are these keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The task.
    pub task: TaskId,
    /// The attempt's id (`try` on the wire).
    pub attempt_id: AttemptId,
}

impl fmt::Display for AttemptKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.task, self.attempt_id)
    }
}

impl TaskId {
    /// Parses the wire form, `wk-000412/3`.
    pub fn parse(s: &str) -> Option<TaskId> {
        let (job, index) = s.rsplit_once('/')?;
        Some(TaskId {
            job: JobId::parse(job)?,
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl Serialize for TaskId {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let s = String::deserialize(d)?;
        TaskId::parse(&s).ok_or_else(|| serde::de::Error::custom("not a task id"))
    }
}
