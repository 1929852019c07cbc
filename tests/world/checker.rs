//! The protocol's rules, applied to what the stand-ins see.

use super::store::Store;
use super::worker::Worker;
use chalklug::ids::*;
use chalklug::protocol::cloud::MachineTypeInfo;
use chalklug::protocol::users::{JobPhase, JobSpec, Shape};
use chalklug::protocol::workers::{Cause, TaskPhase};
use chalklug::settings::Facts;
use chalklug::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet};

pub struct Checker {
    facts: Facts,
    jobs: BTreeMap<JobId, JobSpec>,
    accepted: BTreeMap<JobId, Instant>,
    cancelled: BTreeMap<JobId, Instant>,
    done: BTreeMap<JobId, BTreeSet<u32>>,
    told: BTreeMap<JobId, JobPhase>,
    /// What was on which machine when last looked at.
    on: BTreeSet<(TaskId, MachineId, u64, AttemptId)>,
    pub attempts: BTreeMap<TaskId, u32>,
    pub broken: BTreeSet<String>,
    pub first: Option<String>,
    /// A job that nobody submits.
    pub stranger: JobId,
    machine_types: Vec<MachineTypeInfo>,
    /// Jobs that a job waits for.
    after: BTreeMap<JobId, Vec<JobId>>,
    /// The last moment at which some trouble went on.
    pub troubled: Instant,
    /// Since when there has been room for a job that waits.
    waits: BTreeMap<JobId, Instant>,
}

/// Once the troubles are over, no job may wait longer than this while there is room for it.
const LONGEST_WAIT: TimeSpan = TimeSpan(90_000);
/// After the troubles a leader has this long to write the marks of jobs cancelled with others.
const SETTLING: TimeSpan = TimeSpan(20_000);
/// A leader that hears of a cancellation may send launches for this much longer.
const HEARING: TimeSpan = TimeSpan(1_000);

impl Checker {
    pub fn new(facts: Facts, machine_types: Vec<MachineTypeInfo>) -> Checker {
        Checker {
            machine_types,
            after: BTreeMap::new(),
            troubled: Instant(0),
            waits: BTreeMap::new(),
            facts,
            jobs: BTreeMap::new(),
            accepted: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            done: BTreeMap::new(),
            told: BTreeMap::new(),
            on: BTreeSet::new(),
            attempts: BTreeMap::new(),
            broken: BTreeSet::new(),
            first: None,
            stranger: JobId::from("wk-999999"),
        }
    }

    /// A job is accepted: it must be able to run at all.
    pub fn accepted(&mut self, now: Instant, spec: JobSpec, after: Vec<JobId>) {
        let one = self.machine_types.iter().any(|r| {
            spec.cpus <= r.cpus
                && spec.gpus <= r.gpus
                && spec.ram_gb <= r.ram_gb
                && spec
                    .machine_types
                    .as_ref()
                    .is_none_or(|a| a.contains(&r.name))
                && spec.zone.as_ref().is_none_or(|s| r.zones.contains(s))
        });
        let at_once = match spec.shape {
            Shape::Array => 1.0,
            _ => f64::from(spec.tasks),
        };
        let team = self.facts.teams.iter().find(|t| t.name == spec.team);
        let within = team.is_some_and(|t| {
            let fits = |each: f64, max: f64| max <= 0.0 || each * at_once <= max + 1e-6;
            fits(spec.cpus, t.cpus_max) && fits(spec.gpus, t.gpus_max)
        });
        if !one || !within {
            self.breaks(now, "accepted_unfit", spec.id.to_string());
        }
        self.accepted.insert(spec.id.clone(), now);
        self.after.insert(spec.id.clone(), after);
        self.jobs.insert(spec.id.clone(), spec);
    }

    /// A launch leaves a leader that has heard of everything confirmed, or that could for `unheard`
    /// not have.
    pub fn launch_leaves(&mut self, now: Instant, task: &TaskId, unheard: TimeSpan) {
        let since = self.cancelled.get(&task.job);
        if since.is_some_and(|t| now - *t > unheard.max(HEARING)) {
            self.breaks(now, "launched_cancelled", task.to_string());
        }
    }
    pub fn cancelled(&mut self, id: &JobId, now: Instant) {
        self.cancelled.insert(id.clone(), now);
    }

    /// A leader still acts although another may have taken over.
    pub fn two_leaders(&mut self, now: Instant) {
        self.breaks(
            now,
            "two_leaders",
            "a lease is over, its leader acts".into(),
        );
    }

    /// When the first of all jobs that a job needs, directly or through others, was cancelled.
    fn ancestor_cancelled(&self, id: &JobId) -> Option<Instant> {
        let mut seen = BTreeSet::new();
        let mut todo: Vec<&JobId> = self.after[id].iter().collect();
        let mut first: Option<Instant> = None;
        while let Some(ancestor) = todo.pop() {
            if seen.insert(ancestor) {
                let at = self.cancelled.get(ancestor).copied();
                first = first.into_iter().chain(at).min();
                todo.extend(self.after.get(ancestor).into_iter().flatten());
            }
        }
        first
    }

