//! Counts everything again that the ledger keeps in step, and compares. For tests: no decision calls it.

use super::{TaskAttempt, TeamUsage};
use crate::coordination::jobs::index::JobIndexMismatch;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::tasks_by_zone::TasksByZone;
use crate::coordination::machines::machine::Machine;
use crate::coordination::machines::table::{FreeCapacity, MachineIndex};
use crate::coordination::placement::start_check::{StartCheck, StartDenial};
use crate::coordination::Scheduler;
use crate::ids::{JobId, MachineId, TaskId};
use crate::resources::Resources;
use std::collections::BTreeSet;

/// Sums of decimal numbers may differ by this much in all.
const TOLERANCE: f64 = 1e-3;

/// What is kept in step differs from what was counted.
#[derive(Debug, thiserror::Error)]
pub enum AuditError {
    /// The free capacity or the number of live attempts of a machine.
    #[error("machine {machine}: free {kept:?}, counted {counted:?}")]
    Machine {
        /// The machine's id.
        machine: String,
        /// As kept.
        kept: Resources,
        /// As counted.
        counted: Resources,
    },
    /// What a team uses.
    #[error("teams use {kept:?}, counted {counted:?}")]
    TeamUsage {
        /// As kept, team by team.
        kept: TeamUsage,
        /// As counted.
        counted: TeamUsage,
    },
    /// The machines with room.
    #[error("machines with room {kept:?}, counted {counted:?}")]
    MachineIndex {
        /// As kept.
        kept: MachineIndex,
        /// As counted.
        counted: MachineIndex,
    },
    /// The attempts of a job.
    #[error("{job}: {attempts} attempts, {running} run")]
    Job {
        /// The job.
        job: JobId,
        /// Attempts as kept.
        attempts: u32,
        /// Running attempts as kept.
        running: u32,
    },
    /// The places of a job's tasks: every live attempt has one.
    #[error("{job}: places by zone {kept:?}, counted {counted:?}")]
    Placements {
        /// The job.
        job: JobId,
        /// As kept.
        kept: TasksByZone,
        /// As counted.
        counted: TasksByZone,
    },
    /// An attempt that this leader planned is where its job does not allow it, given the others that it planned.
    #[error("{task} on {machine}: {denial}")]
    Placement {
        /// The task.
        task: TaskId,
        /// The machine.
        machine: MachineId,
        /// Why it may not be there.
        denial: StartDenial,
    },
    /// The sets of jobs by state.
    #[error("jobs by state {0:?}")]
    JobIndex(Box<JobIndexMismatch>),
}

fn nearly_equal(a: &Resources, b: &Resources) -> bool {
    (a.cpus - b.cpus).abs() + (a.gpus - b.gpus).abs() + (a.ram_gb - b.ram_gb).abs() < TOLERANCE
}

impl Scheduler {
    /// Counts everything again and compares.
    ///
    /// # Errors
    /// The first thing found that differs.
    pub fn audit(&self) -> Result<(), AuditError> {
        for machine in self.machines.values() {
            self.audit_machine(machine)?;
        }
        self.audit_team_usage()?;
        self.audit_machine_index()?;
        for (id, job) in &self.jobs {
            self.audit_job(id, job)?;
            self.audit_places(id, job)?;
            self.audit_constraints(id, job)?;
        }
        self.jobs.audit_index().map_err(AuditError::JobIndex)
    }

    fn audit_machine(&self, machine: &Machine) -> Result<(), AuditError> {
        let counted = machine
            .attempts
            .compute_free(self.machines.capacity(&machine.machine_type));
        let live = machine.live_attempts().count();
        if nearly_equal(&counted, machine.free()) && machine.attempts.live_count() == live {
            return Ok(());
        }
        Err(AuditError::Machine {
            machine: machine.id.to_string(),
            kept: *machine.free(),
            counted,
        })
    }

    fn audit_team_usage(&self) -> Result<(), AuditError> {
        let mut counted = TeamUsage::new(self.policy.facts.teams.len());
        let live = self.machines.values().flat_map(Machine::live_attempts);
        for attempt in live {
            counted.charge(attempt.team, &attempt.request);
        }
        let nearly_all_equal = {
            let mut pairs = counted.iter().zip(self.team_usage.iter());
            pairs.all(|(a, b)| nearly_equal(a, b))
        };
        if nearly_all_equal {
            return Ok(());
        }
        Err(AuditError::TeamUsage {
            kept: self.team_usage.clone(),
            counted,
        })
    }

    fn audit_machine_index(&self) -> Result<(), AuditError> {
        let mut counted = MachineIndex::default();
        for machine in self.machines.values() {
            let id = machine.id.clone();
            match self.machines.free_capacity_on(machine) {
                FreeCapacity::Available => drop(counted.with_free_capacity.insert(id)),
                FreeCapacity::CpusOnly => drop(counted.with_free_cpus_only.insert(id)),
                FreeCapacity::None => {}
            }
        }
        if counted == self.machines.index {
            return Ok(());
        }
        Err(AuditError::MachineIndex {
            kept: self.machines.index.clone(),
            counted,
        })
    }

    fn audit_places(&self, id: &JobId, job: &Job) -> Result<(), AuditError> {
        let live = self.live_attempts_of(id);
        let places: BTreeSet<(u32, &MachineId)> = live
            .map(|(machine, attempt)| (attempt.task.index, &machine.id))
            .collect();
        let mut counted = TasksByZone::default();
        for (_, machine_id) in &places {
            if let Some(machine) = self.machines.get(machine_id) {
                counted.add(&machine.zone);
            }
        }
        let kept = job.placements().iter();
        let kept: BTreeSet<(u32, &MachineId)> = kept
            .flat_map(|(index, machines)| machines.iter().map(|machine| (*index, machine)))
            .collect();
        if kept == places && counted == *job.tasks_by_zone() {
            return Ok(());
        }
        Err(AuditError::Placements {
            job: id.clone(),
            kept: job.tasks_by_zone().clone(),
            counted,
        })
    }

    /// Attempts of former leaders are left out: old intents may name several zones until they are settled.
    fn audit_constraints(&self, id: &JobId, job: &Job) -> Result<(), AuditError> {
        let mut check = StartCheck::without_placed_tasks(job);
        let live = self.live_attempts_of(id);
        for (machine, attempt) in live.filter(|(_, attempt)| !attempt.recovered) {
            if let Err(denial) = check.check(machine) {
                return Err(AuditError::Placement {
                    task: attempt.task.clone(),
                    machine: machine.id.clone(),
                    denial,
                });
            }
            check.add_task(&machine.zone);
        }
        Ok(())
    }

    fn live_attempts_of<'a>(
        &'a self,
        id: &'a JobId,
    ) -> impl Iterator<Item = (&'a Machine, &'a TaskAttempt)> {
        let machines = self.machines.values();
        machines.flat_map(move |machine| {
            let of_job = machine.live_attempts().filter(|a| a.task.job == *id);
            of_job.map(move |attempt| (machine, attempt))
        })
    }

    fn audit_job(&self, id: &JobId, job: &Job) -> Result<(), AuditError> {
        let attempts = self.machines.values().flat_map(|m| m.attempts.iter());
        let (mut counted, mut running) = (0, 0);
        for attempt in attempts.filter(|attempt| attempt.task.job == *id) {
            counted += 1;
            running += u32::from(attempt.is_running());
        }
        if (job.attempt_count(), job.running_count()) == (counted, running) {
            return Ok(());
        }
        Err(AuditError::Job {
            job: id.clone(),
            attempts: job.attempt_count(),
            running: job.running_count(),
        })
    }
}
