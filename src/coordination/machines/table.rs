//! The machine table: every machine that the leader knows, the machine types, and the index of machines with
//! free capacity that placement reads.

use super::machine::{Machine, MachineState};
use crate::coordination::jobs::index::set_membership;
use crate::ids::{Image, MachineId, MachineType};
use crate::protocol::cloud::MachineTypeInfo;
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use std::collections::{btree_map, BTreeMap, BTreeSet};

/// The boot time assumed for a machine of an unknown type, in seconds.
const UNKNOWN_TYPE_BOOT_SECS: f64 = 30.0;

/// All machines that the leader knows.
///
/// Code that changes a machine's state or free capacity has to call [`MachineTable::reindex`] afterwards.
#[derive(Debug, Default)]
pub struct MachineTable {
    machines: BTreeMap<MachineId, Machine>,
    /// Machine types and their prices, as the cloud lists them.
    pub(crate) types: BTreeMap<MachineType, MachineTypeInfo>,
    /// Machines whose termination the cloud has confirmed: late messages from them are ignored.
    pub(crate) terminated: BTreeSet<MachineId>,
    /// Machines by free capacity, kept up to date by [`MachineTable::reindex`].
    pub(crate) index: MachineIndex,
    /// For each image, the number of GPUs on machines that have it cached.
    pub(super) gpus_by_cached_image: BTreeMap<Image, f64>,
}

/// Machines by free capacity.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineIndex {
    /// Machines that are up and have [`FreeCapacity::Available`].
    pub with_free_capacity: BTreeSet<MachineId>,
    /// Machines that are up and have [`FreeCapacity::CpusOnly`]: only tasks without GPUs fit.
    pub with_free_cpus_only: BTreeSet<MachineId>,
}

/// Which resources of a machine are free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreeCapacity {
    /// None, or the machine is not up.
    None,
    /// CPUs, but none of the GPUs that its type has.
    CpusOnly,
    /// CPUs and, if its type has GPUs, GPUs.
    Available,
}

impl MachineTable {
    /// Returns the machine with the id, if it is known.
    pub fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.machines.get(id)
    }

    /// Returns the machine with the id for a change that is followed by [`MachineTable::reindex`].
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

    /// Every machine in the order of ids, mutable.
    pub fn values_mut(&mut self) -> btree_map::ValuesMut<'_, MachineId, Machine> {
        self.machines.values_mut()
    }

    /// The number of machines known.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether no machine is known.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Inserts a machine without indexing it: [`MachineTable::reindex`] does so once the machine is up.
    pub fn insert(&mut self, id: MachineId, machine: Machine) {
        self.machines.insert(id, machine);
    }

    /// Removes a machine whose termination the cloud has confirmed.
    pub fn remove(&mut self, id: &MachineId) -> Option<Machine> {
        self.machines.remove(id)
    }

    /// The resources of an empty machine of the type; zero if the type is not known.
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

    /// The size of a machine's image cache in gigabytes; 0 if the machine or its type is not known.
    pub fn cache_gb(&self, id: &MachineId) -> f64 {
        self.machines
            .get(id)
            .and_then(|machine| self.types.get(&machine.machine_type))
            .map_or(0.0, |info| info.cache_gb)
    }

    /// Replaces the machine types, and updates the capacity of every machine.
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

    /// Updates the index for a machine that has changed or has been removed.
    pub fn reindex(&mut self, id: &MachineId) {
        let free_capacity = self
            .machines
            .get(id)
            .map(|machine| self.free_capacity_on(machine));
        let with_free_capacity = &mut self.index.with_free_capacity;
        set_membership(
            with_free_capacity,
            id,
            free_capacity == Some(FreeCapacity::Available),
        );
        let with_free_cpus_only = &mut self.index.with_free_cpus_only;
        set_membership(
            with_free_cpus_only,
            id,
            free_capacity == Some(FreeCapacity::CpusOnly),
        );
    }

    /// Which resources of the machine are free.
    pub fn free_capacity_on(&self, machine: &Machine) -> FreeCapacity {
        let capacity = self.capacity(&machine.machine_type);
        let has_free = |free: f64, capacity: f64| capacity <= 0.0 || free > 1e-6;
        if machine.state != MachineState::Up || !has_free(machine.free().cpus, capacity.cpus) {
            FreeCapacity::None
        } else if has_free(machine.free().gpus, capacity.gpus) {
            FreeCapacity::Available
        } else {
            FreeCapacity::CpusOnly
        }
    }

    /// Machines that are up and have the kinds of resources free that a task of the job requests. The amounts
    /// are not compared.
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
