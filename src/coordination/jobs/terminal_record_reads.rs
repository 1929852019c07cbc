//! Scheduling of the reads of terminal records of upstream jobs in an unknown state.

use super::graph::DependencyGraph;
use crate::ids::JobId;
use crate::time::{Instant, TimeSpan};

/// The maximum number of terminal records in one read.
const MAX_RECORDS_PER_READ: usize = 32;
/// The delay after a read in which a job had no terminal record: its open record is still to arrive.
const MISSING_RECORD_RETRY_DELAY: TimeSpan = TimeSpan(1_000);
/// A read that is not answered within this time is repeated, in case the runtime lost it.
const READ_TIMEOUT: TimeSpan = TimeSpan(30_000);

/// Whether a read is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// No read is in flight; the next read starts no earlier than `not_before`.
    Idle { not_before: Instant },
    /// A read is in flight.
    InFlight { since: Instant },
}

/// The reads of terminal records: one at a time, each of a bounded number of jobs in round-robin order.
#[derive(Debug)]
pub struct TerminalRecordReads {
    state: ReadState,
    /// The last job of the last read; the next read continues after it.
    last: Option<JobId>,
}

impl Default for TerminalRecordReads {
    fn default() -> TerminalRecordReads {
        TerminalRecordReads {
            state: ReadState::Idle {
                not_before: Instant::LONG_AGO,
            },
            last: None,
        }
    }
}

impl TerminalRecordReads {
    /// Starts a read if one is due. Returns the jobs whose terminal records are to be read.
    #[must_use]
    pub(super) fn start(&mut self, now: Instant, graph: &DependencyGraph) -> Option<Vec<JobId>> {
        let may_read = match self.state {
            ReadState::Idle { not_before } => now >= not_before,
            ReadState::InFlight { since } => now - since >= READ_TIMEOUT,
        };
        if !may_read {
            return None;
        }
        let ids = graph.unresolved_after(self.last.as_ref(), MAX_RECORDS_PER_READ);
        self.last = Some(ids.last()?.clone());
        self.state = ReadState::InFlight { since: now };
        Some(ids)
    }

    /// Records that a read was answered, and whether any of the jobs had no terminal record.
    pub(super) fn answered(&mut self, now: Instant, any_missing: bool) {
        if any_missing {
            let not_before = now + MISSING_RECORD_RETRY_DELAY;
            self.state = ReadState::Idle { not_before };
        } else if let ReadState::InFlight { since } = self.state {
            self.state = ReadState::Idle { not_before: since };
        }
    }
}
