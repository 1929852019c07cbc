//! The task attempts that may be on one machine, and what they leave free of it.
//!
//! Anybody may read them. Attempts are put in, taken out, and noted as ended by the ledger alone; other
//! modules of this folder may change how an attempt is launched and stopped.

use super::task_attempt::{LastStatus, TaskAttempt};
use crate::ids::{AttemptId, AttemptKey, TaskId, TeamIndex};
use crate::protocol::workers::TaskPhase;
use crate::resources::Resources;
use crate::time::Instant;
use std::collections::BTreeMap;

/// Every task attempt that may be on a machine, tombstones included.
#[derive(Debug)]
pub struct MachineAttempts {
    attempts: BTreeMap<AttemptKey, TaskAttempt>,
    /// The machine's capacity less what live attempts take; negative if they take more.
    free: Resources,
    /// Attempts that have not ended.
    live_count: usize,
}

impl MachineAttempts {
    /// No attempts yet, on a machine with that capacity.
    pub fn new(capacity: Resources) -> MachineAttempts {
        MachineAttempts {
            attempts: BTreeMap::new(),
            free: capacity,
            live_count: 0,
        }
    }

    /// The attempt with that key, if it may be on this machine.
    pub fn get(&self, key: &AttemptKey) -> Option<&TaskAttempt> {
        self.attempts.get(key)
    }

    /// Whether that attempt may be on this machine.
    pub fn contains(&self, key: &AttemptKey) -> bool {
        self.attempts.contains_key(key)
    }

    /// Every attempt, tombstones included, in the order of keys.
    pub fn iter(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.attempts.values()
    }

    /// The keys of all attempts, in order.
    pub fn keys(&self) -> impl Iterator<Item = &AttemptKey> {
        self.attempts.keys()
    }

    /// Attempts that have not ended, in the order of keys.
    pub fn live(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.iter().filter(|attempt| !attempt.has_ended())
    }

    /// Whether any attempt of that task, other than a tombstone, may be on this machine.
    pub(in crate::coordination::attempts) fn has_live_attempt_of(&self, task: &TaskId) -> bool {
        let key = |attempt_id| AttemptKey {
            task: task.clone(),
            attempt_id,
        };
        let keys = key(AttemptId(0))..=key(AttemptId(u64::MAX));
        let mut attempts = self.attempts.range(keys);
        attempts.any(|(_, attempt)| !attempt.has_ended())
    }

    /// How many attempts there are, tombstones included.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether there are none, not even tombstones.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// How many attempts have not ended.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// How many attempts have ended and are still listed by the worker.
    pub fn tombstone_count(&self) -> usize {
        self.attempts.len() - self.live_count
    }

    /// What live attempts leave of the machine's capacity.
    pub fn free(&self) -> &Resources {
        &self.free
    }

    /// What live attempts leave of a capacity, added up anew.
    pub fn compute_free(&self, capacity: Resources) -> Resources {
        let mut free = capacity;
        for attempt in self.live() {
            free.sub(&attempt.request);
        }
        free
    }

    /// The machine's capacity has become known, or has changed.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.free = self.compute_free(capacity);
    }

    /// The attempt with that key, for changes of how it is launched and stopped.
    pub(in crate::coordination::attempts) fn get_mut(
        &mut self,
        key: &AttemptKey,
    ) -> Option<&mut TaskAttempt> {
        self.attempts.get_mut(key)
    }

    /// Every attempt, for changes of how they are launched and stopped.
    pub(in crate::coordination::attempts) fn iter_mut(
        &mut self,
    ) -> impl Iterator<Item = &mut TaskAttempt> {
        self.attempts.values_mut()
    }

    pub(super) fn insert(&mut self, attempt: TaskAttempt) {
        if !attempt.has_ended() {
            self.charge(&attempt.request);
        }
        let before = self.attempts.insert(attempt.key(), attempt);
        debug_assert!(before.is_none(), "an attempt is inserted once");
    }

    pub(super) fn remove(&mut self, key: &AttemptKey) -> Option<TaskAttempt> {
        let attempt = self.attempts.remove(key)?;
        if !attempt.has_ended() {
            self.release(&attempt.request);
        }
        Some(attempt)
    }

    /// Notes what the worker says of an attempt, which has been running since `running_since` at the
    /// earliest if it is running; `None` if the attempt is not on this machine.
    pub(super) fn set_status(
        &mut self,
        key: &AttemptKey,
        status: LastStatus,
        running_since: Instant,
    ) -> Option<StatusChange> {
        let attempt = self.attempts.get_mut(key)?;
        let (was_live, was_running) = (!attempt.has_ended(), attempt.is_running());
        attempt.last_status = Some(status);
        if status.phase == TaskPhase::Running {
            attempt.running_since.get_or_insert(running_since);
        }
        let change = StatusChange {
            request: attempt.request,
            team: attempt.team,
            was_live,
            is_live: !attempt.has_ended(),
            was_running,
            is_running: attempt.is_running(),
        };
        if change.has_ended() {
            self.release(&change.request);
        } else if change.has_revived() {
            self.charge(&change.request);
        }
        Some(change)
    }

    fn charge(&mut self, request: &Resources) {
        self.free.sub(request);
        self.live_count += 1;
    }

    fn release(&mut self, request: &Resources) {
        self.free.add(request);
        self.live_count = self.live_count.saturating_sub(1);
    }
}

/// How a status changed an attempt, and what the attempt takes.
pub(super) struct StatusChange {
    pub request: Resources,
    pub team: Option<TeamIndex>,
    was_live: bool,
    is_live: bool,
    pub was_running: bool,
    pub is_running: bool,
}

impl StatusChange {
    /// Whether it was live and is a tombstone now.
    pub fn has_ended(&self) -> bool {
        self.was_live && !self.is_live
    }

    /// Whether it was taken for ended and is live after all.
    pub fn has_revived(&self) -> bool {
        !self.was_live && self.is_live
    }
}
