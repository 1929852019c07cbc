//! The fraction of a machine that a task takes.

use super::table::MachineTable;
use crate::protocol::cloud::MachineTypeInfo;
use crate::protocol::users::JobSpec;

/// A task that takes more than this fraction of a machine is large.
const LARGE_TASK_FRACTION: f64 = 0.5;

impl MachineTable {
    /// Whether each task of the job takes most of a machine. Large tasks are placed first; small ones fill the
    /// remaining gaps.
    pub(crate) fn is_large_task(&self, spec: &JobSpec) -> bool {
        self.smallest_machine_fraction(spec) > LARGE_TASK_FRACTION
    }

    /// The smallest fraction of a machine that a task of the job takes, over the allowed machine types on which
    /// it fits; infinite if there is none.
    pub(crate) fn smallest_machine_fraction(&self, spec: &JobSpec) -> f64 {
        let allowed = self.types.values().filter(|info| {
            let allowed_types = spec.machine_types.as_ref();
            allowed_types.is_none_or(|types| types.contains(&info.name))
        });
        allowed
            .map(|info| machine_fraction(spec, info))
            .filter(|fraction| *fraction <= 1.0)
            .fold(f64::INFINITY, f64::min)
    }
}

/// The larger of the fractions of GPUs and of CPUs that a task takes of a machine.
fn machine_fraction(spec: &JobSpec, info: &MachineTypeInfo) -> f64 {
    let fraction = |request: f64, capacity: f64| {
        if capacity > 0.0 {
            request / capacity
        } else {
            0.0
        }
    };
    fraction(spec.gpus, info.gpus).max(fraction(spec.cpus, info.cpus))
}
