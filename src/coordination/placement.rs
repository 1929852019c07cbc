//! Which task goes to which machine: Parrot's Algorithm 1. The queue is walked in topological
//! order; a task group is placed in one round, what does not fit in later ones; otherwise jobs
//! sharing an image go together, then to machines caching it, then alone. Among those, machines
//! that run tasks of the same label are preferred. Within one depth of the graph, work inside its
//! team's guarantee comes first, then priority, then the least slack.

use super::graph::Label;
use super::Core;
use crate::bookkeeping::ledger::{within, Amount, Job, Machine, Standing, Start};
use crate::ids::{HostId, JobId, Millis, PieceId, Site, Try};
use crate::protocol::users::{JobSpec, Shape, Urgency};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Run times seen against those guessed, for one class.
#[derive(Debug, Default, Clone, Copy, Serialize, Deserialize)]
pub struct Observed {
    ran_s: f64,
    guessed_s: f64,
    count: u32,
}

/// What is left to place after a pass, in queue order.
#[derive(Debug, Clone)]
pub struct Unmet {
    pub job: JobId,
    pub count: u32,
}

/// Seconds a machine with another label is worse by; all preferences are in seconds of waiting.
const OTHER_LABEL_S: f64 = 1.0;
/// Seconds an ordinary machine is worse by for a job that may use spot machines: it keeps ordinary
/// machines free for jobs that may not.
const ORDINARY_S: f64 = 2.0;
/// Seconds a whole empty machine is worse by than a full one: packs tasks, leaves whole machines.
const EMPTY_S: f64 = 3.0;
/// Machines a job has failed on are avoided up to this many; past it, it is the job that is bad.
const AVOID: usize = 3;

/// The tasks and room that a pass works with.
struct Pass {
    room: BTreeMap<HostId, Amount>,
    /// What teams use, and what is kept for jobs that their team's limit holds up.
    used: BTreeMap<String, Amount>,
}

impl Core {
    pub(crate) fn note_run_time(&mut self, now: Millis, host: &HostId, key: &(PieceId, Try)) {
        let Some(since) = self
            .machines
            .get(host)
            .and_then(|m| m.starts.get(key))
            .and_then(|s| s.running_since)
        else {
            return;
        };
        let Some(job) = self.jobs.get(&key.0.job) else {
            return;
        };
        if job.spec.guess_s <= 0.0 {
            return;
        }
        let o = self.observed.entry(job.spec.class.clone()).or_default();
        o.ran_s += (now - since).secs();
        o.guessed_s += job.spec.guess_s;
        o.count += 1;
        self.writer.hints_news = true;
    }

    /// How long a task of the job should run: the owner's guess, corrected by what was seen of its
    /// class once there is enough of it.
    pub(crate) fn estimate_s(&self, spec: &JobSpec) -> f64 {
        let factor = self
            .observed
            .get(&spec.class)
            .filter(|o| o.count >= 5 && o.guessed_s > 0.0)
            .map_or(1.0, |o| (o.ran_s / o.guessed_s).clamp(0.25, 4.0));
        spec.guess_s * factor
    }

    /// What each team uses: everything that may be on a machine, lingering starts included.
    pub(crate) fn usage(&self) -> BTreeMap<String, Amount> {
        let mut used: BTreeMap<String, Amount> = BTreeMap::new();
        for s in self.machines.values().flat_map(|m| m.starts.values()) {
            if s.ended() {
                continue;
            }
            if let Some(job) = self.jobs.get(&s.piece.job) {
                used.entry(job.spec.team.clone())
                    .or_default()
                    .add(&Amount::of(&job.spec));
            }
        }
        used
    }

    /// Whether a machine may be given new work at all.
    pub(crate) fn usable(&self, m: &Machine, now: Millis) -> bool {
        m.standing == Standing::Up
            && !m.drain
            && m.recall_at.is_none()
            && m.full_until <= now
            && !m.silent(now, self.policy.silence())
    }

