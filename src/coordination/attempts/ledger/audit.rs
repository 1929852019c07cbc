//! Counts everything again that the ledger keeps in step, and compares. For tests: no decision calls it.

use super::TeamUsage;
use crate::coordination::jobs::index::JobIndexMismatch;
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::Machine;
use crate::coordination::machines::table::{MachineIndex, Room};
use crate::coordination::Scheduler;
use crate::ids::JobId;
use crate::resources::Resources;

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
        }
        self.jobs.audit_index().map_err(AuditError::JobIndex)
    }

    fn audit_machine(&self, machine: &Machine) -> Result<(), AuditError> {
        let counted = machine
            .attempts
            .free_of(self.machines.capacity(&machine.machine_type));
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
            match self.machines.room_on(machine) {
                Room::Some => drop(counted.with_room.insert(id)),
                Room::CpusOnly => drop(counted.with_cpus_only.insert(id)),
                Room::None => {}
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
