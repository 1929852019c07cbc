//! What part of a machine a task takes.

use super::table::MachineTable;
use crate::protocol::cloud::MachineTypeInfo;
use crate::protocol::users::JobSpec;

/// A task that takes more than this fraction of a machine takes most of it.
const LARGE_TASK_FRACTION: f64 = 0.5;

impl MachineTable {
    /// Whether each task of a job takes most of a machine: large ones are placed first, small ones fill what
    /// is left.
    pub(crate) fn is_large_task(&self, spec: &JobSpec) -> bool {
        self.smallest_machine_fraction(spec) > LARGE_TASK_FRACTION
    }

    /// The largest fraction of GPUs or CPUs that a task takes of a machine, of the allowed type of which it
    /// takes least; infinite if it fits on none.
    pub(crate) fn smallest_machine_fraction(&self, spec: &JobSpec) -> f64 {
        let allowed = self.types.values().filter(|info| {
            let named = spec.machine_types.as_ref();
            named.is_none_or(|named| named.contains(&info.name))
        });
        allowed
            .map(|info| fraction_taken(spec, info))
            .filter(|fraction| *fraction <= 1.0)
            .fold(f64::INFINITY, f64::min)
    }
}

fn fraction_taken(spec: &JobSpec, info: &MachineTypeInfo) -> f64 {
    let fraction = |request: f64, capacity: f64| {
        if capacity > 0.0 {
            request / capacity
        } else {
            0.0
        }
    };
    fraction(spec.gpus, info.gpus).max(fraction(spec.cpus, info.cpus))
}