    /// What is free on a machine.
    pub(crate) fn room_on(&self, m: &Machine) -> Amount {
        let mut room = self.capacity(&m.rig);
        for s in m.starts.values().filter(|s| !s.ended()) {
            match self.jobs.get(&s.piece.job) {
                Some(job) => room.sub(&Amount::of(&job.spec)),
                // Something of which we know nothing may take everything.
                None => return Amount::default(),
            }
        }
        room
    }

    /// Jobs that fit into their team's guarantee together with the team's earlier unfinished ones.
    pub(crate) fn guaranteed(&self) -> BTreeSet<JobId> {
        let mut order: Vec<(&JobId, &Job)> = self.jobs.iter().filter(|(_, j)| !j.over).collect();
        order.sort_by_key(|(id, j)| (j.submitted, (*id).clone()));
        let mut sums: BTreeMap<&str, Amount> = BTreeMap::new();
        let mut inside = BTreeSet::new();
        for (id, j) in order {
            let Some(team) = self.policy.team(&j.spec.team) else {
                continue;
            };
            let left = j.spec.pieces - j.done.count().min(j.spec.pieces);
            let sum = sums.entry(j.spec.team.as_str()).or_default();
            sum.add(&Amount::of(&j.spec).times(f64::from(left)));
            let any = team.cpus > 0.0 || team.gpus > 0.0;
            if any && within(sum.cpus, team.cpus) && within(sum.gpus, team.gpus) {
                inside.insert(id.clone());
            }
        }
        inside
    }

    /// The latest start that still meets an aim of the job, and which aim that is: the sooner ones
    /// come first, and one that can't be met any more gives way to the next. A job past all of them
    /// goes last; otherwise, when there is too much to do, jobs already late would make every other
    /// late as well.
    ///
    /// Within a team that has more to do than its limit allows at once, large jobs go by the
    /// shortest estimate: the limit is given back sooner, and more of them start in time.
    fn urgency_of(&self, id: &JobId, job: &Job, now: Millis, tight: bool) -> (u8, Millis) {
        let run = Millis::from_secs(self.estimate_s(&job.spec));
        let start = self.policy.started_within(&job.spec.class);
        let start_by = start.map(|s| job.submitted + Millis::from_secs(s));
        let finish_by = self.graph.pressing(id).map(|due| due - run);
        let mut aims: Vec<Millis> = start_by.into_iter().chain(finish_by).collect();
        aims.sort();
        match aims.iter().position(|t| *t >= now) {
            Some(at) if tight && self.bulk(&job.spec) => (at as u8, run),
            Some(at) => (at as u8, aims[at] - now),
            None => (aims.len() as u8, job.submitted - now),
        }
    }

    /// The largest part of any one machine type that a task takes: large ones are placed first,
    /// small ones fill what is left.
    pub(crate) fn bulk(&self, spec: &JobSpec) -> bool {
        let part = |need: f64, have: f64| if have > 0.0 { need / have } else { 0.0 };
        self.rigs
            .values()
            .filter(|r| spec.rigs.as_ref().is_none_or(|a| a.contains(&r.name)))
            .map(|r| part(spec.gpus, r.gpus).max(part(spec.cpus, r.cpus)))
            .filter(|p| *p <= 1.0)
            .fold(f64::INFINITY, f64::min)
            > 0.5
    }

    /// Teams whose unfinished work does not fit their limit all at once.
    fn tight_teams(&self) -> BTreeSet<&str> {
        let mut all: BTreeMap<&str, Amount> = BTreeMap::new();
        for j in self.jobs.values().filter(|j| !j.over) {
            let left = j.spec.pieces - j.done.count().min(j.spec.pieces);
            all.entry(j.spec.team.as_str())
                .or_default()
                .add(&Amount::of(&j.spec).times(f64::from(left)));
        }
        all.retain(|name, sum| {
            self.policy
                .team(name)
                .is_some_and(|t| !within(sum.cpus, t.cpus_max) || !within(sum.gpus, t.gpus_max))
        });
        all.into_keys().collect()
    }

