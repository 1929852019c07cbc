//! The machine table: every machine that the leader knows, what machines of each type offer, and the sets of
//! machines with room that placement looks up often.

use super::machine::{Machine, MachineState};
use crate::coordination::jobs::index::set_membership;
use crate::ids::{Image, MachineId, MachineType};
use crate::protocol::cloud::MachineTypeInfo;
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use std::collections::{btree_map, BTreeMap, BTreeSet};

/// Seconds that a machine of an unknown type is taken to boot.
const UNKNOWN_TYPE_BOOT_SECS: f64 = 30.0;

/// All machines of a leadership.
///
/// Whoever changes a machine's state or its free capacity calls [`MachineTable::reindex`] afterwards.
#[derive(Debug, Default)]
pub struct MachineTable {
    machines: BTreeMap<MachineId, Machine>,
    /// Machine types and their prices, as the cloud lists them.
    pub(crate) types: BTreeMap<MachineType, MachineTypeInfo>,
    /// Machines that the cloud confirmed gone: late messages of theirs mean nothing.
    pub(crate) terminated: BTreeSet<MachineId>,
    /// Sets of machines by the room they have, kept in step by [`MachineTable::reindex`].
    pub(crate) index: MachineIndex,
    /// GPUs of machines that have each image cached.
    pub(super) gpus_by_cached_image: BTreeMap<Image, f64>,
}

/// Sets of machines by the room they have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineIndex {
    /// Machines that report and are not full.
    pub with_free_capacity: BTreeSet<MachineId>,
    /// Machines that report and whose GPUs are all taken, but not their CPUs: room for tasks that need
    /// no GPU.
    pub with_free_cpus_only: BTreeSet<MachineId>,
}

/// What kind of room a machine has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreeCapacity {
    /// None, or it does not report.
    None,
    /// CPUs, but no GPUs though its type has some.
    CpusOnly,
    /// Some of all that its type is rented for.
    Available,
}

impl MachineTable {
    /// The machine with that id, if it is known.
    pub fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.machines.get(id)
    }

    /// The machine with that id, to be changed and then reindexed.
    pub fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        self.machines.get_mut(id)
    }

    /// Whether a machine is known.
    pub fn contains_key(&self, id: &MachineId) -> bool {
        self.machines.contains_key(id)
    }

    /// The ids of all machines, in order.
    pub fn keys(&self) -> btree_map::Keys<'_, MachineId, Machine> {
        self.machines.keys()
    }

    /// Every machine, in the order of ids.
    pub fn values(&self) -> btree_map::Values<'_, MachineId, Machine> {
        self.machines.values()
    }

    /// Every machine, to be changed.
    pub fn values_mut(&mut self) -> btree_map::ValuesMut<'_, MachineId, Machine> {
        self.machines.values_mut()
    }

    /// How many machines are known.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether no machine is known.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Takes a machine in; it is indexed when it first reports, or by [`MachineTable::reindex`].
    pub fn insert(&mut self, id: MachineId, machine: Machine) {
        self.machines.insert(id, machine);
    }

    /// Takes a machine out that the cloud confirmed gone.
    pub fn remove(&mut self, id: &MachineId) -> Option<Machine> {
        self.machines.remove(id)
    }

    /// What one machine of the type offers; nothing if the type is not known.
    pub fn capacity(&self, machine_type: &MachineType) -> Resources {
        self.types
            .get(machine_type)
            .map_or(Resources::default(), |info| Resources {
                cpus: info.cpus,
                gpus: info.gpus,
                ram_gb: info.ram_gb,
            })
    }

    /// Seconds that a machine of the type takes to boot.
    pub fn boot_s(&self, machine_type: &MachineType) -> f64 {
        let info = self.types.get(machine_type);
        info.map_or(UNKNOWN_TYPE_BOOT_SECS, |info| info.boot_s)
    }

    /// Gigabytes of images that a machine caches; 0 if it or its type is not known.
    pub fn cache_gb(&self, id: &MachineId) -> f64 {
        self.machines
            .get(id)
            .and_then(|machine| self.types.get(&machine.machine_type))
            .map_or(0.0, |info| info.cache_gb)
    }

    /// Takes in the machine types; what is free on each machine follows.
    pub fn set_types(&mut self, types: Vec<MachineTypeInfo>) {
        self.types = types
            .into_iter()
            .map(|info| (info.name.clone(), info))
            .collect();
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            let Some(machine) = self.machines.get(&id) else {
                continue;
            };
            let capacity = self.capacity(&machine.machine_type);
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.attempts.set_capacity(capacity);
            }
            self.reindex(&id);
        }
    }

    /// Brings the index in step with a machine that has changed, or that is no longer held.
    pub fn reindex(&mut self, id: &MachineId) {
        let room = self
            .machines
            .get(id)
            .map(|machine| self.free_capacity_on(machine));
        let with_free_capacity = &mut self.index.with_free_capacity;
        set_membership(
            with_free_capacity,
            id,
            room == Some(FreeCapacity::Available),
        );
        let with_free_cpus_only = &mut self.index.with_free_cpus_only;
        set_membership(
            with_free_cpus_only,
            id,
            room == Some(FreeCapacity::CpusOnly),
        );
    }

    /// What kind of room a machine has.
    pub fn free_capacity_on(&self, machine: &Machine) -> FreeCapacity {
        let whole = self.capacity(&machine.machine_type);
        let has_some = |free: f64, whole: f64| whole <= 0.0 || free > 1e-6;
        if machine.state != MachineState::Up || !has_some(machine.free().cpus, whole.cpus) {
            FreeCapacity::None
        } else if has_some(machine.free().gpus, whole.gpus) {
            FreeCapacity::Available
        } else {
            FreeCapacity::CpusOnly
        }
    }

    /// Machines that report and have room of the kind that a job's tasks need.
    pub fn with_free_capacity_for<'a>(
        &'a self,
        spec: &JobSpec,
    ) -> impl Iterator<Item = &'a Machine> {
        let with_free_capacity = self.index.with_free_capacity.iter();
        let with_free_cpus_only = (spec.gpus <= 0.0).then_some(&self.index.with_free_cpus_only);
        let ids = with_free_capacity.chain(with_free_cpus_only.into_iter().flatten());
        ids.filter_map(|id| self.machines.get(id))
    }
}
