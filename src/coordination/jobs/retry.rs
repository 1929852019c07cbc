//! Back-off of a job whose tasks fail.

use crate::ids::MachineId;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// The delay after failures on two machines; it doubles with each further machine.
const MIN_RETRY_DELAY: TimeSpan = TimeSpan(2_000);
/// The longest delay.
const MAX_RETRY_DELAY: TimeSpan = TimeSpan(60_000);
/// The number of doublings after which the delay grows no more.
const MAX_DELAY_DOUBLINGS: u32 = 5;
/// Failures on so many machines, without any success, are taken for the job's own fault.
const MIN_MACHINES_TO_BLAME_JOB: usize = 3;

/// Where tasks of a job failed, and when the job may be placed again.
///
/// A failure on one machine delays nothing: mostly it is that machine's fault. From the second machine on the
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
    /// Whether the job may be placed at that time.
    pub fn allows_start(&self, now: Instant) -> bool {
        self.not_before <= now
    }

    /// Machines on which a task of the job ended in an error.
    pub fn failed_on(&self) -> &BTreeSet<MachineId> {
        &self.failed_on
    }

    /// Whether tasks failed on so many machines that the job is to blame, unless a task of it succeeded.
    pub fn failed_on_several(&self) -> bool {
        self.failed_on.len() >= MIN_MACHINES_TO_BLAME_JOB
    }

    /// A task ended in an error on that machine.
    pub(super) fn task_failed(&mut self, now: Instant, machine_id: &MachineId) {
        self.failed_on.insert(machine_id.clone());
        let machines = self.failed_on.len() as u32;
        if let Some(doublings) = machines.checked_sub(2) {
            let delay = MIN_RETRY_DELAY.0 << doublings.min(MAX_DELAY_DOUBLINGS);
            self.not_before = now + TimeSpan(delay.min(MAX_RETRY_DELAY.0));
        }
    }

    /// Nothing is to be placed before that time, whatever has failed.
    pub(super) fn postpone(&mut self, until: Instant) {
        self.not_before = self.not_before.max(until);
    }
}