    fn queue(&self, now: Millis) -> Vec<JobId> {
        let inside = self.guaranteed();
        let tight = self.tight_teams();
        let mut queue: Vec<_> = self
            .jobs
            .iter()
            .filter(|(id, j)| !j.over && !j.pending.is_empty() && self.graph.released(id))
            .filter(|(_, j)| j.not_before <= now)
            .map(|(id, j)| {
                let tight = tight.contains(j.spec.team.as_str());
                let urgency = self.urgency_of(id, j, now, tight);
                let rank = (
                    self.graph.depth(id),
                    !inside.contains(id),
                    Reverse::<Urgency>(j.spec.urgency),
                    self.graph.label(id),
                    urgency.0,
                    !self.bulk(&j.spec),
                    urgency.1,
                    j.submitted,
                );
                (rank, id.clone())
            })
            .collect();
        queue.sort();
        queue.into_iter().map(|(_, id)| id).collect()
    }

    /// One pass: places what fits and says what does not.
    pub(crate) fn place(&mut self, now: Millis) -> Vec<Unmet> {
        let queue = self.queue(now);
        if queue.is_empty() || self.rigs.is_empty() {
            return Vec::new();
        }
        let mut pass = Pass {
            room: self
                .machines
                .values()
                .filter(|m| self.usable(m, now))
                .map(|m| (m.id.clone(), self.room_on(m)))
                .collect(),
            used: self.usage(),
        };
        // A task group goes in one round: its members follow its first one at once.
        let mut seen = BTreeSet::new();
        let mut order = Vec::new();
        for id in &queue {
            for member in self.graph.group(id) {
                if queue.contains(&member) && seen.insert(member.clone()) {
                    order.push(member);
                }
            }
        }
        let mut unmet = Vec::new();
        for id in order {
            let left = self.place_job(now, &id, &mut pass);
            if left > 0 {
                unmet.push(Unmet {
                    job: id,
                    count: left,
                });
            }
        }
        unmet
    }

    /// How many more tasks the team's limit lets start.
    pub(crate) fn headroom(&self, spec: &JobSpec, used: &BTreeMap<String, Amount>) -> u32 {
        let Some(team) = self.policy.team(&spec.team) else {
            return 0;
        };
        let used = used.get(&spec.team).copied().unwrap_or_default();
        let bound = |max: f64, used: f64| if max > 0.0 { max - used } else { f64::INFINITY };
        let room = Amount {
            cpus: bound(team.cpus_max, used.cpus),
            gpus: bound(team.gpus_max, used.gpus),
            ram_gb: f64::INFINITY,
        };
        Amount::of(spec).count_in(&room, spec.pieces)
    }

