//! The protocol's rules, applied to what the stand-ins see.

use super::store::Store;
use super::worker::Worker;
use chalklug::ids::*;
use chalklug::protocol::users::{JobPhase, JobSpec};
use chalklug::protocol::workers::Cause;
use chalklug::settings::Facts;
use std::collections::{BTreeMap, BTreeSet};

pub struct Checker {
    facts: Facts,
    jobs: BTreeMap<JobId, JobSpec>,
    cancelled: BTreeMap<JobId, Millis>,
    done: BTreeMap<JobId, BTreeSet<u32>>,
    told: BTreeMap<JobId, JobPhase>,
    /// What was on which machine when last looked at.
    on: BTreeSet<(PieceId, HostId, u64, Try)>,
    pub starts: BTreeMap<PieceId, u32>,
    pub broken: BTreeSet<String>,
    pub first: Option<String>,
    /// A job that nobody submits.
    pub stranger: JobId,
}

impl Checker {
    pub fn new(facts: Facts) -> Checker {
        Checker {
            facts,
            jobs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            done: BTreeMap::new(),
            told: BTreeMap::new(),
            on: BTreeSet::new(),
            starts: BTreeMap::new(),
            broken: BTreeSet::new(),
            first: None,
            stranger: JobId::from("wk-999999"),
        }
    }

    pub fn accepted(&mut self, spec: JobSpec) {
        self.jobs.insert(spec.id.clone(), spec);
    }
    pub fn cancelled(&mut self, id: &JobId, now: Millis) {
        self.cancelled.insert(id.clone(), now);
    }

    /// A leader still acts although another may have taken over.
    pub fn two_leaders(&mut self, now: Millis) {
        self.breaks(
            now,
            "two_leaders",
            "a lease is over, its leader acts".into(),
        );
    }

    fn breaks(&mut self, now: Millis, rule: &str, what: String) {
        self.broken.insert(rule.into());
        self.first
            .get_or_insert(format!("{:.1} s: {rule}: {what}", now.secs()));
    }

    pub fn look(&mut self, now: Millis, workers: &BTreeMap<HostId, Worker>, store: &Store) {
        self.look_at_machines(now, workers);
        self.look_at_users(now, store);
    }

    fn look_at_machines(&mut self, now: Millis, workers: &BTreeMap<HostId, Worker>) {
        let mut on = BTreeSet::new();
        for w in workers.values() {
            for ((p, a), t) in &w.tasks {
                if t.cause == Some(Cause::Done) {
                    self.done.entry(p.job.clone()).or_default().insert(p.index);
                }
                let there = w.on_machine().any(|(q, u)| q == p && std::ptr::eq(u, t));
                if there {
                    on.insert((p.clone(), w.id.clone(), w.tenure.0, *a));
                }
            }
        }
        let new: Vec<_> = on.difference(&self.on).cloned().collect();
        for (p, host, _, _) in new {
            *self.starts.entry(p.clone()).or_default() += 1;
            let w = &workers[&host];
            let spec = self.jobs[&p.job].clone();
            let others: Vec<&Worker> = on
                .iter()
                .filter(|(q, h, _, _)| q.job == p.job && (*q != p || *h != host))
                .map(|(_, h, _, _)| &workers[h])
                .collect();
            if on.iter().any(|(q, h, _, _)| *q == p && *h != host) {
                self.breaks(now, "ran_twice", format!("{p} on {host} and elsewhere"));
            }
            let kind = (spec.spot || !w.spot)
                && spec.site.as_ref().is_none_or(|s| *s == w.site)
                && spec.rigs.as_ref().is_none_or(|r| r.contains(&w.rig));
            let apart = spec.together && others.iter().any(|o| o.site != w.site);
            let here = others.iter().filter(|o| o.site == w.site).count() as u32 + 1;
            let crowded = spec.scatter && here > spec.pieces.div_ceil(2);
            if !kind || apart || crowded {
                self.breaks(now, "wrong_place", format!("{p} on {host}"));
            }
        }
        let mut used: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for (p, host, _, _) in &on {
            let spec = &self.jobs[&p.job];
            let u = used.entry(spec.team.clone()).or_default();
            u.0 += spec.cpus;
            u.1 += spec.gpus;
            let since = self.cancelled.get(&p.job).copied();
            if since.is_some_and(|t| (now - t).secs() > self.facts.workers.cancel_s) {
                self.breaks(now, "ran_cancelled", format!("{p} on {host}"));
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

    fn look_at_users(&mut self, now: Millis, store: &Store) {
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
            if phase == JobPhase::Done && done < self.jobs[&id].pieces {
                self.breaks(now, "not_done", id.to_string());
            }
            let before = self.told.insert(id.clone(), phase);
            let last = matches!(before, Some(JobPhase::Done | JobPhase::Cancelled));
            let unasked = phase == JobPhase::Cancelled && !self.cancelled.contains_key(&id);
            if (last && before != Some(phase)) || unasked {
                self.breaks(now, "went_back", id.to_string());
            }
        }
    }

    pub fn at_end(&mut self, now: Millis) {
        if self.starts.is_empty() {
            self.breaks(now, "nothing_ran", String::new());
        }
    }
}
