//! Stopping tasks to make room, as far as the protocol allows it: for a job of higher priority, or
//! to give a team its guarantee at the cost of work that another team runs beyond its own.

use crate::coordination::attempts::task_attempt::{StopRequest, TaskAttempt};
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::Machine;
use crate::coordination::placement::{Pass, UnplacedTasks};
use crate::coordination::Scheduler;
use crate::ids::{AttemptKey, JobId, MachineId};
use crate::resources::Resources;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// Machines emptied in one look, and one more for each so many that there are: the effect of the
/// first is seen before the next.
const MOST_AT_ONCE: usize = 2;
const MACHINES_PER_EXTRA: usize = 100;
/// Ways to make room are looked for this often, for so many jobs at a time.
const LOOK_EVERY: TimeSpan = TimeSpan(200);
const MOST_JOBS: usize = 24;
/// A machine emptied for a job is kept for it this long.
const KEPT: TimeSpan = TimeSpan(20_000);
/// A fetch that takes fewer seconds than this is no reason to stop other work.
const WORTH_EMPTYING_S: f64 = 8.0;
/// Seconds that stopping a task costs beyond saving, if it has only just started: its start was in
/// vain then.
const RECENT_START_COST_S: f64 = 20.0;
const RECENT_START: TimeSpan = TimeSpan(30_000);

/// The tasks to be stopped on one machine to make room, and what that costs.
struct Eviction {
    cost_s: f64,
    machine_id: MachineId,
    victims: Vec<(AttemptKey, f64)>,
}

impl Scheduler {
    /// Makes room for waiting jobs that would otherwise start too late.
    pub(crate) fn preempt(&mut self, now: Instant, unplaced: &[UnplacedTasks]) {
        if unplaced.is_empty() || now - self.placement.last_preemption_at < LOOK_EVERY {
            return;
        }
        self.placement.last_preemption_at = now;
        let inside = self.guaranteed();
        let mut emptied = 0;
        let most = MOST_AT_ONCE + self.machines.len() / MACHINES_PER_EXTRA;
        let mut looked = 0;
        for u in unplaced {
            if emptied >= most || looked >= MOST_JOBS {
                return;
            }
            if !self.may_preempt(&u.job, &inside) || !self.too_late_to_rent(now, &u.job) {
                continue;
            }
            looked += 1;
            let Some(evictions) = self.evictions(now, &u.job, u.count, &inside) else {
                continue;
            };
            for eviction in evictions {
                self.evict(now, &u.job, eviction);
                emptied += 1;
            }
        }
    }

    /// The machines to be emptied for a job: one at a time, but for a gang as many as it needs at
    /// once, for fewer would not help. None: enough are being emptied, or there are not enough.
    fn evictions(
        &self,
        now: Instant,
        id: &JobId,
        count: u32,
        inside: &BTreeSet<JobId>,
    ) -> Option<Vec<Eviction>> {
        let job = self.jobs.get(id)?;
        let request = Resources::of(&job.spec);
        let kept = |m: &Machine| {
            let kept = m.reservation.as_ref().filter(|(_, t)| now < *t);
            kept.map(|(j, _)| j == id)
        };
        // What is free already, or is being made free.
        let there = self
            .machines
            .values()
            .filter(|m| match kept(m) {
                Some(mine) => mine,
                None => request.fits(&m.free) && Self::allows(&job.spec, m) && self.usable(m, now),
            })
            .count() as u32;
        let wanted = if job.is_all_or_nothing() {
            count.saturating_sub(there)
        } else {
            1u32.saturating_sub(there)
        };
        if wanted == 0 {
            return None;
        }
        let mut evictions: Vec<Eviction> = self
            .machines
            .values()
            .filter_map(|m| self.eviction(now, m, id, inside))
            .collect();
        if (evictions.len() as u32) < wanted {
            return None;
        }
        evictions.sort_by(|a, b| {
            a.cost_s
                .total_cmp(&b.cost_s)
                .then_with(|| a.machine_id.cmp(&b.machine_id))
        });
        evictions.truncate(wanted as usize);
        Some(evictions)
    }