    /// Places what it can of one job; says how many tasks could start but for want of machines.
    fn place_job(&mut self, now: Millis, id: &JobId, pass: &mut Pass) -> u32 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let spec = job.spec.clone();
        let head = self.headroom(&spec, &pass.used);
        let pending: Vec<u32> = job.pending.iter().take(head as usize).copied().collect();
        // Once one task of a gang is done all are, and the rest only have to say so one by one.
        let gang = spec.shape == Shape::Gang && job.done.count() == 0;
        if gang && !job.places.is_empty() {
            // Nothing while a task of the last attempt lingers anywhere.
            return 0;
        }
        let short = if gang {
            pending.len() < spec.pieces as usize
        } else {
            pending.is_empty()
        };
        if short {
            // Guards against a large job that never finds its team's limit free, because smaller
            // jobs behind it take every bit that is given back: what it needs is kept for it.
            let n = if gang { f64::from(spec.pieces) } else { 1.0 };
            pass.used
                .entry(spec.team.clone())
                .or_default()
                .add(&Amount::of(&spec).times(n));
            return 0;
        }
        let zones = self.zone_choices(&spec, job, pass);
        let mut plan: Vec<(u32, HostId)> = Vec::new();
        for zone in zones {
            plan = self.plan(now, id, &spec, &pending, zone.as_ref(), pass);
            if !plan.is_empty() && (!gang || plan.len() == pending.len()) {
                break;
            }
            self.unplan(&spec, &mut plan, pass);
        }
        let left = (pending.len() - plan.len()) as u32;
        if plan.is_empty() {
            if self.bulk(&spec) && !self.may_rent(now, &spec) {
                self.keep_a_machine(&spec, pass);
            }
            return left;
        }
        let attempt = self.fresh_try();
        for (index, host) in plan {
            let attempt = if gang { attempt } else { self.fresh_try() };
            let piece = PieceId {
                job: id.clone(),
                index,
            };
            tracing::debug!(piece = %piece, host = %host, "placed");
            if let Some(m) = self.machines.get_mut(&host) {
                m.idle_since = None;
                if m.kept_for.as_ref().is_some_and(|(j, _)| j == id) {
                    m.kept_for = None;
                }
                m.starts.insert(
                    (piece.clone(), attempt),
                    Start::planned(piece, attempt, now),
                );
            }
            if let Some(job) = self.jobs.get_mut(id) {
                job.pending.remove(&index);
                job.places.entry(index).or_default().push(host);
            }
            pass.used
                .entry(spec.team.clone())
                .or_default()
                .add(&Amount::of(&spec));
        }
        left
    }

    /// Guards against a task of a whole machine that never finds one, because small tasks fill
    /// every gap and no more machines are to be had: the emptiest that it may use takes nothing
    /// more from jobs behind it.
    fn keep_a_machine(&self, spec: &JobSpec, pass: &mut Pass) {
        let need = Amount::of(spec);
        let best = self
            .machines
            .values()
            .filter(|m| Self::allows(spec, m) && need.fits(&self.capacity(&m.rig)))
            .filter(|m| pass.room.contains_key(&m.id))
            .map(|m| (self.emptiness(m, pass), &m.id))
            .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(a.1)));
        if let Some((_, host)) = best {
            pass.room.remove(host);
        }
    }

    fn unplan(&self, spec: &JobSpec, plan: &mut Vec<(u32, HostId)>, pass: &mut Pass) {
        for (_, host) in plan.drain(..) {
            if let Some(room) = pass.room.get_mut(&host) {
                room.add(&Amount::of(spec));
            }
        }
    }

    /// The zones to try in turn: None stands for all at once.
    fn zone_choices(&self, spec: &JobSpec, job: &Job, pass: &Pass) -> Vec<Option<Site>> {
        if let Some(site) = &spec.site {
            return vec![Some(site.clone())];
        }
        if !spec.together {
            return vec![None];
        }
        if let Some(site) = self.zones_of(job).into_keys().next() {
            return vec![Some(site)];
        }
        let mut fit: BTreeMap<Site, u32> = BTreeMap::new();
        for (host, room) in &pass.room {
            if let Some(m) = self.machines.get(host) {
                *fit.entry(m.site.clone()).or_default() +=
                    Amount::of(spec).count_in(room, spec.pieces);
            }
        }
        let mut sites: Vec<(u32, Site)> = fit.into_iter().map(|(s, n)| (n, s)).collect();
        sites.sort_by(|a, b| b.cmp(a));
        sites.into_iter().map(|(_, s)| Some(s)).collect()
    }

    /// How many tasks of the job may be in each zone, lingering ones included.
    pub(crate) fn zones_of(&self, job: &Job) -> BTreeMap<Site, u32> {
        let mut zones = BTreeMap::new();
        for host in job.places.values().flatten() {
            if let Some(m) = self.machines.get(host) {
                *zones.entry(m.site.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// Whether the job's own constraints allow this kind of machine.
    pub(crate) fn allows(spec: &JobSpec, m: &Machine) -> bool {
        (spec.spot || !m.spot)
            && spec.site.as_ref().is_none_or(|s| *s == m.site)
            && spec.rigs.as_ref().is_none_or(|r| r.contains(&m.rig))
    }

    /// Chooses machines for as many of the tasks as fit, and takes their room.
    fn plan(
        &self,
        now: Millis,
        id: &JobId,
        spec: &JobSpec,
        pending: &[u32],
        zone: Option<&Site>,
        pass: &mut Pass,
    ) -> Vec<(u32, HostId)> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let need = Amount::of(spec);
        let label = self.graph.label(id);
        let avoid = job.failed_on.len() <= AVOID;
        let mut zones = self.zones_of(job);
        let most_in_zone = spec.pieces.div_ceil(2);
        // Machines that may take it, with what does not change as tasks are added.
        let mut hosts: Vec<(&Machine, f64)> = self
            .machines
            .values()
            .filter(|m| pass.room.contains_key(&m.id) && Self::allows(spec, m))
            .filter(|m| zone.is_none_or(|z| *z == m.site))
            .filter(|m| !(avoid && job.failed_on.contains(&m.id)))
            .filter(|m| {
                m.kept_for
                    .as_ref()
                    .is_none_or(|(j, t)| j == id || now >= *t)
            })
            .filter(|m| self.reserved.get(&m.id).is_none_or(|c| *c == spec.class))
            .map(|m| {
                (
                    m,
                    self.wait_for_image(now, m, spec) + self.dislike(m, spec, label),
                )
            })
            .collect();
        let limit = self.max_starts();
        let mut plan: Vec<(u32, HostId)> = Vec::new();
        let mut added: BTreeMap<HostId, usize> = BTreeMap::new();
        for index in pending {
            hosts.retain(|(m, _)| {
                let taken = m.starts.len() + added.get(&m.id).copied().unwrap_or(0);
                pass.room.get(&m.id).is_some_and(|r| need.fits(r)) && taken < limit
            });
            let best = hosts
                .iter()
                .filter(|(m, _)| {
                    !spec.scatter || zones.get(&m.site).copied().unwrap_or(0) < most_in_zone
                })
                .map(|(m, cost)| (cost + self.emptiness(m, pass) * EMPTY_S, *m))
                .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.id.cmp(&b.1.id)));
            let Some((_, m)) = best else { break };
            if let Some(room) = pass.room.get_mut(&m.id) {
                room.sub(&need);
            }
            *added.entry(m.id.clone()).or_default() += 1;
            *zones.entry(m.site.clone()).or_default() += 1;
            plan.push((*index, m.id.clone()));
        }
        plan
    }

    /// Starts that one machine's intent record has room for.
    fn max_starts(&self) -> usize {
        // A start takes its number, its try and punctuation; job ids at most 43 characters each.
        ((self.policy.facts.state.value_kb * 1024.0 - 256.0) / 90.0).max(1.0) as usize
    }

    fn emptiness(&self, m: &Machine, pass: &Pass) -> f64 {
        let whole = self.capacity(&m.rig);
        let room = pass.room.get(&m.id).copied().unwrap_or_default();
        let part = |free: f64, all: f64| if all > 0.0 { free / all } else { 0.0 };
        part(room.gpus, whole.gpus).max(part(room.cpus, whole.cpus))
    }

    /// Seconds until the image would be there: none if cached, the rest if being fetched.
    pub(crate) fn wait_for_image(&self, now: Millis, m: &Machine, spec: &JobSpec) -> f64 {
        if m.has_image(&spec.image) {
            return 0.0;
        }
        let rate = self.rigs.get(&m.rig).map_or(0.0, |r| r.fetch_gb_per_s);
        let whole = if rate > 0.0 {
            spec.image_gb / rate
        } else {
            0.0
        };
        let under_way = m
            .starts
            .values()
            .filter(|s| !s.ended() && s.running_since.is_none())
            .filter(|s| {
                self.jobs
                    .get(&s.piece.job)
                    .is_some_and(|j| j.spec.image == spec.image)
            })
            .map(|s| s.since)
            .min();
        match under_way {
            Some(since) => (whole - (now - since).secs()).max(0.0),
            None => whole,
        }
    }

    fn dislike(&self, m: &Machine, spec: &JobSpec, label: Label) -> f64 {
        let mut cost = 0.0;
        if spec.spot && !m.spot {
            cost += ORDINARY_S;
        }
        let other = m
            .starts
            .values()
            .any(|s| !s.ended() && self.graph.label(&s.piece.job) != label);
        if other {
            cost += OTHER_LABEL_S;
        }
        cost
    }
}
