//! Size limits for transactions and values. They come from the settings, and are reduced if the state store still
//! rejects a transaction for its size.

use crate::config::StateStoreLimits;
use crate::protocol::state::{Change, Transaction};

/// Number of changes that finish or cancel one job.
pub(super) const JOB_END_OPS: usize = 2;
/// The state store accepts this many preconditions in a transaction for each change that it accepts.
const PRECONDITIONS_PER_OP: usize = 4;
/// Maximum size of a transaction, in bytes. The state store accepts 64 KiB.
pub(super) const MAX_TRANSACTION_BYTES: usize = 56 * 1024;
/// Fraction of the state store's size limit for values that is used, to leave a safety margin.
const VALUE_LIMIT_FRACTION: f64 = 0.95;
/// The size limit for values is never reduced below this: a page with a single machine or attempt needs about as
/// much.
const MIN_VALUE_BYTES: usize = 512;

/// Size limits that the writer observes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WriteLimits {
    /// Maximum number of puts and deletes in a transaction.
    pub max_ops: usize,
    /// Maximum size of a value, in bytes.
    pub max_value_bytes: usize,
}

impl WriteLimits {
    /// Returns the limits given by the settings.
    pub fn new(state: &StateStoreLimits) -> WriteLimits {
        WriteLimits {
            max_ops: state.txn_ops,
            max_value_bytes: (state.value_kb * 1024.0 * VALUE_LIMIT_FRACTION) as usize,
        }
    }

    /// Returns the maximum number of preconditions in a transaction.
    pub fn max_preconditions(self) -> usize {
        self.max_ops * PRECONDITIONS_PER_OP
    }

    /// Returns reduced limits to retry with after a transaction was rejected for its size: half as many changes as
    /// it had or, if it had no more than [`JOB_END_OPS`], values of half the size.
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
