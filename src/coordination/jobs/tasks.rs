//! The states of a job's tasks: completed, placed on machines, or pending.

use super::task_set::TaskSet;
use super::tasks_by_zone::TasksByZone;
use crate::ids::{MachineId, Zone};
use crate::storage::records::CompletedTasks;
use std::collections::{BTreeMap, BTreeSet};

/// The state of each task of a job.
///
/// A pending task is neither completed nor placed.
#[derive(Debug)]
pub(super) struct TaskStates {
    completed: CompletedTasks,
    /// Completed tasks whose completion is not yet persisted in the state store.
    unpersisted: BTreeSet<u32>,
    pending: TaskSet,
    /// The machines on which each task may be; more than one only after a failover.
    placements: BTreeMap<u32, Vec<MachineId>>,
    /// The number of placements in each zone.
    by_zone: TasksByZone,
}

impl TaskStates {
    /// Creates the given number of tasks, all pending.
    pub(super) fn all_pending(count: u32) -> TaskStates {
        TaskStates {
            completed: CompletedTasks::new(count),
            unpersisted: BTreeSet::new(),
            pending: TaskSet::first(count),
            placements: BTreeMap::new(),
            by_zone: TasksByZone::default(),
        }
    }

    pub(super) fn completed(&self) -> &CompletedTasks {
        &self.completed
    }

    pub(super) fn unpersisted(&self) -> &BTreeSet<u32> {
        &self.unpersisted
    }

    pub(super) fn pending(&self) -> &TaskSet {
        &self.pending
    }

    pub(super) fn placements(&self) -> &BTreeMap<u32, Vec<MachineId>> {
        &self.placements
    }

    pub(super) fn by_zone(&self) -> &TasksByZone {
        &self.by_zone
    }

    /// Records that the task may be on a machine in the given zone.
    pub(super) fn placed(&mut self, index: u32, machine_id: &MachineId, zone: &Zone) {
        let machines = self.placements.entry(index).or_default();
        if !machines.contains(machine_id) {
            machines.push(machine_id.clone());
            self.by_zone.add(zone);
        }
        self.pending.remove(index);
    }

    /// Records that the task is no longer on a machine in the given zone.
    pub(super) fn left_machine(&mut self, index: u32, machine_id: &MachineId, zone: &Zone) {
        let Some(machines) = self.placements.get_mut(&index) else {
            return;
        };
        let Some(position) = machines.iter().position(|other| other == machine_id) else {
            return;
        };
        machines.remove(position);
        if machines.is_empty() {
            self.placements.remove(&index);
        }
        self.by_zone.remove(zone);
    }

    /// Makes a task that has to run pending, unless it may still be on a machine.
    pub(super) fn requeue(&mut self, index: u32) {
        if !self.placements.contains_key(&index) {
            self.pending.insert(index);
        }
    }

    /// Marks the task as completed; if it was not completed before, that has to be persisted.
    pub(super) fn complete(&mut self, index: u32) {
        if self.completed.insert(index) {
            self.unpersisted.insert(index);
            self.pending.remove(index);
        }
    }

    /// Records that the completion of these tasks is persisted.
    pub(super) fn persisted(&mut self, indices: &BTreeSet<u32>) {
        self.unpersisted.retain(|index| !indices.contains(index));
    }

    /// Loads a chunk of the progress record: tasks completed under a former leader.
    pub(super) fn load_progress(&mut self, chunk: u32, text: &str) {
        self.completed.load_chunk(chunk, text);
        for index in CompletedTasks::tasks_of_chunk(chunk) {
            if self.completed.contains(index) {
                self.pending.remove(index);
            }
        }
    }

    /// Removes all pending tasks, so that none is placed any more.
    pub(super) fn drop_pending(&mut self) {
        self.pending.clear();
    }
}
