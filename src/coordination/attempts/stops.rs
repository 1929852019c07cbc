//! Which attempts are to be stopped: those of closed jobs and of completed tasks, and those on machines that
//! are drained or reclaimed. The commands that say so go out with heartbeats and as pushes (`commands`,
//! `pushes`).

use crate::coordination::attempts::ledger::{RemovalProof, StopRequest, TaskAttempt};
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::Machine;
use crate::coordination::placement::start_check::check_planned_start;
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, MachineId};
use crate::protocol::workers::{Command, TaskPhase};
use crate::time::Instant;

/// Seconds that a task is given beyond those that it takes to save its progress.
pub(super) const SAVE_MARGIN_SECS: f64 = 2.0;

/// What becomes of an attempt when its machine is reviewed.
enum Verdict {
    Keep,
    /// It was never launched and is not to be.
    Remove(RemovalProof),
    /// It is to be stopped, and is given so many seconds to save its progress.
    Stop {
        grace_s: f64,
    },
    /// It is being stopped, and need not save its progress any more.
    StopAtOnce,
}

/// What a review goes by, beside an attempt and its job.
struct Review {
    now: Instant,
    /// When the cloud takes the machine away.
    reclaim_at: Option<Instant>,
    is_draining: bool,
    /// It does not report, or does not hear us.
    is_out_of_contact: bool,
}

impl Review {
    fn of(machine: &Machine, now: Instant, is_silent: bool) -> Review {
        Review {
            now,
            reclaim_at: machine.reclaim_at,
            is_draining: machine.draining,
            is_out_of_contact: is_silent || machine.is_unreachable(),
        }
    }

    fn judge(&self, attempt: &TaskAttempt, job: Option<&Job>) -> Verdict {
        let is_wanted = job.is_some_and(|job| job.needs_run(attempt.task.index));
        let must_leave = self.reclaim_at.is_some() || self.is_draining;
        // An attempt stopped before it was launched would wait for ever: neither launched nor seen to end.
        if self.is_out_of_contact || attempt.stop.is_some() || !is_wanted || must_leave {
            if let Some(proof) = RemovalProof::never_launched(attempt) {
                return Verdict::Remove(proof);
            }
        }
        if is_wanted && !must_leave {
            return Verdict::Keep;
        }
        match attempt.stop {
            // Saving for a user who has cancelled since is of no use to anybody.
            Some(request) if !is_wanted && request.grace_s > 0.0 => Verdict::StopAtOnce,
            Some(_) => Verdict::Keep,
            None => Verdict::Stop {
                grace_s: self.grace_s(job.filter(|_| is_wanted)),
            },
        }
    }

    /// Seconds to save progress, if the job still wants the task, does save, and there is time for it.
    fn grace_s(&self, job: Option<&Job>) -> f64 {
        let Some(spec) = job
            .map(Job::spec)
            .filter(|spec| spec.checkpoint_interval_s > 0.0)
        else {
            return 0.0;
        };
        let until_reclaimed_s = self
            .reclaim_at
            .map_or(f64::INFINITY, |at| (at - self.now).secs());
        if until_reclaimed_s > spec.checkpoint_duration_s {
            spec.checkpoint_duration_s + SAVE_MARGIN_SECS
        } else {
            0.0
        }
    }
}

impl Scheduler {
    /// Requests the stops that are due: on machines to which something has happened, and on each from time to
    /// time.
    pub(crate) fn stop_unwanted_attempts(&mut self, now: Instant) {
        for machine_id in std::mem::take(&mut self.outbox.machines_to_review) {
            self.review(now, &machine_id);
        }
        self.stop_broken_gangs(now);
    }

