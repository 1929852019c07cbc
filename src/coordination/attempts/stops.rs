//! Decides which attempts to stop: those of closed jobs and completed tasks, and those on machines that are
//! drained or reclaimed. Heartbeat responses and pushes carry the stops (`commands`, `pushes`).

use crate::coordination::attempts::ledger::{RemovalProof, StopRequest, TaskAttempt};
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::Machine;
use crate::coordination::placement::start_check::check_planned_start;
use crate::coordination::{Policy, Scheduler};
use crate::ids::{AttemptKey, MachineId};
use crate::protocol::users::JobSpec;
use crate::protocol::workers::{Command, TaskPhase};
use crate::time::Instant;

/// Seconds by which a stop's grace period exceeds the time that a task needs to save a checkpoint.
const CHECKPOINT_MARGIN_SECS: f64 = 2.0;

/// Returns the seconds that a task of the job gets to save a checkpoint when it is stopped; 0 if it saves none, or if that
/// takes longer than the work that it saves. `max_s` is the longest time that the task may still occupy its machine.
///
/// Guards against tasks that keep their machine and never go on because their job states a mistaken time.
pub(crate) fn checkpoint_grace_s(spec: &JobSpec, max_s: f64) -> f64 {
    let duration_s = spec.checkpoint_duration_s;
    // A task that is stopped at once repeats at most the work of one interval.
    let is_worth_saving =
        spec.checkpoint_interval_s > 0.0 && duration_s <= spec.checkpoint_interval_s;
    if is_worth_saving && duration_s < max_s {
        duration_s + CHECKPOINT_MARGIN_SECS
    } else {
        0.0
    }
}

/// What to do with an attempt when its machine is reviewed.
enum ReviewAction {
    Keep,
    /// Remove the attempt, which was never launched and is not needed.
    Remove(RemovalProof),
    /// Stop the attempt, with `grace_s` seconds to save a checkpoint.
    Stop {
        grace_s: f64,
    },
    /// Stop the attempt at once, although it was given time to save a checkpoint.
    StopAtOnce,
}

/// The state of a machine that a review of its attempts depends on.
struct Review {
    now: Instant,
    /// The longest time, in seconds, that a stopped task gets to save a checkpoint.
    max_grace_s: f64,
    /// When the cloud reclaims the machine.
    reclaim_at: Option<Instant>,
    is_draining: bool,
    /// Whether the machine is suspected or unreachable.
    is_unresponsive: bool,
}

impl Review {
    fn of(machine: &Machine, policy: &Policy, now: Instant, is_silent: bool) -> Review {
        Review {
            now,
            max_grace_s: policy.max_checkpoint_grace_s(),
            reclaim_at: machine.reclaim_at,
            is_draining: machine.draining,
            is_unresponsive: is_silent || machine.is_unreachable(),
        }
    }

    fn action_for(&self, attempt: &TaskAttempt, job: Option<&Job>) -> ReviewAction {
        let is_needed = job.is_some_and(|job| job.needs_run(attempt.task.index));
        let must_leave = self.reclaim_at.is_some() || self.is_draining;
        // A stop request on an attempt that was never launched would stay forever, because no worker reports
        // its end.
        if self.is_unresponsive || attempt.stop.is_some() || !is_needed || must_leave {
            if let Some(proof) = RemovalProof::never_launched(attempt) {
                return ReviewAction::Remove(proof);
            }
        }
        if is_needed && !must_leave {
            return ReviewAction::Keep;
        }
        match attempt.stop {
            // The job no longer needs the task, so it need not save a checkpoint either.
            Some(request) if !is_needed && request.grace_s > 0.0 => ReviewAction::StopAtOnce,
            Some(_) => ReviewAction::Keep,
            None => ReviewAction::Stop {
                grace_s: self.grace_s(job.filter(|_| is_needed)),
            },
        }
    }

    /// Returns the grace period of a stop in seconds: 0 if the job does not need the task or saves no checkpoints, or
    /// if the cloud reclaims the machine before a checkpoint can be complete.
    fn grace_s(&self, job: Option<&Job>) -> f64 {
        let until_reclaimed_s = self
            .reclaim_at
            .map_or(f64::INFINITY, |at| (at - self.now).secs());
        let max_s = until_reclaimed_s.min(self.max_grace_s);
        job.map_or(0.0, |job| checkpoint_grace_s(job.spec(), max_s))
    }
}

