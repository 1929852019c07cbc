//! Counts for status responses, logs and the check for leadership transfer; placement does not use them.

use super::machines::machine::{Machine, MachineState};
use super::Scheduler;
use crate::ids::JobId;

/// The numbers of completed and running tasks of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Completed tasks.
    pub completed: u32,
    /// Tasks that a worker has reported as running and that have not ended since.
    pub running: u32,
}

/// The task counts of one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobTaskCounts {
    /// The job.
    pub job: JobId,
    /// The task counts of the job.
    pub tasks: TaskCounts,
}

/// The numbers of task attempts that may be on machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// All attempts.
    pub total: usize,
    /// Attempts of jobs that are closed or unknown; they have to be stopped.
    pub of_closed_jobs: usize,
}

impl Scheduler {
    /// Returns the number of machines that are up, whose workers should be sending heartbeats.
    pub fn machines_up(&self) -> usize {
        let is_up = |machine: &&Machine| machine.state == MachineState::Up;
        self.machines.values().filter(is_up).count()
    }

    /// Returns the numbers of task attempts that may be on machines.
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

    /// Returns the number of starts that the last forecast simulated, which its cost depends on.
    pub fn forecast_starts(&self) -> usize {
        self.autoscaler.last_forecast_starts()
    }

    /// Returns the task counts of each open job with a running or completed task.
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

    /// Returns the task counts of a job; zero if the job is unknown.
    pub fn task_counts_of(&self, id: &JobId) -> TaskCounts {
        let job = self.jobs.get(id);
        job.map_or(TaskCounts::default(), |job| TaskCounts {
            completed: job.completed().count(),
            running: job.running_count(),
        })
    }
}
