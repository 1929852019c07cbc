//! When the terminal records of upstream jobs are read, of which nothing is known here.

use super::graph::DependencyGraph;
use crate::ids::JobId;
use crate::time::{Instant, TimeSpan};

/// Terminal records read in one go.
const MAX_RECORDS_PER_READ: usize = 32;
/// The pause after a read in which a job had no record: its open record is on the way to us.
const MISSING_RECORD_RETRY_DELAY: TimeSpan = TimeSpan(1_000);
/// A read that is not answered within this is made again, should the runtime have lost it.
const READ_TIMEOUT: TimeSpan = TimeSpan(30_000);

/// Whether a read is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// None is; the next one is made at that time at the earliest.
    Idle { not_before: Instant },
    /// One is, since then.
    InFlight { since: Instant },
}

/// The reads of terminal records: one at a time, with a bounded number of jobs, which take turns.
#[derive(Debug)]
pub struct TerminalRecordReads {
    state: ReadState,
    /// The last job of the last read: the next one goes on after it.
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
    /// The jobs of which the terminal records are to be read now; the read is under way from then on.
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

    /// A read was answered.
    pub(super) fn answered(&mut self, now: Instant, any_missing: bool) {
        if any_missing {
            let not_before = now + MISSING_RECORD_RETRY_DELAY;
            self.state = ReadState::Idle { not_before };
        } else if let ReadState::InFlight { since } = self.state {
            self.state = ReadState::Idle { not_before: since };
        }
    }
}
