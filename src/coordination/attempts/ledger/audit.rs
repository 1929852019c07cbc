//! Recomputes the totals and indexes that the ledger updates incrementally, and compares them. Only tests call
//! it.

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

/// Allowed rounding difference, summed over CPUs, GPUs and GB of memory.
const TOLERANCE: f64 = 1e-3;

/// A tracked total or index differs from the recomputed one.
#[derive(Debug, thiserror::Error)]
pub enum AuditError {
    /// The free capacity or the number of live attempts of a machine differs.
    #[error(
        "machine {machine}: free capacity tracked as {tracked:?}, recomputed as {recomputed:?}"
    )]
    Machine {
        /// The machine's id.
        machine: String,
        /// Free capacity as tracked.
        tracked: Resources,
        /// Free capacity as recomputed.
        recomputed: Resources,
    },
    /// The usage of a team differs.
    #[error("team usage tracked as {tracked:?}, recomputed as {recomputed:?}")]
    TeamUsage {
        /// Usage as tracked, by team.
        tracked: TeamUsage,
        /// Usage as recomputed.
        recomputed: TeamUsage,
    },
    /// The index of machines with free capacity differs.
    #[error("machines with free capacity tracked as {tracked:?}, recomputed as {recomputed:?}")]
    MachineIndex {
        /// Index as tracked.
        tracked: MachineIndex,
        /// Index as recomputed.
        recomputed: MachineIndex,
    },
    /// The attempt counts of a job differ.
    #[error("{job}: {attempts} attempts and {running} running tracked, the counts differ")]
    Job {
        /// The job.
        job: JobId,
        /// Number of attempts as tracked.
        attempts: u32,
        /// Number of running attempts as tracked.
        running: u32,
    },
    /// The placements of a job's tasks differ: each live attempt must have one.
    #[error("{job}: tasks by zone tracked as {tracked:?}, recomputed as {recomputed:?}")]
    Placements {
        /// The job.
        job: JobId,
        /// Tasks by zone as tracked.
        tracked: TasksByZone,
        /// Tasks by zone as recomputed.
        recomputed: TasksByZone,
    },
    /// An attempt planned by this leader violates its job's constraints, given the other attempts that it
    /// planned.
    #[error("{task} on {machine}: {denial}")]
    Placement {
        /// The task.
        task: TaskId,
        /// The machine.
        machine: MachineId,
        /// The violated constraint.
        denial: StartDenial,
    },
    /// The index of jobs by state differs.
    #[error("jobs by state differ: {0:?}")]
    JobIndex(Box<JobIndexMismatch>),
}

fn nearly_equal(a: &Resources, b: &Resources) -> bool {
    (a.cpus - b.cpus).abs() + (a.gpus - b.gpus).abs() + (a.ram_gb - b.ram_gb).abs() < TOLERANCE
}

impl Scheduler {
    /// Recomputes all tracked totals and indexes and compares them.
    ///
    /// # Errors
    /// Returns the first difference found.
    pub fn audit(&self) -> Result<(), AuditError> {
        for machine in self.machines.values() {
            self.audit_machine(machine)?;
        }
        self.audit_team_usage()?;
        self.audit_machine_index()?;
        for (id, job) in &self.jobs {
            self.audit_job(id, job)?;
            self.audit_placements(id, job)?;
            self.audit_constraints(id, job)?;
        }
        self.jobs.audit_index().map_err(AuditError::JobIndex)
    }

    fn audit_machine(&self, machine: &Machine) -> Result<(), AuditError> {
        let recomputed = machine
            .attempts
            .compute_free(self.machines.capacity(&machine.machine_type));
        let live = machine.live_attempts().count();
        if nearly_equal(&recomputed, machine.free()) && machine.attempts.live_count() == live {
            return Ok(());
        }
        Err(AuditError::Machine {
            machine: machine.id.to_string(),
            tracked: *machine.free(),
            recomputed,
        })
    }

    fn audit_team_usage(&self) -> Result<(), AuditError> {
        let mut recomputed = TeamUsage::new(self.policy.facts.teams.len());
        let live = self.machines.values().flat_map(Machine::live_attempts);
        for attempt in live {
            recomputed.charge(attempt.team, &attempt.request);
        }
        let nearly_all_equal = {
            let mut pairs = recomputed.iter().zip(self.team_usage.iter());
            pairs.all(|(a, b)| nearly_equal(a, b))
        };
        if nearly_all_equal {
            return Ok(());
        }
        Err(AuditError::TeamUsage {
            tracked: self.team_usage.clone(),
            recomputed,
        })
    }

    fn audit_machine_index(&self) -> Result<(), AuditError> {
        let mut recomputed = MachineIndex::default();
        for machine in self.machines.values() {
            let id = machine.id.clone();
            match self.machines.free_capacity_on(machine) {
                FreeCapacity::Available => drop(recomputed.with_free_capacity.insert(id)),
                FreeCapacity::CpusOnly => drop(recomputed.with_free_cpus_only.insert(id)),
                FreeCapacity::None => {}
            }
        }
        if recomputed == self.machines.index {
            return Ok(());
        }
        Err(AuditError::MachineIndex {
            tracked: self.machines.index.clone(),
            recomputed,
        })
    }

    fn audit_placements(&self, id: &JobId, job: &Job) -> Result<(), AuditError> {
        let live = self.live_attempts_of(id);
        let places: BTreeSet<(u32, &MachineId)> = live
            .map(|(machine, attempt)| (attempt.task.index, &machine.id))
            .collect();
        let mut recomputed = TasksByZone::default();
        for (_, machine_id) in &places {
            if let Some(machine) = self.machines.get(machine_id) {
                recomputed.add(&machine.zone);
            }
        }
        let tracked = job.placements().iter();
        let tracked: BTreeSet<(u32, &MachineId)> = tracked
            .flat_map(|(index, machines)| machines.iter().map(|machine| (*index, machine)))
            .collect();
        if tracked == places && recomputed == *job.tasks_by_zone() {
            return Ok(());
        }
        Err(AuditError::Placements {
            job: id.clone(),
            tracked: job.tasks_by_zone().clone(),
            recomputed,
        })
    }

    /// Attempts of former leaders are left out: their intents may name several zones until they are settled.
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
