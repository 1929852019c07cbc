//! What a leader has done and how far behind it was, added up and logged every ten seconds: a few numbers,
//! however many machines there are.

use crate::coordination::Effect;
use crate::protocol::workers::Command;
use crate::runtime::lock;
use crate::time::{Instant, TimeSpan};
use std::sync::Mutex;

/// Between two lines of the log.
const LOG_EVERY: TimeSpan = TimeSpan(10_000);

/// What has been counted since the last line.
#[derive(Debug, Default)]
struct Counts {
    since: Instant,
    answers: u32,
    launches: u32,
    stops: u32,
    commands: u32,
    writes: u32,
    longest_step: TimeSpan,
    longest_lag: TimeSpan,
    oldest_view: TimeSpan,
}

/// The activity of one leadership.
#[derive(Debug)]
pub struct Activity {
    counts: Mutex<Counts>,
}

impl Activity {
    /// Nothing counted yet.
    pub fn new(now: Instant) -> Activity {
        Activity {
            counts: Mutex::new(Counts::from(now)),
        }
    }

    /// A check-in was answered with these orders, on a view of the open jobs of that age.
    pub fn answered(&self, commands: &[Command], view_age: TimeSpan) {
        let mut counts = lock(&self.counts);
        counts.answers += 1;
        counts.oldest_view = counts.oldest_view.max(view_age);
        counts.add_orders(commands);
    }

    /// A step took so long, and began so much later than it was due.
    pub fn stepped(&self, effects: &[Effect], took: TimeSpan, lag: TimeSpan) {
        let mut counts = lock(&self.counts);
        counts.longest_step = counts.longest_step.max(took);
        counts.longest_lag = counts.longest_lag.max(lag);
        for effect in effects {
            match effect {
                Effect::Push { commands, .. } => {
                    counts.commands += 1;
                    counts.add_orders(commands);
                }
                Effect::Write { .. } => counts.writes += 1,
                _ => {}
            }
        }
    }

    /// Logs what has been counted, if it is time, and begins anew.
    pub fn log_if_due(&self, now: Instant) {
        let due = now - lock(&self.counts).since >= LOG_EVERY;
        if due {
            self.log(now);
        }
    }

    /// Logs what has been counted, and begins anew.
    pub fn log(&self, now: Instant) {
        let mut counts = lock(&self.counts);
        tracing::info!(
            for_ms = (now - counts.since).0,
            answers = counts.answers,
            launches = counts.launches,
            stops = counts.stops,
            commands = counts.commands,
            writes = counts.writes,
            longest_step_ms = counts.longest_step.0,
            longest_lag_ms = counts.longest_lag.0,
            oldest_view_ms = counts.oldest_view.0,
            "activity"
        );
        *counts = Counts::from(now);
    }
}

impl Counts {
    fn from(now: Instant) -> Counts {
        Counts {
            since: now,
            ..Counts::default()
        }
    }

    fn add_orders(&mut self, commands: &[Command]) {
        for order in commands {
            match order {
                Command::Launch { .. } => self.launches += 1,
                Command::Stop { .. } => self.stops += 1,
                Command::Clear { .. } => {}
            }
        }
    }
}