impl Scheduler {
    /// Requests the stops that are due on the machines queued for review, then those of incomplete gangs.
    pub(crate) fn stop_unwanted_attempts(&mut self, now: Instant) {
        for machine_id in std::mem::take(&mut self.work_queues.machines_to_review) {
            self.review_machine(now, &machine_id);
        }
        self.stop_broken_gangs(now);
    }

    /// Reviews the attempts on one machine: requests stops, and removes planned attempts that must not be
    /// launched.
    ///
    /// Guards against a heartbeat response that renews a lease without carrying the stops that are due. A new
    /// leader answered machines with tasks of jobs cancelled before its term, and a leader short of CPU time
    /// answered between a cancellation and its next step. The machines then became unreachable, and the tasks
    /// ran on past `cancel_s` (docs/incidents/production-size.md). So every heartbeat is answered after a
    /// review.
    pub(crate) fn review_machine(&mut self, now: Instant, machine_id: &MachineId) {
        let max_silence = self.policy.heartbeat_timeout();
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let is_silent = machine.is_silent(now, max_silence);
        let review = Review::of(machine, &self.policy, now, is_silent);
        let mut never_launched = Vec::new();
        let mut has_stops_to_push = false;
        for attempt in machine.attempts.iter_mut() {
            if attempt.has_ended() {
                continue;
            }
            let job = self.jobs.get(&attempt.task.job);
            match review.action_for(attempt, job) {
                ReviewAction::Keep => {}
                ReviewAction::Remove(proof) => never_launched.push((attempt.key(), proof)),
                ReviewAction::StopAtOnce => {
                    attempt.stop = Some(StopRequest::new(0.0));
                    has_stops_to_push = true;
                }
                ReviewAction::Stop { grace_s } => {
                    attempt.stop = Some(StopRequest::new(grace_s));
                    has_stops_to_push = true;
                    if job.is_some_and(Job::needs_gang_scheduling) {
                        let job_id = attempt.task.job.clone();
                        self.work_queues.gangs_to_check.insert(job_id);
                    }
                }
            }
        }
        if has_stops_to_push {
            self.work_queues.pushes_due.insert(machine_id.clone());
        }
        never_launched.extend(self.denied_launches(machine_id));
        for (key, proof) in never_launched {
            self.ledger().remove(now, machine_id, &key, proof);
        }
    }

    /// Returns the planned attempts on the machine that their jobs' constraints no longer allow, given where
    /// the other tasks of the jobs may be by now. They were allowed when planned, so each is logged as an
    /// error.
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

    /// Makes the machine's stops due for another push after a push without a response. Heartbeat responses
    /// repeat stops too, but not if the machine's heartbeats reach no controller. Skips a machine from which no
    /// recent message came: otherwise the machines of a partitioned zone would take all connections for pushes.
    pub(crate) fn resend_stops(&mut self, now: Instant, machine_id: &MachineId) {
        let max_silence = self.policy.heartbeat_timeout();
        let machine = self.machines.get_mut(machine_id);
        let active_machine = machine.filter(|machine| {
            let last_message_at = machine.last_message_at;
            last_message_at.is_some_and(|at| now - at <= max_silence)
        });
        let Some(machine) = active_machine else {
            return;
        };
        let attempts = machine.attempts.iter_mut();
        for request in attempts.filter_map(|attempt| attempt.stop.as_mut()) {
            request.pushed = false;
        }
    }

    /// Requests the stop of an attempt that is preempted by a job of higher priority.
    pub(crate) fn request_stop(&mut self, machine_id: &MachineId, key: &AttemptKey, grace_s: f64) {
        if let Some(attempt) = self.ledger().get_mut(machine_id, key) {
            attempt.stop = Some(StopRequest::new(grace_s));
        }
    }

    /// Returns the command that stops an attempt, if its stop was requested. Returns `None` while the attempt
    /// saves a checkpoint within its grace period; after that the command stops it at once.
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
