//! Counters of a leader's activity and delays, logged every ten seconds: the size of the log doesn't depend on
//! the number of machines.

use crate::coordination::Effect;
use crate::protocol::workers::Command;
use crate::runtime::lock;
use crate::time::{Instant, TimeSpan};
use std::sync::Mutex;

/// Interval between two activity log lines.
const LOG_INTERVAL: TimeSpan = TimeSpan(10_000);

/// The counters since the last activity log line.
#[derive(Debug, Default)]
struct Counts {
    period_start: Instant,
    heartbeats: u32,
    launches: u32,
    stops: u32,
    pushes: u32,
    writes: u32,
    longest_step: TimeSpan,
    longest_lag: TimeSpan,
    oldest_view: TimeSpan,
}

/// The activity counters of one leadership term.
#[derive(Debug)]
pub struct Activity {
    counts: Mutex<Counts>,
}

impl Activity {
    /// Creates counters at zero for a period that starts at `now`.
    pub fn new(now: Instant) -> Activity {
        Activity {
            counts: Mutex::new(Counts::starting_at(now)),
        }
    }

    /// Records a heartbeat that was answered with `commands`, based on a view of the open jobs of age
    /// `view_age`.
    pub fn heartbeat_answered(&self, commands: &[Command], view_age: TimeSpan) {
        let mut counts = lock(&self.counts);
        counts.heartbeats += 1;
        counts.oldest_view = counts.oldest_view.max(view_age);
        counts.add_commands(commands);
    }

    /// Records a step that issued `effects`, took `duration` and started `lag` after it was due.
    pub fn step_finished(&self, effects: &[Effect], duration: TimeSpan, lag: TimeSpan) {
        let mut counts = lock(&self.counts);
        counts.longest_step = counts.longest_step.max(duration);
        counts.longest_lag = counts.longest_lag.max(lag);
        for effect in effects {
            match effect {
                Effect::Push { commands, .. } => {
                    counts.pushes += 1;
                    counts.add_commands(commands);
                }
                Effect::Write { .. } => counts.writes += 1,
                _ => {}
            }
        }
    }

    /// Logs and resets the counters if the log interval has passed.
    pub fn log_if_due(&self, now: Instant) {
        let due = now - lock(&self.counts).period_start >= LOG_INTERVAL;
        if due {
            self.log(now);
        }
    }

    /// Logs and resets the counters.
    pub fn log(&self, now: Instant) {
        let mut counts = lock(&self.counts);
        tracing::info!(
            period_ms = (now - counts.period_start).0,
            heartbeats = counts.heartbeats,
            launches = counts.launches,
            stops = counts.stops,
            pushes = counts.pushes,
            writes = counts.writes,
            longest_step_ms = counts.longest_step.0,
            longest_lag_ms = counts.longest_lag.0,
            oldest_view_ms = counts.oldest_view.0,
            "leader activity"
        );
        *counts = Counts::starting_at(now);
    }
}

impl Counts {
    fn starting_at(now: Instant) -> Counts {
        Counts {
            period_start: now,
            ..Counts::default()
        }
    }

    fn add_commands(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Launch { .. } => self.launches += 1,
                Command::Stop { .. } => self.stops += 1,
                Command::Clear { .. } => {}
            }
        }
    }
}