    /// Whether a job leaves the room there is, because machines that have its image can be had sooner than
    /// the image can be fetched, at the cost of less urgent work.
    ///
    /// Guards against large jobs that fetch their image again and again while it is at hand: on the recorded
    /// day 0a7c a team without a guarantee filled every machine that had come free, and the part of starts
    /// that found their image there fell from a half to a tenth.
    pub(crate) fn takes_machines_with_image(
        &mut self,
        now: Instant,
        id: &JobId,
        pass: &mut Pass,
    ) -> bool {
        if pass.favoured.contains(id) && self.is_being_made_room_for(now, id) {
            return true;
        }
        if pass.looked_for_image >= MOST_JOBS {
            return false;
        }
        pass.looked_for_image += 1;
        let Some(evictions) = self.evictions_for_image(now, id) else {
            return false;
        };
        for eviction in evictions {
            self.evict(now, id, eviction);
        }
        true
    }

    /// Whether machines with the job's image are being emptied for it.
    fn is_being_made_room_for(&self, now: Instant, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let mut kept = self.machines.values().filter(|m| {
            let reservation = m.reservation.as_ref();
            reservation.is_some_and(|(j, until)| j == id && now < *until)
        });
        kept.any(|m| {
            m.has_image(&job.spec.image)
                && self.usable(m, now)
                && m.live_attempts().any(|s| s.stop.is_some())
        })
    }

    /// The machines with the job's image to be emptied for it, if that gains time: all that it needs, or none.
    fn evictions_for_image(&self, now: Instant, id: &JobId) -> Option<Vec<Eviction>> {
        let job = self.jobs.get(id)?;
        let spec = &job.spec;
        let fetch_s = self.shortest_fetch_s(spec);
        // A job that has failed may be mistaken: nothing is stopped for it.
        if !self.bulk(spec) || fetch_s < WORTH_EMPTYING_S || !job.failed_on.is_empty() {
            return None;
        }
        let request = Resources::of(spec);
        let with_image = |m: &&Machine| m.has_image(&spec.image) && self.usable(m, now);
        let here = || self.machines.values().filter(with_image);
        let ready = |m: &&Machine| request.fits(&m.free) && Self::allows(spec, m);
        if here().any(|m| ready(&m)) {
            return None;
        }
        let wanted = job.pending.len();
        // Only less urgent work goes: nothing is inside a guarantee for this.
        let nobody = BTreeSet::new();
        let mut evictions: Vec<Eviction> = here()
            .filter_map(|m| self.eviction(now, m, id, &nobody))
            .filter(|eviction| {
                eviction
                    .victims
                    .iter()
                    .all(|(_, grace_s)| *grace_s < fetch_s / 2.0)
            })
            .collect();
        if evictions.len() < wanted {
            return None;
        }
        evictions.sort_by(|a, b| {
            a.cost_s
                .total_cmp(&b.cost_s)
                .then_with(|| a.machine_id.cmp(&b.machine_id))
        });
        evictions.truncate(wanted);
        Some(evictions)
    }

    /// Whether anything may be stopped for the job at all.
    fn may_preempt(&self, id: &JobId, inside: &BTreeSet<JobId>) -> bool {
        let priority = self.jobs.get(id).map(|j| self.urgency_of(id, &j.spec));
        let above = priority > self.least_urgent();
        above || inside.contains(id)
    }

    /// Whether the job would miss the time by which it should start if it waited for a rental.
    fn too_late_to_rent(&self, now: Instant, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let spec = &job.spec;
        let by_class = self.policy.started_within(&spec.class);
        let Some(within) = by_class else {
            return !self.autoscaler.may_scale_out_for(&self.view(now), spec);
        };
        let waited = (now - job.ready).secs();
        let request = Resources::of(spec);
        let rental = self
            .machines
            .types
            .values()
            .filter(|r| request.fits(&self.machines.capacity(&r.name)))
            .map(|r| r.boot_s)
            .fold(f64::INFINITY, f64::min);
        waited + rental > within || !self.autoscaler.may_scale_out_for(&self.view(now), spec)
    }

