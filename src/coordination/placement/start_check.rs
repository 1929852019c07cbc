//! Whether a task may start on a machine now, given its job's constraints and where the job's other tasks may be.
//!
//! This is the only place that decides it. Placement asks before it plans a start, and every launch is judged
//! again when it is about to leave, for attempts of the same job may have come to light in between.

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
    /// The job's tasks have to share a zone, and another of them may be elsewhere.
    #[error("other tasks of the job may be in another zone")]
    OtherZone,
    /// As many of the job's tasks may be in this zone as its anti-affinity allows.
    #[error("zone holds as many tasks of the job as allowed")]
    ZoneFull,
}

/// Judges starts of tasks of one job.
pub(crate) struct StartCheck<'a> {
    spec: &'a JobSpec,
    others: TasksByZone,
}

impl<'a> StartCheck<'a> {
    /// For tasks that are on no machine: all that may be anywhere are others.
    pub(crate) fn of_pending_tasks(job: &'a Job) -> StartCheck<'a> {
        StartCheck {
            spec: job.spec(),
            others: job.tasks_by_zone().clone(),
        }
    }

    /// As if no task of the job were anywhere.
    pub(crate) fn without_placed_tasks(job: &'a Job) -> StartCheck<'a> {
        StartCheck {
            spec: job.spec(),
            others: TasksByZone::default(),
        }
    }

    /// Whether one more task may start on the machine.
    pub(crate) fn check(&self, machine: &Machine) -> Result<(), StartDenial> {
        if !allows_machine(self.spec, machine) {
            return Err(StartDenial::MachineKind);
        }
        self.check_zone(&machine.zone)
    }

    /// Whether the job's other tasks let one more start in the zone.
    pub(crate) fn check_zone(&self, zone: &Zone) -> Result<(), StartDenial> {
        check_zone(self.spec, zone, &self.others, 0)
    }

    /// One more task is to start in the zone.
    pub(crate) fn add_task(&mut self, zone: &Zone) {
        self.others.add(zone);
    }
}

/// Whether a task that is planned on the machine, and counted there, may be launched now.
pub(crate) fn check_planned_start(job: &Job, machine: &Machine) -> Result<(), StartDenial> {
    if !allows_machine(job.spec(), machine) {
        return Err(StartDenial::MachineKind);
    }
    check_zone(job.spec(), &machine.zone, job.tasks_by_zone(), 1)
}

/// `own_tasks` of those counted in the zone are the one that is to start.
fn check_zone(
    spec: &JobSpec,
    zone: &Zone,
    counted: &TasksByZone,
    own_tasks: u32,
) -> Result<(), StartDenial> {
    // Guards against one of several zones being taken for the job's: whichever it is, others may run elsewhere.
    if spec.zone_affinity && counted.any_outside(zone) {
        return Err(StartDenial::OtherZone);
    }
    let others_here = counted.count_in(zone).saturating_sub(own_tasks);
    if spec.zone_anti_affinity && others_here >= max_tasks_per_zone(spec) {
        return Err(StartDenial::ZoneFull);
    }
    Ok(())
}

/// How many tasks of a job with anti-affinity may be in one zone: half of them, rounded up.
fn max_tasks_per_zone(spec: &JobSpec) -> u32 {
    spec.tasks.div_ceil(2)
}
