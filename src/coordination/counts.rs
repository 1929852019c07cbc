//! Counts that are shown and logged; no decision rests on them.

use super::machines::machine::{Machine, MachineState};
use super::Scheduler;
use crate::ids::JobId;

/// How many tasks of a job are completed, and how many run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that are done.
    pub completed: u32,
    /// Tasks that were seen running and have not ended since.
    pub running: u32,
}

/// The task counts of one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobTaskCounts {
    /// The job.
    pub job: JobId,
    /// Its counts.
    pub tasks: TaskCounts,
}

/// How many task attempts may be on machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// All of them.
    pub total: usize,
    /// Those of jobs that are not open any more: they are to be stopped.
    pub of_closed_jobs: usize,
}

impl Scheduler {
    /// Machines whose workers should be sending heartbeats.
    pub fn machines_up(&self) -> usize {
        let is_up = |machine: &&Machine| machine.state == MachineState::Up;
        self.machines.values().filter(is_up).count()
    }

    /// Task attempts that may be on machines.
    pub fn attempt_counts(&self) -> AttemptCounts {
        let mut counts = AttemptCounts::default();
        for attempt in self
            .machines
            .values()
            .flat_map(|machine| machine.attempts.iter())
        {
            let is_open = self
                .jobs
                .get(&attempt.task.job)
                .is_some_and(|job| !job.is_closed());
            counts.total += 1;
            counts.of_closed_jobs += usize::from(!is_open);
        }
        counts
    }

    /// The task counts of each open job of which any task runs or is completed.
    pub fn task_counts(&self) -> Vec<JobTaskCounts> {
        let open = self.jobs.iter().filter(|(_, job)| !job.is_closed());
        let counts = open.map(|(id, job)| JobTaskCounts {
            job: id.clone(),
            tasks: TaskCounts {
                completed: job.completed().count(),
                running: job.running_count(),
            },
        });
        counts
            .filter(|counts| counts.tasks != TaskCounts::default())
            .collect()
    }

    /// The task counts of one job; zero if it is not known.
    pub fn task_counts_of(&self, id: &JobId) -> TaskCounts {
        let job = self.jobs.get(id);
        job.map_or(TaskCounts::default(), |job| TaskCounts {
            completed: job.completed().count(),
            running: job.running_count(),
        })
    }
}
