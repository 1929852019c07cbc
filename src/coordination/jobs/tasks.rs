//! The tasks of a job: which are completed, which may be on a machine, which are pending.

use crate::ids::MachineId;
use crate::storage::records::CompletedTasks;
use std::collections::{BTreeMap, BTreeSet};

/// The state of each task of a job.
///
/// A task that is pending is neither completed nor placed.
#[derive(Debug)]
pub(super) struct TaskStates {
    completed: CompletedTasks,
    /// Completed tasks of which the state service does not know yet.
    unpersisted: BTreeSet<u32>,
    pending: BTreeSet<u32>,
    /// The machines on which a task may be: more than one only after a failover.
    placements: BTreeMap<u32, Vec<MachineId>>,
}

impl TaskStates {
    /// So many tasks, all of them pending.
    pub(super) fn all_pending(count: u32) -> TaskStates {
        TaskStates {
            completed: CompletedTasks::new(count),
            unpersisted: BTreeSet::new(),
            pending: (0..count).collect(),
            placements: BTreeMap::new(),
        }
    }

    pub(super) fn completed(&self) -> &CompletedTasks {
        &self.completed
    }

    pub(super) fn unpersisted(&self) -> &BTreeSet<u32> {
        &self.unpersisted
    }

    pub(super) fn pending(&self) -> &BTreeSet<u32> {
        &self.pending
    }

    pub(super) fn placements(&self) -> &BTreeMap<u32, Vec<MachineId>> {
        &self.placements
    }

    /// The task may be on that machine from now on.
    pub(super) fn placed(&mut self, index: u32, machine_id: &MachineId) {
        let machines = self.placements.entry(index).or_default();
        if !machines.contains(machine_id) {
            machines.push(machine_id.clone());
        }
        self.pending.remove(&index);
    }

    /// The task is not on that machine any more.
    pub(super) fn left_machine(&mut self, index: u32, machine_id: &MachineId) {
        if let Some(machines) = self.placements.get_mut(&index) {
            machines.retain(|other| other != machine_id);
            if machines.is_empty() {
                self.placements.remove(&index);
            }
        }
    }

    /// The task has to run: it is pending unless it may still be on some machine.
    pub(super) fn requeue(&mut self, index: u32) {
        if !self.placements.contains_key(&index) {
            self.pending.insert(index);
        }
    }

    /// The task is completed; that is to be persisted if it is news.
    pub(super) fn complete(&mut self, index: u32) {
        if self.completed.add(index) {
            self.unpersisted.insert(index);
            self.pending.remove(&index);
        }
    }

    /// The state service knows that these tasks are completed.
    pub(super) fn persisted(&mut self, indices: &BTreeSet<u32>) {
        self.unpersisted.retain(|index| !indices.contains(index));
    }

    /// Takes in a progress record: tasks that were completed under a former leader.
    pub(super) fn load_progress(&mut self, chunk: u32, text: &str) {
        self.completed.load(chunk, text);
        let completed = &self.completed;
        self.pending.retain(|index| !completed.has(*index));
    }

    /// No task is to be placed any more.
    pub(super) fn drop_pending(&mut self) {
        self.pending.clear();
    }
}
