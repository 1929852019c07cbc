//! Which starts should end: of closed jobs, of done tasks, on machines to be emptied, of gangs that are
//! broken. The orders that say so go out with check-ins and directly (`commands.rs`).

use crate::coordination::attempts::ledger::{RemovalProof, StopRequest, TaskAttempt};
use crate::coordination::machines::machine::Machine;
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, MachineId};
use crate::protocol::workers::{Command, TaskPhase};
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

impl Scheduler {
    /// Marks the starts that should end: of closed jobs, of done tasks, on machines to be emptied.
    /// Only on machines to which something has happened, and on each from time to time.
    pub(crate) fn stop_unwanted(&mut self, now: Instant) {
        for machine_id in std::mem::take(&mut self.outbox.machines_to_review) {
            self.review(now, &machine_id);
        }
        self.stop_broken_gangs(now);
    }

    /// Looks at one machine's starts with all that is known now.
    ///
    /// Guards against an answer that renews a lease without saying what is to stop: a new leader answered
    /// machines with tasks of jobs cancelled before its time, or one short of processor time answered
    /// between a cancellation and its next step; then nothing reached the machines any more, and the tasks
    /// outlived `cancel_s` (docs/incidents/production-size.md). So each check-in is answered after a review.
    pub(crate) fn review(&mut self, now: Instant, machine_id: &MachineId) {
        let silence = self.policy.heartbeat_timeout();
        let Some(m) = self.machines.get_mut(machine_id) else {
            return;
        };
        let recall = m.reclaim_at;
        let draining = m.draining;
        let silent = m.is_silent(now, silence) || m.is_unreachable();
        let mut dropped = Vec::new();
        let mut stopped = false;
        for s in m.attempts.iter_mut() {
            if s.ended() {
                continue;
            }
            let job = self.jobs.get(&s.task.job);
            let wanted = job.is_some_and(|j| j.needs_run(s.task.index));
            let leave = recall.is_some() || draining;
            // A start stopped before it was launched would wait for ever: neither launched nor
            // seen to end.
            if silent || s.stop.is_some() || !wanted || leave {
                if let Some(proof) = RemovalProof::never_launched(s) {
                    dropped.push((s.key(), proof));
                    continue;
                }
            }
            if wanted && !leave {
                continue;
            }
            if let Some(w) = &mut s.stop {
                // Saving for a user who has cancelled since is of no use to anybody.
                if !wanted && w.grace_s > 0.0 {
                    w.grace_s = 0.0;
                    w.pushed = false;
                    stopped = true;
                }
                continue;
            }
            let grace_s = match job {
                Some(j) if wanted && j.spec().checkpoint_s > 0.0 => {
                    let left = recall.map_or(f64::INFINITY, |t| (t - now).secs());
                    if left > j.spec().save_s {
                        j.spec().save_s + 2.0
                    } else {
                        0.0
                    }
                }
                _ => 0.0,
            };
            s.stop = Some(StopRequest {
                grace_s,
                pushed: false,
            });
            stopped = true;
            if job.is_some_and(|j| j.needs_gang_scheduling()) {
                self.outbox.gangs_to_check.insert(s.task.job.clone());
            }
        }
        if stopped {
            self.outbox.pushes_due.insert(machine_id.clone());
        }
        for (key, proof) in dropped {
            self.ledger().remove(now, machine_id, &key, proof);
        }
    }

    /// A gang of which a member is stopped or lost stops as a whole: its members would only wait
    /// for each other, and an orderly stop must reach all of them within `gang_peer_s`.
    fn stop_broken_gangs(&mut self, now: Instant) {
        let lease = TimeSpan::from_secs(self.policy.facts.workers.lease_s);
        let mut waiting = BTreeSet::new();
        for id in std::mem::take(&mut self.outbox.gangs_to_check) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.is_closed() || !job.needs_gang_scheduling() || job.placements().is_empty() {
                continue;
            }
            let machine_ids: BTreeSet<MachineId> =
                job.placements().values().flatten().cloned().collect();
            let stops = |m: &Machine| {
                m.live_attempts()
                    .any(|s| s.task.job == id && s.stop.is_some())
            };
            let stopping = machine_ids
                .iter()
                .any(|h| self.machines.get(h).is_some_and(stops));
            if !stopping && job.pending().is_empty() {
                continue;
            }
            // Guards against a fetch given up when it was nearly done: a member that had its image
            // sooner gave up waiting, and with it went the fetch of the other, again and again. The
            // others are stopped, which they are at once, when they have theirs too.
            let fetches = |m: &Machine| {
                m.live_attempts().any(|s| {
                    let last_status = s.last_status.map(|x| x.phase);
                    s.task.job == id && last_status == Some(TaskPhase::Fetching)
                })
            };
            let fetching = machine_ids
                .iter()
                .any(|h| self.machines.get(h).is_some_and(fetches));
            if job.gang_attempt_failed() && !stopping && fetching {
                waiting.insert(id);
                continue;
            }
            let again = job.gang_attempt_failed();
            let grace_s = if job.pending().is_empty() {
                job.spec().save_s + 2.0
            } else {
                0.0
            };
            for machine_id in machine_ids {
                let Some(m) = self.machines.get_mut(&machine_id) else {
                    continue;
                };
                if again {
                    m.reserve_for(id.clone(), now + lease);
                }
                for s in m.attempts.iter_mut() {
                    if s.task.job == id && !s.ended() && s.stop.is_none() {
                        s.stop = Some(StopRequest {
                            grace_s,
                            pushed: false,
                        });
                    }
                }
                self.outbox.machines_to_review.insert(machine_id.clone());
                self.outbox.pushes_due.insert(machine_id);
            }
        }
        self.outbox.gangs_to_check = waiting;
    }

    /// A direct command went unanswered: what it should have stopped is told again. Check-ins tell it
    /// too, but from a machine that reaches no controller none comes. One that was not heard of at all
    /// lately is left alone: a zone beyond a cut would take the connections of all others.
    pub(crate) fn stop_again(&mut self, now: Instant, machine_id: &MachineId) {
        let silence = self.policy.heartbeat_timeout();
        let near = |m: &&mut Machine| m.last_message_at.is_some_and(|h| now - h <= silence);
        if let Some(m) = self.machines.get_mut(machine_id).filter(near) {
            for w in m.attempts.iter_mut().filter_map(|s| s.stop.as_mut()) {
                w.pushed = false;
            }
        }
    }

    /// An attempt is to be stopped, for work of higher priority.
    pub(crate) fn request_stop(&mut self, machine_id: &MachineId, key: &AttemptKey, grace_s: f64) {
        if let Some(attempt) = self.ledger().get_mut(machine_id, key) {
            attempt.stop = Some(StopRequest {
                grace_s,
                pushed: false,
            });
        }
    }

    pub(crate) fn stop_command(s: &TaskAttempt, now: Instant) -> Option<Command> {
        let wish = s.stop?;
        let saving = s.last_status.filter(|x| x.phase == TaskPhase::Saving);
        let grace_s = match saving {
            Some(x) if (now - x.since).secs() <= wish.grace_s => return None,
            Some(_) => 0.0,
            None => wish.grace_s,
        };
        Some(Command::Stop {
            task: s.task.clone(),
            attempt_id: s.attempt_id,
            grace_s,
        })
    }
}
