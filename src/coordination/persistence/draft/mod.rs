//! Drafting of transactions from the current cluster state, within the state store's limits.
//!
//! Drafting changes no state. Each file drafts one kind of record.

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

/// One record update in a transaction.
#[derive(Debug, Clone)]
pub(super) enum RecordUpdate {
    /// A launch intent page is written with exactly these intents.
    IntentPage {
        page: PageNumber,
        intents: Vec<LaunchIntent>,
    },
    /// A launch intent page without valid intents is deleted.
    IntentPageDeleted { page: PageNumber },
    /// A machine page is written with these machines.
    MachinePage {
        page: PageNumber,
        machine_ids: BTreeSet<MachineId>,
    },
    /// A progress record is written; `tasks` are the completed tasks that are new in it.
    Progress {
        key: ProgressKey,
        tasks: BTreeSet<u32>,
    },
    /// A job is done.
    JobFinished { job: JobId },
    /// A job is cancelled because one of its upstream jobs is.
    JobCancelled { job: JobId },
    /// An orphaned record is deleted.
    OrphanDeleted { key: String },
    /// The hints record is written.
    Hints,
    /// The leader's own fencing token is raised.
    Token { token: FencingToken },
}

impl RecordUpdate {
    /// Returns the open job whose records are updated, if any.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            RecordUpdate::Progress { key, .. } => Some(&key.job),
            RecordUpdate::JobFinished { job } | RecordUpdate::JobCancelled { job } => Some(job),
            _ => None,
        }
    }
}

/// A transaction under construction, within the size limits.
pub(super) struct Draft {
    preconditions: BTreeMap<String, KeyRevision>,
    changes: Vec<Change>,
    updates: Vec<RecordUpdate>,
    limits: WriteLimits,
    bytes: usize,
}

/// Maximum size of an encoded precondition, in bytes.
const PRECONDITION_BYTES: usize = 100;
/// Size assumed for a change that can't be encoded: exceeds every limit, and sums of a few don't overflow.
const UNENCODABLE_BYTES: usize = usize::MAX / 4;

impl Draft {
    /// Returns a draft without changes whose only precondition is the revision of the leader key.
    pub fn new(leader_key_revision: KeyRevision, limits: WriteLimits) -> Draft {
        Draft {
            preconditions: BTreeMap::from([(LEADER_KEY.to_string(), leader_key_revision)]),
            changes: Vec::new(),
            updates: Vec::new(),
            limits,
            bytes: 0,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    pub fn op_count(&self) -> usize {
        self.changes.len()
    }

    pub fn limits(&self) -> WriteLimits {
        self.limits
    }

    /// Whether `more` changes can be added without exceeding the maximum number of changes.
    pub fn has_room_for_ops(&self, more: usize) -> bool {
        self.changes.len() + more <= self.limits.max_ops
    }

    /// Whether `more` preconditions can be added without exceeding the maximum number of preconditions.
    pub fn has_room_for_preconditions(&self, more: usize) -> bool {
        self.preconditions.len() + more <= self.limits.max_preconditions()
    }

    /// Iterates over the launch intents in the draft.
    pub fn launch_intents(&self) -> impl Iterator<Item = &LaunchIntent> {
        self.updates.iter().flat_map(|update| match update {
            RecordUpdate::IntentPage { intents, .. } => intents.as_slice(),
            _ => &[],
        })
    }

    /// Returns the numbers of the launch intent pages that the draft writes or deletes.
    pub fn intent_pages(&self) -> BTreeSet<PageNumber> {
        let pages = self.updates.iter().filter_map(|update| match update {
            RecordUpdate::IntentPage { page, .. } | RecordUpdate::IntentPageDeleted { page } => {
                Some(*page)
            }
            _ => None,
        });
        pages.collect()
    }

    /// Adds an update if it fits. Returns whether it was added.
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

    /// Returns the transaction, and the record updates in it.
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

/// The state that drafting reads.
pub(super) struct DraftContext<'a> {
    /// Jobs, machines and their task attempts.
    pub cluster: ClusterView<'a>,
    /// The leadership on whose behalf the transaction is written.
    pub leadership: &'a Leadership,
    /// The writer, with what is known about the stored records.
    pub writer: &'a Writer,
}
