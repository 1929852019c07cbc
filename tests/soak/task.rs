//! A task attempt on a fake worker.

use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// The phase of a task attempt.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    Fetching { ready_at: Instant },
    Waiting { since: Instant },
    Running { ends_at: Option<Instant> },
    Saving { until: Instant },
    Ended { cause: &'static str, saved: bool },
}

/// A task attempt that the worker lists in its status.
pub struct Task {
    pub phase: Phase,
}

impl Task {
    /// Returns an attempt whose image is fetched until the given time.
    pub fn fetching(ready_at: Instant) -> Task {
        Task {
            phase: Phase::Fetching { ready_at },
        }
    }

    /// Returns an attempt that the worker refused to start.
    pub fn ended(cause: &'static str) -> Task {
        let saved = false;
        Task {
            phase: Phase::Ended { cause, saved },
        }
    }

    pub fn end(&mut self, cause: &'static str, saved: bool) {
        self.phase = Phase::Ended { cause, saved };
    }

    pub fn has_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    /// Returns whether the attempt has its image and has not ended.
    pub fn is_on_machine(&self) -> bool {
        !matches!(self.phase, Phase::Fetching { .. } | Phase::Ended { .. })
    }

    /// Returns whether the attempt is due for its next phase.
    pub fn is_due(&self, now: Instant) -> bool {
        match self.phase {
            Phase::Fetching { ready_at } => ready_at <= now,
            Phase::Running { ends_at } => ends_at.is_some_and(|at| at <= now),
            Phase::Saving { until } => until <= now,
            Phase::Waiting { .. } | Phase::Ended { .. } => false,
        }
    }

    /// Postpones the end of the current phase, because the machine is suspended.
    pub fn postpone(&mut self, duration: Duration) {
        match &mut self.phase {
            Phase::Fetching { ready_at: at }
            | Phase::Waiting { since: at }
            | Phase::Saving { until: at }
            | Phase::Running { ends_at: Some(at) } => *at += duration,
            Phase::Running { ends_at: None } | Phase::Ended { .. } => {}
        }
    }

    /// Returns the attempt's entry in the worker's status.
    pub fn status(&self, job: &str, index: u32, attempt_id: u64) -> Value {
        let piece = format!("{job}/{index}");
        let phase = match self.phase {
            Phase::Fetching { .. } => "pulling",
            Phase::Waiting { .. } => "waiting",
            Phase::Running { .. } => "running",
            Phase::Saving { .. } => "saving",
            Phase::Ended { cause, saved } => {
                return json!({"piece": piece, "try": attempt_id, "phase": "ended", "cause": cause,
                    "stored": saved})
            }
        };
        json!({"piece": piece, "try": attempt_id, "phase": phase})
    }
}