    /// Looks at one machine's attempts with all that is known now.
    ///
    /// Guards against an answer that renews a lease without saying what is to stop: a new leader answered
    /// machines with tasks of jobs cancelled before its time, or one short of processor time answered
    /// between a cancellation and its next step; then nothing reached the machines any more, and the tasks
    /// outlived `cancel_s` (docs/incidents/production-size.md). So each heartbeat is answered after a review.
    pub(crate) fn review(&mut self, now: Instant, machine_id: &MachineId) {
        let max_silence = self.policy.heartbeat_timeout();
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let review = Review::of(machine, now, machine.is_silent(now, max_silence));
        let mut never_launched = Vec::new();
        let mut has_stops_to_push = false;
        for attempt in machine.attempts.iter_mut() {
            if attempt.has_ended() {
                continue;
            }
            let job = self.jobs.get(&attempt.task.job);
            match review.judge(attempt, job) {
                Verdict::Keep => {}
                Verdict::Remove(proof) => never_launched.push((attempt.key(), proof)),
                Verdict::StopAtOnce => {
                    attempt.stop = Some(StopRequest::new(0.0));
                    has_stops_to_push = true;
                }
                Verdict::Stop { grace_s } => {
                    attempt.stop = Some(StopRequest::new(grace_s));
                    has_stops_to_push = true;
                    if job.is_some_and(Job::needs_gang_scheduling) {
                        let job_id = attempt.task.job.clone();
                        self.outbox.gangs_to_check.insert(job_id);
                    }
                }
            }
        }
        if has_stops_to_push {
            self.outbox.pushes_due.insert(machine_id.clone());
        }
        never_launched.extend(self.denied_launches(machine_id));
        for (key, proof) in never_launched {
            self.ledger().remove(now, machine_id, &key, proof);
        }
    }

    /// Planned attempts on the machine that may not start there any more, given what is known of the other tasks
    /// of their jobs by now. They were allowed when they were planned, so each is reported.
    fn denied_launches(&mut self, machine_id: &MachineId) -> Vec<(AttemptKey, RemovalProof)> {
        let Some(machine) = self.machines.get(machine_id) else {
            return Vec::new();
        };
        let mut denied = Vec::new();
        for attempt in machine.live_attempts() {
            let Some(proof) = RemovalProof::never_launched(attempt) else {
                continue;
            };
            let Some(job) = self.jobs.get(&attempt.task.job) else {
                continue;
            };
            if let Err(denial) = check_planned_start(job, machine) {
                tracing::error!(task = %attempt.task, machine = %machine_id, zone = %machine.zone, %denial, "launch denied");
                denied.push((attempt.key(), proof));
            }
        }
        self.denied_launch_count += denied.len() as u64;
        denied
    }

    /// A push went unanswered: what it should have stopped is told again. Heartbeats tell it
    /// too, but from a machine that reaches no controller none comes. One that was not heard of at all
    /// lately is left alone: a zone beyond a cut would take the connections of all others.
    pub(crate) fn stop_again(&mut self, now: Instant, machine_id: &MachineId) {
        let max_silence = self.policy.heartbeat_timeout();
        let machine = self.machines.get_mut(machine_id);
        let heard_lately = machine.filter(|machine| {
            let last_message_at = machine.last_message_at;
            last_message_at.is_some_and(|at| now - at <= max_silence)
        });
        let Some(machine) = heard_lately else {
            return;
        };
        let attempts = machine.attempts.iter_mut();
        for request in attempts.filter_map(|attempt| attempt.stop.as_mut()) {
            request.pushed = false;
        }
    }

    /// An attempt is to be stopped, for work of higher priority.
    pub(crate) fn request_stop(&mut self, machine_id: &MachineId, key: &AttemptKey, grace_s: f64) {
        if let Some(attempt) = self.ledger().get_mut(machine_id, key) {
            attempt.stop = Some(StopRequest::new(grace_s));
        }
    }

    /// The command that stops an attempt, if its stop was requested. None while it saves its progress in the time
    /// that it was given; after that it is stopped at once.
    pub(crate) fn stop_command(attempt: &TaskAttempt, now: Instant) -> Option<Command> {
        let request = attempt.stop?;
        let status = attempt.last_status;
        let grace_s = match status.filter(|status| status.phase == TaskPhase::Saving) {
            Some(saving) if (now - saving.since).secs() <= request.grace_s => return None,
            Some(_) => 0.0,
            None => request.grace_s,
        };
        Some(Command::Stop {
            task: attempt.task.clone(),
            attempt_id: attempt.attempt_id,
            grace_s,
        })
    }
}
