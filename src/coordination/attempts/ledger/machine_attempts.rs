//! The task attempts that may be on one machine, and the capacity that they leave free.
//!
//! Only the ledger inserts and removes attempts and records their status. Other modules of `attempts` may
//! change the launch and stop state of an attempt; the rest of the code has read access.

use super::task_attempt::{LastStatus, TaskAttempt};
use crate::ids::{AttemptId, AttemptKey, TaskId, TeamIndex};
use crate::protocol::workers::TaskPhase;
use crate::resources::Resources;
use crate::time::Instant;
use std::collections::BTreeMap;

/// All task attempts that may be on a machine, tombstones included.
#[derive(Debug)]
pub struct MachineAttempts {
    attempts: BTreeMap<AttemptKey, TaskAttempt>,
    /// The machine's capacity minus the requests of live attempts; negative if they exceed it.
    free: Resources,
    /// Number of attempts that have not ended.
    live_count: usize,
}

impl MachineAttempts {
    /// Creates an empty set of attempts for a machine with the given capacity.
    pub fn new(capacity: Resources) -> MachineAttempts {
        MachineAttempts {
            attempts: BTreeMap::new(),
            free: capacity,
            live_count: 0,
        }
    }

    /// Returns the attempt with the given key, if it may be on this machine.
    pub fn get(&self, key: &AttemptKey) -> Option<&TaskAttempt> {
        self.attempts.get(key)
    }

    /// Whether the attempt may be on this machine.
    pub fn contains(&self, key: &AttemptKey) -> bool {
        self.attempts.contains_key(key)
    }

    /// Returns all attempts, tombstones included, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.attempts.values()
    }

    /// Returns the keys of all attempts, in order.
    pub fn keys(&self) -> impl Iterator<Item = &AttemptKey> {
        self.attempts.keys()
    }

    /// Returns the attempts that have not ended, ordered by key.
    pub fn live(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.iter().filter(|attempt| !attempt.has_ended())
    }

    /// Whether a live attempt of the task may be on this machine.
    pub(in crate::coordination::attempts) fn has_live_attempt_of(&self, task: &TaskId) -> bool {
        let key = |attempt_id| AttemptKey {
            task: task.clone(),
            attempt_id,
        };
        let keys = key(AttemptId(0))..=key(AttemptId(u64::MAX));
        let mut attempts = self.attempts.range(keys);
        attempts.any(|(_, attempt)| !attempt.has_ended())
    }

    /// Returns the number of attempts, tombstones included.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether there are no attempts, not even tombstones.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the number of attempts that have not ended.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Returns the number of ended attempts that the worker still lists.
    pub fn tombstone_count(&self) -> usize {
        self.attempts.len() - self.live_count
    }

    /// Returns the machine's free capacity.
    pub fn free(&self) -> &Resources {
        &self.free
    }

    /// Computes what the live attempts leave free of the given capacity.
    pub fn compute_free(&self, capacity: Resources) -> Resources {
        let mut free = capacity;
        for attempt in self.live() {
            free.sub(&attempt.request);
        }
        free
    }

    /// Sets the machine's capacity once it is known or when it changes.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.free = self.compute_free(capacity);
    }

    /// Returns an attempt for changes to its launch and stop state.
    pub(in crate::coordination::attempts) fn get_mut(
        &mut self,
        key: &AttemptKey,
    ) -> Option<&mut TaskAttempt> {
        self.attempts.get_mut(key)
    }

    /// Returns all attempts, for changes to their launch and stop state.
    pub(in crate::coordination::attempts) fn iter_mut(
        &mut self,
    ) -> impl Iterator<Item = &mut TaskAttempt> {
        self.attempts.values_mut()
    }

    pub(super) fn insert(&mut self, attempt: TaskAttempt) {
        if !attempt.has_ended() {
            self.charge(&attempt.request);
        }
        let previous = self.attempts.insert(attempt.key(), attempt);
        debug_assert!(previous.is_none(), "an attempt is inserted once");
    }

    pub(super) fn remove(&mut self, key: &AttemptKey) -> Option<TaskAttempt> {
        let attempt = self.attempts.remove(key)?;
        if !attempt.has_ended() {
            self.release(&attempt.request);
        }
        Some(attempt)
    }

    /// Records the status that the worker reported for an attempt, with `running_since` as its start if this is
    /// the first status that lists it as running. Returns `None` if the attempt is not on this machine.
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

/// How a status changed an attempt, with the attempt's team and resource request.
pub(super) struct StatusChange {
    pub request: Resources,
    pub team: Option<TeamIndex>,
    was_live: bool,
    is_live: bool,
    pub was_running: bool,
    pub is_running: bool,
}

impl StatusChange {
    /// Whether the attempt was live and is now a tombstone.
    pub fn has_ended(&self) -> bool {
        self.was_live && !self.is_live
    }

    /// Whether the attempt was recorded as ended and is live after all.
    pub fn has_revived(&self) -> bool {
        !self.was_live && self.is_live
    }
}
