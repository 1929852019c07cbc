//! The submitted jobs and the actual behavior of their tasks.

use chalklug::ids::{JobId, TaskId};
use chalklug::protocol::users::{JobSpec, Shape};
use std::collections::BTreeMap;

/// How the tasks of a job behave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskBehavior {
    /// The tasks complete after this run time.
    RunsForSecs(f64),
    /// The tasks fail shortly after their start, on every machine.
    FailsEverywhere,
}

/// Progress that a task has saved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SavedProgress {
    /// A checkpoint, with the remaining run time.
    RemainingSecs(f64),
    /// The result; a later attempt is done as soon as its image is fetched.
    Completed,
}

/// All submitted jobs.
#[derive(Default)]
pub struct Workload {
    pub specs: BTreeMap<JobId, JobSpec>,
    behaviors: BTreeMap<JobId, TaskBehavior>,
    progress: BTreeMap<TaskId, SavedProgress>,
}

impl Workload {
    /// Adds a submitted job.
    pub fn add(&mut self, spec: JobSpec, behavior: TaskBehavior) {
        self.behaviors.insert(spec.id.clone(), behavior);
        self.specs.insert(spec.id.clone(), spec);
    }

    pub fn spec(&self, id: &JobId) -> &JobSpec {
        &self.specs[id]
    }

    pub fn behavior(&self, id: &JobId) -> TaskBehavior {
        self.behaviors[id]
    }

    /// Returns the progress that the task has saved, if any.
    pub fn saved_progress(&self, task: &TaskId) -> Option<SavedProgress> {
        self.progress.get(task).copied()
    }

    /// Records a checkpoint of the task.
    pub fn save_checkpoint(&mut self, task: &TaskId, remaining_secs: f64) {
        let saved = SavedProgress::RemainingSecs(remaining_secs);
        self.progress.insert(task.clone(), saved);
    }

    /// Records the result of the task; a gang completes as a whole.
    pub fn complete(&mut self, task: &TaskId) {
        let spec = &self.specs[&task.job];
        let completed = match spec.shape {
            Shape::Gang => 0..spec.tasks,
            _ => task.index..task.index + 1,
        };
        for index in completed {
            let job = task.job.clone();
            let task = TaskId { job, index };
            self.progress.insert(task, SavedProgress::Completed);
        }
    }
}
