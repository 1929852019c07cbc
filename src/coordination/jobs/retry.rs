//! Retry backoff of jobs whose tasks fail.

use crate::ids::MachineId;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// The retry delay after failures on two machines; it doubles with each further machine.
const MIN_RETRY_DELAY: TimeSpan = TimeSpan(2_000);
/// The maximum retry delay.
const MAX_RETRY_DELAY: TimeSpan = TimeSpan(60_000);
/// The maximum number of times that the retry delay doubles.
const MAX_DELAY_DOUBLINGS: u32 = 5;
/// Failures on this many machines, without any completed task, are attributed to the job.
const MIN_MACHINES_FOR_JOB_FAULT: usize = 3;

/// The machines on which tasks of a job failed, and the time before which the job is not placed again.
///
/// A failure on one machine causes no delay, since the machine is the likely cause. From the second machine on, the
/// job backs off.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    not_before: Instant,
    failed_on: BTreeSet<MachineId>,
}

impl Default for RetryBackoff {
    fn default() -> RetryBackoff {
        RetryBackoff {
            not_before: Instant::LONG_AGO,
            failed_on: BTreeSet::new(),
        }
    }
}

impl RetryBackoff {
    /// Whether the job may be placed at `now`.
    pub fn allows_start(&self, now: Instant) -> bool {
        self.not_before <= now
    }

    /// Returns the machines on which a task of the job ended in an error.
    pub fn failed_on(&self) -> &BTreeSet<MachineId> {
        &self.failed_on
    }

    /// Whether tasks failed on enough machines to attribute the failures to the job, unless one of its tasks
    /// completed.
    pub fn failed_on_several(&self) -> bool {
        self.failed_on.len() >= MIN_MACHINES_FOR_JOB_FAULT
    }

    /// Records that a task ended in an error on a machine.
    pub(super) fn task_failed(&mut self, now: Instant, machine_id: &MachineId) {
        self.failed_on.insert(machine_id.clone());
        let machines = self.failed_on.len() as u32;
        if let Some(doublings) = machines.checked_sub(2) {
            let delay = MIN_RETRY_DELAY.0 << doublings.min(MAX_DELAY_DOUBLINGS);
            self.not_before = now + TimeSpan(delay.min(MAX_RETRY_DELAY.0));
        }
    }

    /// Delays placement of the job until at least `until`.
    pub(super) fn postpone(&mut self, until: Instant) {
        self.not_before = self.not_before.max(until);
    }
}