    fn eviction(
        &self,
        now: Instant,
        m: &Machine,
        id: &JobId,
        inside: &BTreeSet<JobId>,
    ) -> Option<Eviction> {
        let job = self.jobs.get(id)?;
        let spec = &job.spec;
        let request = Resources::of(spec);
        let free_to_use = self.usable(m, now)
            && Self::allows(spec, m)
            && request.fits(&self.machines.capacity(&m.machine_type))
            && self
                .autoscaler
                .warm_pool
                .get(&m.id)
                .is_none_or(|c| *c == spec.class)
            && m.reservation.as_ref().is_none_or(|(_, t)| now >= *t);
        if !free_to_use {
            return None;
        }
        let mut victims: Vec<(f64, &TaskAttempt, f64)> = m
            .attempts
            .values()
            .filter(|s| !s.ended())
            .filter_map(|s| {
                let other = self.jobs.get(&s.task.job)?;
                let may = s.stop.is_none() && self.may_stop(job, id, other, &s.task.job, inside);
                // All of a gang goes down with its member.
                let members = if other.is_all_or_nothing() {
                    f64::from(other.spec.tasks)
                } else {
                    1.0
                };
                let other = &other.spec;
                let save = other.checkpoint_s > 0.0;
                let ran = s.running_since.map_or(0.0, |t| (now - t).secs());
                let young = if now - s.since < RECENT_START {
                    RECENT_START_COST_S
                } else {
                    0.0
                };
                let cost = (young + if save { other.save_s } else { ran }) * members;
                let grace = if save { other.save_s + 2.0 } else { 0.0 };
                may.then_some((cost, s, grace))
            })
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut room = m.free;
        let mut chosen = Vec::new();
        let mut cost_s = self.wait_for_image(now, m, spec);
        for (cost, s, grace) in victims {
            if request.fits(&room) {
                break;
            }
            room.add(&s.request);
            cost_s += cost;
            chosen.push((s.key(), grace));
        }
        (request.fits(&room) && !chosen.is_empty()).then(|| Eviction {
            cost_s,
            machine_id: m.id.clone(),
            victims: chosen,
        })
    }

    fn may_stop(
        &self,
        job: &Job,
        id: &JobId,
        other: &Job,
        other_id: &JobId,
        inside: &BTreeSet<JobId>,
    ) -> bool {
        let priority = self.urgency_of(id, &job.spec);
        let other_urgency = self.urgency_of(other_id, &other.spec);
        if other_urgency < priority {
            return true;
        }
        let borrowed = || {
            let u = self.used_by(other.team);
            self.policy.team(other.team).is_some_and(|t| {
                (t.gpus > 0.0 && u.gpus > t.gpus) || (t.cpus > 0.0 && u.cpus > t.cpus)
            })
        };
        // Within a class the one would only be served at the other's cost: on a recorded day a gang
        // was stopped 16 s after its start for another of its own kind. Nor is what is more urgent
        // stopped, though the protocol allows it: on a calm day of the fleet a hundred tasks of
        // urgent gangs were stopped for single tasks, some gangs five times, while what ends by
        // itself every second had room for thousands.
        inside.contains(id)
            && other_urgency <= priority
            && other.spec.class != job.spec.class
            && other.team != job.team
            && !inside.contains(other_id)
            && borrowed()
    }

    fn evict(&mut self, now: Instant, id: &JobId, eviction: Eviction) {
        tracing::debug!(job = %id, machine = %eviction.machine_id, tasks = eviction.victims.len(), cost_s = eviction.cost_s, "making room");
        let Some(m) = self.machines.get_mut(&eviction.machine_id) else {
            return;
        };
        m.reservation = Some((id.clone(), now + KEPT));
        for (key, grace_s) in eviction.victims {
            if let Some(s) = m.attempts.get_mut(&key) {
                s.stop = Some(StopRequest {
                    grace_s,
                    pushed: false,
                });
            }
        }
        self.outbox
            .machines_to_review
            .insert(eviction.machine_id.clone());
        self.outbox.pushes_due.insert(eviction.machine_id);
    }
}
