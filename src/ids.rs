//! Ids and versions as small types of their own, so that none is mistaken for another.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! number {
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

number!(/// Names the controller entitled to command; unique and increasing for ever.
    FencingToken);
number!(/// A worker's session; a new one begins when its lease ran out.
    Session);
number!(/// Orders a worker's messages within a session.
    SequenceNumber);
number!(/// Tells one start of a task from another; never used twice for a task.
    AttemptId);
number!(/// The revision of one key in the state store; 0 means absent.
    KeyRevision);
number!(/// The revision of the whole state store.
    StoreRevision);
number!(/// A lease in the state store.
    LeaseId);

/// One page of records that are packed together on the state service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PageNumber(pub u32);

/// A team's place in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TeamIndex(pub usize);

macro_rules! name {
    ($(#[$m:meta])* $name:ident) => {
        $(#[$m])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Arc<str>);
        impl $name {
            /// The name as text.
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

name!(/// A job's id, chosen by its user.
    JobId);
name!(/// A rented machine.
    MachineId);
name!(/// A machine type.
    MachineType);
name!(/// A zone.
    Zone);
name!(/// An image that tasks need.
    Image);
name!(/// Names one scale-out request for ever: the cloud answers a repetition with what it answered first.
    IdempotencyKey);

impl JobId {
    /// Reads an id as users write it: `wk-` and digits; anything else is no job's id.
    pub fn parse(s: &str) -> Option<JobId> {
        let digits = s.strip_prefix("wk-")?;
        let plain =
            !digits.is_empty() && digits.len() <= 40 && digits.bytes().all(|b| b.is_ascii_digit());
        plain.then(|| JobId::from(s))
    }
}

/// One task of a job, written `wk-000412/3`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number within the job, from 0.
    pub index: u32,
}

/// One attempt of one task. Attempt ids are never reused, so neither is a key.
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
    /// Reads the wire form.
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
