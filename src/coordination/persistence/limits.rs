//! How large a transaction and a value may be. The settings say; should the state store refuse something for its
//! size all the same, less is tried.

use crate::config::StateStoreLimits;
use crate::protocol::state::{Change, Transaction};

/// Changes that finish or cancel one job.
pub(super) const JOB_END_OPS: usize = 2;
/// The state store takes so many preconditions for each change that it takes.
const PRECONDITIONS_PER_OP: usize = 4;
/// Bytes of one transaction: the state store takes 64 KiB.
pub(super) const MAX_TRANSACTION_BYTES: usize = 56 * 1024;
/// The part of the state store's limit on values that is used: a little room.
const VALUE_LIMIT_FRACTION: f64 = 0.95;
/// Values are never held smaller than this: the lists of one machine and one attempt need about as much.
const MIN_VALUE_BYTES: usize = 512;

/// What the writer keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WriteLimits {
    /// Puts and deletes in one transaction.
    pub max_ops: usize,
    /// Bytes of one value.
    pub max_value_bytes: usize,
}

impl WriteLimits {
    /// The limits that the settings give.
    pub fn new(state: &StateStoreLimits) -> WriteLimits {
        WriteLimits {
            max_ops: state.txn_ops,
            max_value_bytes: (state.value_kb * 1024.0 * VALUE_LIMIT_FRACTION) as usize,
        }
    }

    /// Preconditions in one transaction.
    pub fn max_preconditions(self) -> usize {
        self.max_ops * PRECONDITIONS_PER_OP
    }

    /// The limits to try after a transaction was rejected for what it is: fewer operations, or, if it had the
    /// fewest already, smaller values.
    pub fn reduced_after(self, rejected: &Transaction) -> WriteLimits {
        let ops = rejected.changes.len();
        if ops > JOB_END_OPS {
            return WriteLimits {
                max_ops: (ops / 2).max(JOB_END_OPS),
                ..self
            };
        }
        let largest = rejected.changes.iter().map(value_bytes).max().unwrap_or(0);
        WriteLimits {
            max_value_bytes: (largest.min(self.max_value_bytes) / 2).max(MIN_VALUE_BYTES),
            ..self
        }
    }
}

fn value_bytes(change: &Change) -> usize {
    match change {
        Change::Put { data, .. } => data.to_string().len(),
        Change::Delete { .. } => 0,
    }
}
