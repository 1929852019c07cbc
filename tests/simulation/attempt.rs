//! Simulated task attempts, from the image fetch to the end.

use super::workload::{SavedProgress, TaskBehavior, Workload};
use chalklug::config::WorkerTimes;
use chalklug::ids::TaskId;
use chalklug::protocol::users::{JobSpec, Shape};
use chalklug::protocol::workers::{Cause, TaskPhase};
use chalklug::time::{Instant, TimeSpan};

/// Run time after which a task fails on a faulty machine.
const FAULTY_MACHINE_TIME_TO_FAILURE_SECS: f64 = 0.5;
/// Run time after which a task with `TaskBehavior::FailsEverywhere` fails.
const FAILING_TASK_TIME_TO_FAILURE_SECS: f64 = 0.2;

/// A task attempt as its worker tracks it.
pub struct Attempt {
    pub phase: TaskPhase,
    pub cause: Option<Cause>,
    /// Whether the attempt saved a checkpoint when it was stopped.
    pub checkpoint_saved: bool,
    /// When the current phase ends unless a command or a gang member ends it earlier.
    phase_ends_at: Instant,
    running_since: Instant,
    /// How long the attempt runs after its image fetch and gang wait.
    run_secs: f64,
    /// Whether an earlier attempt of the task has saved the result.
    completed_before: bool,
    fails_everywhere: bool,
}

impl Attempt {
    /// Creates an attempt whose image fetch takes `fetch`.
    pub fn launch(
        now: Instant,
        task: &TaskId,
        workload: &Workload,
        machine_faulty: bool,
        fetch: TimeSpan,
    ) -> Attempt {
        let behavior = workload.behavior(&task.job);
        let saved = workload.saved_progress(task);
        let run_secs = match (behavior, saved) {
            _ if machine_faulty => FAULTY_MACHINE_TIME_TO_FAILURE_SECS,
            (TaskBehavior::FailsEverywhere, _) => FAILING_TASK_TIME_TO_FAILURE_SECS,
            (_, Some(SavedProgress::RemainingSecs(remaining))) => remaining,
            (TaskBehavior::RunsForSecs(secs), _) => secs,
        };
        let fails_everywhere = behavior == TaskBehavior::FailsEverywhere;
        Attempt {
            phase: TaskPhase::Fetching,
            cause: None,
            checkpoint_saved: false,
            phase_ends_at: now + fetch,
            running_since: now,
            run_secs,
            completed_before: saved == Some(SavedProgress::Completed)
                && !machine_faulty
                && !fails_everywhere,
            fails_everywhere,
        }
    }

    pub fn has_ended(&self) -> bool {
        self.phase == TaskPhase::Ended
    }

    /// Whether the checker counts the attempt as a placement: its image is fetched and it hasn't ended.
    pub fn is_on_machine(&self) -> bool {
        !matches!(self.phase, TaskPhase::Fetching | TaskPhase::Ended)
    }

    pub fn end(&mut self, cause: Cause) {
        self.phase = TaskPhase::Ended;
        self.cause = Some(cause);
    }

    pub fn run(&mut self, now: Instant) {
        self.phase = TaskPhase::Running;
        self.running_since = now;
        self.phase_ends_at = now + TimeSpan::from_secs(self.run_secs);
    }

    /// Returns how long the attempt has been running.
    pub fn running_for(&self, now: Instant) -> TimeSpan {
        now - self.running_since
    }

    /// Stops the attempt. A running task with checkpoints saves one first if the grace period allows it.
    pub fn stop(&mut self, now: Instant, spec: &JobSpec, grace_secs: f64) {
        match self.phase {
            TaskPhase::Ended => {}
            TaskPhase::Running
                if spec.checkpoint_interval_s > 0.0 && grace_secs >= spec.checkpoint_duration_s =>
            {
                self.phase = TaskPhase::Saving;
                self.phase_ends_at = now + TimeSpan::from_secs(spec.checkpoint_duration_s);
            }
            TaskPhase::Saving if grace_secs > 0.0 => {}
            _ => self.end(Cause::Stopped),
        }
    }

    /// Whether the time of the current phase has elapsed.
    pub fn phase_elapsed(&self, now: Instant) -> bool {
        now >= self.phase_ends_at && !self.has_ended()
    }

    /// Advances to the next phase after the time of the current one has elapsed.
    pub fn advance_phase(
        &mut self,
        now: Instant,
        task: &TaskId,
        machine_faulty: bool,
        workload: &mut Workload,
        times: &WorkerTimes,
    ) {
        match self.phase {
            TaskPhase::Fetching => {
                if self.completed_before {
                    self.end(Cause::Done);
                } else if workload.spec(&task.job).shape == Shape::Gang {
                    self.phase = TaskPhase::Waiting;
                    self.phase_ends_at = now + TimeSpan::from_secs(times.gang_wait_timeout_s);
                } else {
                    self.run(now);
                }
            }
            TaskPhase::Waiting => self.end(Cause::Incomplete),
            TaskPhase::Running if machine_faulty || self.fails_everywhere => self.end(Cause::Error),
            TaskPhase::Running => {
                workload.complete(task);
                self.end(Cause::Done);
            }
            TaskPhase::Saving => {
                let ran_secs = self.running_for(now).secs();
                workload.save_checkpoint(task, (self.run_secs - ran_secs).max(0.0));
                self.checkpoint_saved = true;
                self.end(Cause::Stopped);
            }
            TaskPhase::Ended => {}
        }
    }
}
