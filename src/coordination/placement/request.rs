//! What a task requires of the machine that it runs on.

use crate::coordination::machines::machine::Machine;
use crate::ids::{MachineType, Zone};
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use std::collections::BTreeSet;

/// The requirements of a task on a machine's free capacity, machine type and zone, with the class and spot flag
/// of its job.
#[derive(Clone, Debug)]
pub(crate) struct ResourceRequest {
    resources: Resources,
    class: String,
    may_use_spot: bool,
    zone: Option<Zone>,
    machine_types: Option<BTreeSet<MachineType>>,
}

impl ResourceRequest {
    /// The request of each task of a job.
    pub(crate) fn of(spec: &JobSpec) -> ResourceRequest {
        ResourceRequest {
            resources: Resources::of(spec),
            class: spec.class.clone(),
            may_use_spot: spec.spot,
            zone: spec.zone.clone(),
            machine_types: spec.machine_types.clone(),
        }
    }

    /// Whether a task with this request is at least as hard to place as one with the other.
    pub(crate) fn covers(&self, other: &ResourceRequest) -> bool {
        other.resources.fits(&self.resources)
            && self.class == other.class
            && (other.may_use_spot || !self.may_use_spot)
            && (other.zone.is_none() || other.zone == self.zone)
            && (other.machine_types.is_none() || other.machine_types == self.machine_types)
    }
}

/// Whether the job's own constraints (spot instances, zone, machine types) allow the machine.
pub(crate) fn allows_machine(spec: &JobSpec, machine: &Machine) -> bool {
    allows_machine_kind(spec, &machine.machine_type, &machine.zone, machine.spot)
}

/// Whether the job's own constraints allow machines of a type in a zone, as spot instances or not.
pub(crate) fn allows_machine_kind(
    spec: &JobSpec,
    machine_type: &MachineType,
    zone: &Zone,
    spot: bool,
) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_ref().is_none_or(|only| only == zone)
        && allows_machine_type(spec, machine_type)
}

/// Whether the job's own constraints allow machines of a type.
pub(crate) fn allows_machine_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let allowed = spec.machine_types.as_ref();
    allowed.is_none_or(|types| types.contains(machine_type))
}
