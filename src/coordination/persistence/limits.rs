//! How large a transaction and a value may be. The settings say; should the service refuse something for
//! its size all the same, less is tried.

use super::draft::FINISH_OPS;
use super::{Flight, REFUSED};
use crate::config::StateStoreLimits;
use crate::coordination::{RequestId, Scheduler};
use crate::protocol::state::{Change, Transaction};
use crate::time::Instant;

/// The part of the service's limit on values that is used: a little room.
const VALUE_PART: f64 = 0.95;
/// Values are never held smaller than this: the lists of one machine and one start need about as much.
const LEAST_VALUE_BYTES: usize = 512;

/// What the writer keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WriteLimits {
    /// Puts and deletes in one transaction.
    pub ops: usize,
    /// Bytes of one value.
    pub value_bytes: usize,
}

impl WriteLimits {
    pub fn new(state: &StateStoreLimits) -> WriteLimits {
        WriteLimits {
            ops: state.txn_ops,
            value_bytes: (state.value_kb * 1024.0 * VALUE_PART) as usize,
        }
    }

    /// The limits to try after a transaction was refused for what it is: fewer operations, or, if it had
    /// the fewest already, smaller values.
    fn below(self, refused: &Transaction) -> WriteLimits {
        let ops = refused.changes.len();
        if ops > FINISH_OPS {
            return WriteLimits {
                ops: (ops / 2).max(FINISH_OPS),
                ..self
            };
        }
        let largest = refused.changes.iter().map(value_size).max().unwrap_or(0);
        WriteLimits {
            value_bytes: (largest.min(self.value_bytes) / 2).max(LEAST_VALUE_BYTES),
            ..self
        }
    }
}

fn value_size(change: &Change) -> usize {
    match change {
        Change::Put { data, .. } => data.to_string().len(),
        Change::Delete { .. } => 0,
    }
}

impl Scheduler {
    /// The service refuses a transaction for what it is, and would each time. Guards against a leader that
    /// sends it again and again while nothing else is written: its limits may be lower than the settings
    /// say.
    pub(crate) fn write_rejected(&mut self, now: Instant, request_id: RequestId) {
        let transaction = match &self.writer.flight {
            Flight::Writing {
                request_id: in_flight,
                transaction,
                ..
            } if *in_flight == request_id => transaction.clone(),
            _ => return,
        };
        self.writer.flight = Flight::None;
        self.writer.not_before = now + REFUSED;
        let limits = self.writer.limits.below(&transaction);
        tracing::info!(
            ?limits,
            "the state service takes no such transaction: trying less"
        );
        self.writer.limits = limits;
        self.writer.machine_pages.hold_at_most(limits.value_bytes);
        self.split_machine_pages();
    }

    /// Machines of pages that are too large to be written go to further pages.
    pub(crate) fn split_machine_pages(&mut self) {
        for (machine_id, page) in self.writer.machine_pages.split() {
            if let Some(m) = self.machines.get_mut(&machine_id) {
                m.page = Some(page);
            }
        }
    }
}
