//! The check of whether a task may start on a machine now, given its job's constraints and where the job's
//! other tasks may be.
//!
//! This is the only place that decides it. Placement checks before it plans a start, and every launch is
//! checked again right before it is sent, since other attempts of the job may have become known in between.

use super::request::allows_machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::tasks_by_zone::TasksByZone;
use crate::coordination::machines::machine::Machine;
use crate::ids::Zone;
use crate::protocol::users::JobSpec;

/// Why a task may not start on a machine now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartDenial {
    /// The job does not allow machines of this type, in this zone, or of this kind (spot or on-demand).
    #[error("machine kind not allowed")]
    MachineKind,
    /// The job's tasks have to share a zone, and another of them may be in a different zone.
    #[error("other tasks of the job may be in another zone")]
    OtherZone,
    /// The zone may already have as many tasks of the job as its anti-affinity allows.
    #[error("zone holds as many tasks of the job as allowed")]
    ZoneFull,
}

/// Checks starts of tasks of one job.
pub(crate) struct StartCheck<'a> {
    spec: &'a JobSpec,
    others: TasksByZone,
}

impl<'a> StartCheck<'a> {
    /// Creates the check for tasks that are on no machine, against all tasks of the job that may be on one.
    pub(crate) fn for_pending_tasks(job: &'a Job) -> StartCheck<'a> {
        StartCheck {
            spec: job.spec(),
            others: job.tasks_by_zone().clone(),
        }
    }

    /// Creates a check that assumes that no task of the job is on a machine. [`StartCheck::add_task`] adds
    /// them.
    pub(crate) fn without_placed_tasks(job: &'a Job) -> StartCheck<'a> {
        StartCheck {
            spec: job.spec(),
            others: TasksByZone::default(),
        }
    }

    /// Checks whether one more task may start on the machine.
    pub(crate) fn check(&self, machine: &Machine) -> Result<(), StartDenial> {
        if !allows_machine(self.spec, machine) {
            return Err(StartDenial::MachineKind);
        }
        self.check_zone(&machine.zone)
    }

    /// Checks whether one more task may start in the zone, given where the job's other tasks may be.
    pub(crate) fn check_zone(&self, zone: &Zone) -> Result<(), StartDenial> {
        check_zone(self.spec, zone, &self.others, 0)
    }

    /// Adds a task in the zone to the others that starts are checked against.
    pub(crate) fn add_task(&mut self, zone: &Zone) {
        self.others.add(zone);
    }
}

/// Checks whether a task that is planned on the machine, and counted in its zone, may be launched now.
pub(crate) fn check_planned_start(job: &Job, machine: &Machine) -> Result<(), StartDenial> {
    if !allows_machine(job.spec(), machine) {
        return Err(StartDenial::MachineKind);
    }
    check_zone(job.spec(), &machine.zone, job.tasks_by_zone(), 1)
}

/// Checks the zone against the job's tasks that may be in each zone. `own_tasks` (0 or 1) is how many of those
/// in `zone` are the task to start itself.
fn check_zone(
    spec: &JobSpec,
    zone: &Zone,
    counted: &TasksByZone,
    own_tasks: u32,
) -> Result<(), StartDenial> {
    // If tasks may be in several zones, all of them are denied: whichever is chosen, others may run elsewhere.
    if spec.zone_affinity && counted.any_outside(zone) {
        return Err(StartDenial::OtherZone);
    }
    let others_here = counted.count_in(zone).saturating_sub(own_tasks);
    if spec.zone_anti_affinity && others_here >= max_tasks_per_zone(spec) {
        return Err(StartDenial::ZoneFull);
    }
    Ok(())
}

/// The limit of tasks in one zone for a job with anti-affinity: half of its tasks, rounded up.
fn max_tasks_per_zone(spec: &JobSpec) -> u32 {
    spec.tasks.div_ceil(2)
}
