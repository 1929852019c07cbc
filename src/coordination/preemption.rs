//! Stopping tasks to make room, as far as the protocol allows it: for a job of higher priority, or
//! to give a team its guarantee at the cost of work that another team runs beyond its own.

use super::placement::Unmet;
use super::Core;
use crate::bookkeeping::ledger::{Amount, Machine, Start, StopWish};
use crate::ids::{HostId, JobId, Millis, PieceId, Try};
use crate::protocol::users::JobSpec;
use std::collections::{BTreeMap, BTreeSet};

/// Machines emptied in one pass: the effect of the first is seen before the next.
const MOST_AT_ONCE: usize = 2;
/// A machine emptied for a job is kept for it this long.
const KEPT: Millis = Millis(20_000);
/// Seconds that stopping a task costs beyond saving, if it has only just started: its start was in
/// vain then.
const YOUNG_S: f64 = 20.0;
const YOUNG: Millis = Millis(30_000);

/// One way to make room.
struct Way {
    cost_s: f64,
    host: HostId,
    victims: Vec<(PieceId, Try, f64)>,
}

impl Core {
    /// Makes room for waiting jobs that would otherwise start too late.
    pub(crate) fn preempt(&mut self, now: Millis, unmet: &[Unmet]) {
        let inside = self.guaranteed();
        let used = self.usage();
        let mut emptied = 0;
        for u in unmet {
            if emptied >= MOST_AT_ONCE {
                return;
            }
            let kept = self
                .machines
                .values()
                .filter(|m| {
                    m.kept_for
                        .as_ref()
                        .is_some_and(|(j, t)| *j == u.job && now < *t)
                })
                .count();
            if kept > 0 || !self.too_late_to_rent(now, &u.job) {
                continue;
            }
            let way = self
                .machines
                .values()
                .filter_map(|m| self.way(now, m, &u.job, &inside, &used))
                .min_by(|a, b| {
                    a.cost_s
                        .total_cmp(&b.cost_s)
                        .then_with(|| a.host.cmp(&b.host))
                });
            if let Some(way) = way {
                self.go(now, &u.job, way);
                emptied += 1;
            }
        }
    }

    /// Whether the job would miss the time by which it should start if it waited for a rental.
    fn too_late_to_rent(&self, now: Millis, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let spec = &job.spec;
        let by_class = self.policy.started_within(&spec.class);
        let Some(within) = by_class else {
            return !self.may_rent(now, spec);
        };
        let waited = (now - job.submitted).secs();
        let need = Amount::of(spec);
        let rental = self
            .rigs
            .values()
            .filter(|r| need.fits(&self.capacity(&r.name)))
            .map(|r| r.boot_s)
            .fold(f64::INFINITY, f64::min);
        waited + rental > within || !self.may_rent(now, spec)
    }

    fn way(
        &self,
        now: Millis,
        m: &Machine,
        id: &JobId,
        inside: &BTreeSet<JobId>,
        used: &BTreeMap<String, Amount>,
    ) -> Option<Way> {
        let spec = &self.jobs.get(id)?.spec;
        let need = Amount::of(spec);
        let free_to_use = self.usable(m, now)
            && Self::allows(spec, m)
            && need.fits(&self.capacity(&m.rig))
            && self.reserved.get(&m.id).is_none_or(|c| *c == spec.class)
            && m.kept_for.as_ref().is_none_or(|(_, t)| now >= *t);
        if !free_to_use {
            return None;
        }
        let mut victims: Vec<(f64, &Start, f64)> = m
            .starts
            .values()
            .filter(|s| !s.ended())
            .filter_map(|s| {
                let other = &self.jobs.get(&s.piece.job)?.spec;
                let may =
                    s.stop.is_none() && self.may_stop(spec, id, other, &s.piece.job, inside, used);
                let save = other.checkpoint_s > 0.0;
                let ran = s.running_since.map_or(0.0, |t| (now - t).secs());
                let young = if now - s.since < YOUNG { YOUNG_S } else { 0.0 };
                let cost = young + if save { other.save_s } else { ran };
                let grace = if save { other.save_s + 2.0 } else { 0.0 };
                may.then_some((cost, s, grace))
            })
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut room = self.room_on(m);
        let mut chosen = Vec::new();
        let mut cost_s = self.wait_for_image(now, m, spec);
        for (cost, s, grace) in victims {
            if need.fits(&room) {
                break;
            }
            room.add(&Amount::of(&self.jobs.get(&s.piece.job)?.spec));
            cost_s += cost;
            chosen.push((s.piece.clone(), s.attempt, grace));
        }
        (need.fits(&room) && !chosen.is_empty()).then(|| Way {
            cost_s,
            host: m.id.clone(),
            victims: chosen,
        })
    }

    fn may_stop(
        &self,
        spec: &JobSpec,
        id: &JobId,
        other: &JobSpec,
        other_id: &JobId,
        inside: &BTreeSet<JobId>,
        used: &BTreeMap<String, Amount>,
    ) -> bool {
        if other.urgency < spec.urgency {
            return true;
        }
        let borrowed = || {
            let u = used.get(&other.team).copied().unwrap_or_default();
            self.policy.team(&other.team).is_some_and(|t| {
                (t.gpus > 0.0 && u.gpus > t.gpus) || (t.cpus > 0.0 && u.cpus > t.cpus)
            })
        };
        // Within a class the one would only be served at the other's cost: on a recorded day a gang
        // was stopped 16 s after its start for another of its own kind.
        inside.contains(id)
            && other.class != spec.class
            && other.team != spec.team
            && !inside.contains(other_id)
            && borrowed()
    }

    fn go(&mut self, now: Millis, id: &JobId, way: Way) {
        tracing::debug!(job = %id, host = %way.host, tasks = way.victims.len(), cost_s = way.cost_s, "making room");
        let Some(m) = self.machines.get_mut(&way.host) else {
            return;
        };
        m.kept_for = Some((id.clone(), now + KEPT));
        for (piece, attempt, grace_s) in way.victims {
            if let Some(s) = m.starts.get_mut(&(piece, attempt)) {
                s.stop = Some(StopWish {
                    grace_s,
                    sent_direct: false,
                });
            }
        }
    }
}