    fn breaks(&mut self, now: Instant, rule: &str, what: String) {
        self.broken.insert(rule.into());
        self.first
            .get_or_insert(format!("{:.1} s: {rule}: {what}", now.secs()));
    }

    pub fn look(&mut self, now: Instant, workers: &BTreeMap<MachineId, Worker>, store: &Store) {
        self.look_at_machines(now, workers, store);
        self.look_at_users(now, store);
        if now.0 % 1000 == 0 {
            self.look_at_waiting(now, workers, store);
        }
    }

    /// Jobs that wait although there is room: after the troubles nobody may for long.
    fn look_at_waiting(
        &mut self,
        now: Instant,
        workers: &BTreeMap<MachineId, Worker>,
        store: &Store,
    ) {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut placed: BTreeSet<&TaskId> = BTreeSet::new();
        // Machines that report and do their work, with what is free.
        let mut free: Vec<(&Worker, f64, f64)> = Vec::new();
        for w in workers.values() {
            let machine_type = self.machine_types.iter().find(|r| r.name == w.machine_type);
            let (mut cpus, mut gpus) = machine_type.map_or((0.0, 0.0), |r| (r.cpus, r.gpus));
            for ((p, _), t) in &w.tasks {
                if t.phase != TaskPhase::Ended {
                    let spec = &self.jobs[&p.job];
                    (cpus, gpus) = (cpus - spec.cpus, gpus - spec.gpus);
                    *used.entry(spec.team.as_str()).or_default() += spec.gpus;
                    placed.insert(p);
                }
            }
            if w.awake(now) && !w.sick && w.recall_at.is_none() {
                free.push((w, cpus, gpus));
            }
        }
        let mut waits = BTreeMap::new();
        let mut late = Vec::new();
        for (id, spec) in &self.jobs {
            let open = store.phase(id) == Some(JobPhase::Queued);
            let held = self.after[id]
                .iter()
                .any(|p| store.phase(p) != Some(JobPhase::Done));
            if !open || held || spec.scatter {
                continue;
            }
            let done = self.done.get(id);
            let missing: Vec<TaskId> = (0..spec.tasks)
                .filter(|i| done.is_none_or(|d| !d.contains(i)))
                .map(|index| TaskId {
                    job: id.clone(),
                    index,
                })
                .filter(|p| !placed.contains(p))
                .collect();
            if missing.is_empty() || (spec.shape == Shape::Gang && done.is_some()) {
                continue;
            }
            let together = spec.shape == Shape::Gang;
            let tasks = if together { missing.len() as u32 } else { 1 };
            let team = self.facts.teams.iter().find(|t| t.name == spec.team);
            let max = team.map_or(0.0, |t| t.gpus_max);
            let uses = used.get(spec.team.as_str()).copied().unwrap_or(0.0);
            let under = max <= 0.0 || uses + spec.gpus * f64::from(tasks) <= max + 1e-6;
            let mine: BTreeSet<&Zone> = workers
                .values()
                .filter(|w| {
                    let going = |((p, _), t): (&(TaskId, AttemptId), &super::worker::Task)| {
                        p.job == *id && t.phase != TaskPhase::Ended
                    };
                    w.tasks.iter().any(going)
                })
                .map(|w| &w.zone)
                .collect();
            let mut room: BTreeMap<&Zone, u32> = BTreeMap::new();
            for (w, cpus, gpus) in &free {
                let kind = (spec.spot || !w.spot)
                    && spec.zone.as_ref().is_none_or(|s| *s == w.zone)
                    && spec
                        .machine_types
                        .as_ref()
                        .is_none_or(|r| r.contains(&w.machine_type))
                    && (!spec.together || mine.iter().all(|s| **s == w.zone));
                let n = |free: f64, need: f64| match need > 0.0 {
                    true => ((free + 1e-6) / need).floor().max(0.0) as u32,
                    false => u32::MAX,
                };
                if kind {
                    let fit = n(*cpus, spec.cpus).min(n(*gpus, spec.gpus)).min(1000);
                    *room.entry(&w.zone).or_default() += fit;
                }
            }
            let most = match spec.together {
                true => room.values().copied().max().unwrap_or(0),
                false => room.values().sum(),
            };
            if under && most >= tasks {
                let since = self.waits.get(id).copied().unwrap_or(now);
                if now - since.max(self.troubled) > LONGEST_WAIT {
                    late.push(id.to_string());
                }
                waits.insert(id.clone(), since);
            }
        }
        self.waits = waits;
        for id in late {
            self.breaks(now, "left_waiting", id);
        }
    }

