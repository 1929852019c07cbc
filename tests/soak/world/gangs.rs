//! Gangs: the members of a gang attempt start and complete together, and end after a timeout if others are missing.

use super::{attempt_on, GangAttempt, Member, World};
use crate::task::{Phase, Task};
use chalklug::protocol::users::Shape;
use std::collections::BTreeMap;
use std::time::Instant;

impl World {
    fn gang_members(&self) -> BTreeMap<GangAttempt, Vec<Member>> {
        let mut gangs: BTreeMap<GangAttempt, Vec<_>> = BTreeMap::new();
        for (id, machine) in &self.machines {
            for (key, task) in &machine.tasks {
                let ((job, _), attempt_id) = key;
                let is_gang = self.jobs[job].spec.shape == Shape::Gang;
                if is_gang && task.is_on_machine() {
                    let gang = (job.clone(), *attempt_id);
                    let member = (id.clone(), key.clone());
                    gangs.entry(gang).or_default().push(member);
                }
            }
        }
        gangs
    }

    pub(super) fn advance_gangs(&mut self, now: Instant) {
        for (gang, members) in self.gang_members() {
            self.advance_gang(now, &gang, &members);
        }
    }

    fn advance_gang(&mut self, now: Instant, gang: &GangAttempt, members: &[Member]) {
        let size = self.jobs[&gang.0].spec.tasks as usize;
        let run_time = self.jobs[&gang.0].run_time;
        let mut counts = GangCounts::default();
        for (id, key) in members {
            let machine = &self.machines[id];
            counts.add(now, &machine.tasks[key], machine.is_suspended(now));
        }
        if counts.waiting == size {
            let running = Phase::Running {
                ends_at: Some(now + run_time),
            };
            self.set_phases(members, running);
        } else if counts.running == size {
            self.incomplete_since.remove(gang);
            if counts.finished == size {
                self.end_members(now, members, "done");
            }
        } else if counts.running > 0 {
            let since = *self.incomplete_since.entry(gang.clone()).or_insert(now);
            if now - since > self.times.gang_peer_timeout {
                self.end_members(now, members, "mates_gone");
            }
        } else {
            self.end_timed_out_waits(now, members);
        }
    }

    fn set_phases(&mut self, members: &[Member], phase: Phase) {
        for (id, key) in members {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.has_changes = true;
                machine
                    .tasks
                    .entry(key.clone())
                    .and_modify(|task| task.phase = phase);
            }
        }
    }

    /// Ends the members on machines that are not suspended.
    fn end_members(&mut self, now: Instant, members: &[Member], cause: &'static str) {
        if cause == "done" {
            for (_, key) in members {
                self.completed.insert(key.0.clone());
            }
        }
        for (id, key) in members {
            let Some(machine) = self.machines.get_mut(id).filter(|m| !m.is_suspended(now)) else {
                continue;
            };
            machine.has_changes = true;
            if let Some(task) = machine.tasks.get_mut(key) {
                task.end(cause, false);
            }
            let attempt = attempt_on(id, key);
            match cause {
                "done" => self.checker.task_completed(&attempt),
                _ => self.checker.task_ended(&attempt),
            }
        }
    }

    fn end_timed_out_waits(&mut self, now: Instant, members: &[Member]) {
        let gang_wait_timeout = self.times.gang_wait_timeout;
        let has_timed_out = |(id, key): &&Member| {
            let task = &self.machines[id].tasks[key];
            matches!(task.phase, Phase::Waiting { since } if now - since > gang_wait_timeout)
        };
        let timed_out: Vec<_> = members.iter().filter(has_timed_out).cloned().collect();
        self.end_members(now, &timed_out, "incomplete");
    }
}

/// Counts the members of a gang attempt that are on responsive machines.
#[derive(Default)]
struct GangCounts {
    waiting: usize,
    running: usize,
    finished: usize,
}

impl GangCounts {
    fn add(&mut self, now: Instant, task: &Task, is_suspended: bool) {
        if is_suspended {
            return;
        }
        match task.phase {
            Phase::Waiting { .. } => self.waiting += 1,
            Phase::Running { ends_at } => {
                self.running += 1;
                self.finished += usize::from(ends_at.is_some_and(|at| at <= now));
            }
            _ => {}
        }
    }
}
