//! What to write: a transaction put together from the cluster as it is, within the state store's limits.
//!
//! Nothing here changes any state. Each file drafts one kind of record.

mod garbage_collection;
mod hints;
mod job_ends;
mod launches;
mod machines;
mod progress;
mod token;

pub(super) use launches::awaits_page;

use super::limits::{WriteLimits, MAX_TRANSACTION_BYTES};
use super::writer::Writer;
use crate::coordination::leadership::Leadership;
use crate::coordination::ClusterView;
use crate::ids::{FencingToken, JobId, KeyRevision, MachineId, PageNumber};
use crate::protocol::state::{Change, Precondition, Transaction};
use crate::storage::records::{LaunchIntent, ProgressKey, LEADER_KEY};
use std::collections::{BTreeMap, BTreeSet};

/// What one part of a transaction makes durable.
#[derive(Debug, Clone)]
pub(super) enum RecordUpdate {
    /// A page of launch intents holds these, and nothing else.
    IntentPage {
        page: PageNumber,
        intents: Vec<LaunchIntent>,
    },
    /// A page of launch intents is deleted: nothing on it is true any more.
    IntentPageDeleted { page: PageNumber },
    /// A page of machines lists these.
    MachinePage {
        page: PageNumber,
        machine_ids: BTreeSet<MachineId>,
    },
    /// Completed tasks of one chunk, these among them for the first time.
    Progress {
        key: ProgressKey,
        tasks: BTreeSet<u32>,
    },
    /// A job is done.
    JobFinished { job: JobId },
    /// A job is cancelled because a job upstream of it is.
    JobCancelled { job: JobId },
    /// A record left by a job that is closed is deleted.
    OrphanDeleted { key: String },
    /// What was observed of job classes.
    Hints,
    /// The leader's own fencing token is raised.
    Token { token: FencingToken },
}

impl RecordUpdate {
    /// The open job that it is about.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            RecordUpdate::Progress { key, .. } => Some(&key.job),
            RecordUpdate::JobFinished { job } | RecordUpdate::JobCancelled { job } => Some(job),
            _ => None,
        }
    }
}

/// A transaction being put together within the limits.
pub(super) struct Draft {
    preconditions: BTreeMap<String, KeyRevision>,
    changes: Vec<Change>,
    updates: Vec<RecordUpdate>,
    limits: WriteLimits,
    bytes: usize,
}

/// Bytes of a precondition, at most.
const PRECONDITION_BYTES: usize = 100;
/// The size of what can't be encoded: more than fits, and sums of it don't overflow.
const UNENCODABLE_BYTES: usize = usize::MAX / 4;

impl Draft {
    /// An empty draft of a leader whose key has that revision.
    pub fn new(leader_key_revision: KeyRevision, limits: WriteLimits) -> Draft {
        Draft {
            preconditions: BTreeMap::from([(LEADER_KEY.to_string(), leader_key_revision)]),
            changes: Vec::new(),
            updates: Vec::new(),
            limits,
            bytes: 0,
        }
    }

    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// How many changes it has.
    pub fn op_count(&self) -> usize {
        self.changes.len()
    }

    /// The limits that it keeps to.
    pub fn limits(&self) -> WriteLimits {
        self.limits
    }

    /// Whether so many more changes fit by their number.
    pub fn has_room_for_ops(&self, more: usize) -> bool {
        self.changes.len() + more <= self.limits.max_ops
    }

    /// Whether so many more preconditions fit.
    pub fn has_room_for_preconditions(&self, more: usize) -> bool {
        self.preconditions.len() + more <= self.limits.max_preconditions()
    }

    /// The launch intents that are drafted already.
    pub fn launch_intents(&self) -> impl Iterator<Item = &LaunchIntent> {
        self.updates.iter().flat_map(|update| match update {
            RecordUpdate::IntentPage { intents, .. } => intents.as_slice(),
            _ => &[],
        })
    }

    /// The pages of launch intents that are drafted already.
    pub fn intent_pages(&self) -> BTreeSet<PageNumber> {
        let pages = self.updates.iter().filter_map(|update| match update {
            RecordUpdate::IntentPage { page, .. } | RecordUpdate::IntentPageDeleted { page } => {
                Some(*page)
            }
            _ => None,
        });
        pages.collect()
    }

    /// Adds an update if it still fits; false if it doesn't.
    #[must_use]
    pub fn add(
        &mut self,
        preconditions: Vec<(String, KeyRevision)>,
        changes: Vec<Change>,
        update: RecordUpdate,
    ) -> bool {
        let change_bytes: usize = changes.iter().map(encoded_bytes).sum();
        let bytes = change_bytes + preconditions.len() * PRECONDITION_BYTES;
        let is_new = |key: &String| !self.preconditions.contains_key(key);
        let new_preconditions = preconditions.iter().filter(|(key, _)| is_new(key)).count();
        let fits = self.has_room_for_ops(changes.len())
            && self.has_room_for_preconditions(new_preconditions)
            && self.bytes + bytes <= MAX_TRANSACTION_BYTES;
        if !fits {
            return false;
        }
        self.bytes += bytes;
        self.preconditions.extend(preconditions);
        self.changes.extend(changes);
        self.updates.push(update);
        true
    }

    /// The transaction, and what it makes durable.
    pub fn into_transaction(self) -> (Transaction, Vec<RecordUpdate>) {
        let preconditions = self.preconditions.into_iter();
        let transaction = Transaction {
            preconditions: preconditions
                .map(|(key, revision)| Precondition { key, revision })
                .collect(),
            changes: self.changes,
        };
        (transaction, self.updates)
    }
}

fn encoded_bytes(change: &Change) -> usize {
    serde_json::to_string(change).map_or(UNENCODABLE_BYTES, |text| text.len())
}

/// What drafting reads.
pub(super) struct DraftContext<'a> {
    /// Jobs, machines and their task attempts.
    pub cluster: ClusterView<'a>,
    /// The leadership that writes.
    pub leadership: &'a Leadership,
    /// What is known of the stored records.
    pub writer: &'a Writer,
}
