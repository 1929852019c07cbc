//! The tasks of a job: which are completed, which may be on a machine, which are pending.

use super::tasks_by_zone::TasksByZone;
use crate::ids::{MachineId, Zone};
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
    /// The zones of these machines.
    by_zone: TasksByZone,
}

impl TaskStates {
    /// So many tasks, all of them pending.
    pub(super) fn all_pending(count: u32) -> TaskStates {
        TaskStates {
            completed: CompletedTasks::new(count),
            unpersisted: BTreeSet::new(),
            pending: (0..count).collect(),
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

    pub(super) fn pending(&self) -> &BTreeSet<u32> {
        &self.pending
    }

    pub(super) fn placements(&self) -> &BTreeMap<u32, Vec<MachineId>> {
        &self.placements
    }

    pub(super) fn by_zone(&self) -> &TasksByZone {
        &self.by_zone
    }

    /// The task may be on that machine, in that zone, from now on.
    pub(super) fn placed(&mut self, index: u32, machine_id: &MachineId, zone: &Zone) {
        let machines = self.placements.entry(index).or_default();
        if !machines.contains(machine_id) {
            machines.push(machine_id.clone());
            self.by_zone.add(zone);
        }
        self.pending.remove(&index);
    }

    /// The task is not on that machine, in that zone, any more.
    pub(super) fn left_machine(&mut self, index: u32, machine_id: &MachineId, zone: &Zone) {
        let Some(machines) = self.placements.get_mut(&index) else {
            return;
        };
        let Some(place) = machines.iter().position(|other| other == machine_id) else {
            return;
        };
        machines.remove(place);
        if machines.is_empty() {
            self.placements.remove(&index);
        }
        self.by_zone.remove(zone);
    }

    /// The task has to run: it is pending unless it may still be on some machine.
    pub(super) fn requeue(&mut self, index: u32) {
        if !self.placements.contains_key(&index) {
            self.pending.insert(index);
        }
    }

    /// The task is completed; that is to be persisted if it is news.
    pub(super) fn complete(&mut self, index: u32) {
        if self.completed.insert(index) {
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
        self.completed.load_chunk(chunk, text);
        let completed = &self.completed;
        self.pending.retain(|index| !completed.contains(*index));
    }

    /// No task is to be placed any more.
    pub(super) fn drop_pending(&mut self) {
        self.pending.clear();
    }
}
