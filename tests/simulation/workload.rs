//! The jobs that users submitted, and how their tasks really behave.

use chalklug::ids::{JobId, TaskId};
use chalklug::protocol::users::{JobSpec, Shape};
use std::collections::BTreeMap;

/// How the tasks of a job behave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskBehavior {
    /// They complete after so many seconds.
    RunsForSecs(f64),
    /// They fail shortly after they begin, on every machine.
    FailsEverywhere,
}

/// What a task has saved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SavedProgress {
    /// A checkpoint: so much is left.
    RemainingSecs(f64),
    /// The result: a later attempt ends as done once it has its image.
    Completed,
}

/// All jobs ever submitted.
#[derive(Default)]
pub struct Workload {
    pub specs: BTreeMap<JobId, JobSpec>,
    behaviors: BTreeMap<JobId, TaskBehavior>,
    progress: BTreeMap<TaskId, SavedProgress>,
}

impl Workload {
    /// A job that is submitted.
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

    /// What the task has saved, if anything.
    pub fn saved_progress(&self, task: &TaskId) -> Option<SavedProgress> {
        self.progress.get(task).copied()
    }

    /// The task saves a checkpoint.
    pub fn save_checkpoint(&mut self, task: &TaskId, remaining_secs: f64) {
        let saved = SavedProgress::RemainingSecs(remaining_secs);
        self.progress.insert(task.clone(), saved);
    }

    /// The task's result is kept. A gang completes as a whole.
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