    fn look_at_machines(
        &mut self,
        now: Instant,
        workers: &BTreeMap<MachineId, Worker>,
        store: &Store,
    ) {
        let mut on = BTreeSet::new();
        for w in workers.values() {
            for ((p, a), t) in &w.tasks {
                if t.cause == Some(Cause::Done) {
                    self.done.entry(p.job.clone()).or_default().insert(p.index);
                }
                let there = w.on_machine().any(|(q, u)| q == p && std::ptr::eq(u, t));
                if there {
                    on.insert((p.clone(), w.id.clone(), w.session.0, *a));
                }
            }
        }
        let new: Vec<_> = on.difference(&self.on).cloned().collect();
        for (p, machine_id, _, _) in new {
            *self.attempts.entry(p.clone()).or_default() += 1;
            let w = &workers[&machine_id];
            let spec = self.jobs[&p.job].clone();
            let others: Vec<&Worker> = on
                .iter()
                .filter(|(q, h, _, _)| q.job == p.job && (*q != p || *h != machine_id))
                .map(|(_, h, _, _)| &workers[h])
                .collect();
            let done = |id: &JobId| store.phase(id) == Some(JobPhase::Done);
            if !self.after[&p.job].iter().all(done) {
                self.breaks(now, "too_early", format!("{p} on {machine_id}"));
            }
            if on.iter().any(|(q, h, _, _)| *q == p && *h != machine_id) {
                self.breaks(
                    now,
                    "ran_twice",
                    format!("{p} on {machine_id} and elsewhere"),
                );
            }
            let kind = (spec.spot || !w.spot)
                && spec.zone.as_ref().is_none_or(|s| *s == w.zone)
                && spec
                    .machine_types
                    .as_ref()
                    .is_none_or(|r| r.contains(&w.machine_type));
            let apart = spec.together && others.iter().any(|o| o.zone != w.zone);
            let here = others.iter().filter(|o| o.zone == w.zone).count() as u32 + 1;
            let crowded = spec.scatter && here > spec.tasks.div_ceil(2);
            if !kind || apart || crowded {
                self.breaks(now, "wrong_place", format!("{p} on {machine_id}"));
            }
        }
        let mut used: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for (p, machine_id, _, _) in &on {
            let spec = &self.jobs[&p.job];
            let u = used.entry(spec.team.clone()).or_default();
            u.0 += spec.cpus;
            u.1 += spec.gpus;
            let since = self.cancelled.get(&p.job).copied();
            if since.is_some_and(|t| (now - t).secs() > self.facts.workers.cancel_s) {
                self.breaks(now, "ran_cancelled", format!("{p} on {machine_id}"));
            }
        }
        for t in self.facts.teams.clone() {
            let (cpus, gpus) = used.get(&t.name).copied().unwrap_or_default();
            let over = |u: f64, max: f64| max > 0.0 && u > max + 1e-6;
            if over(cpus, t.cpus_max) || over(gpus, t.gpus_max) {
                self.breaks(
                    now,
                    "quota",
                    format!("{} uses {cpus} cpus, {gpus} gpus", t.name),
                );
            }
        }
        self.on = on;
    }

    fn look_at_users(&mut self, now: Instant, store: &Store) {
        if store.phase(&self.stranger).is_some() {
            self.breaks(now, "invented", self.stranger.to_string());
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(phase) = store.phase(&id) else {
                self.breaks(now, "forgotten", id.to_string());
                continue;
            };
            let done = self.done.get(&id).map_or(0, BTreeSet::len) as u32;
            if phase == JobPhase::Done && done < self.jobs[&id].tasks {
                self.breaks(now, "not_done", id.to_string());
            }
            let before = self.told.insert(id.clone(), phase);
            let last = matches!(before, Some(JobPhase::Done | JobPhase::Cancelled));
            let ancestor = self.ancestor_cancelled(&id);
            let unasked = phase == JobPhase::Cancelled
                && !self.cancelled.contains_key(&id)
                && ancestor.is_none();
            // Controllers answer from the ancestors' marks, at any time; the job's own mark must follow
            // within the time, unless some trouble keeps the leader from writing it.
            let limit = TimeSpan::from_secs(self.facts.workers.cancel_s);
            let calm = now - self.troubled > SETTLING;
            let since = ancestor.map(|t| t.max(self.accepted[&id]));
            if phase == JobPhase::Queued && calm && since.is_some_and(|t| now - t > limit) {
                self.breaks(now, "orphaned", id.to_string());
            }
            if (last && before != Some(phase)) || unasked {
                self.breaks(now, "went_back", id.to_string());
            }
        }
    }

    pub fn at_end(&mut self, now: Instant) {
        if self.attempts.is_empty() {
            self.breaks(now, "nothing_ran", String::new());
        }
    }
}
