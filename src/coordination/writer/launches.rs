//! Launch intents, packed into pages.

use super::super::Core;
use super::draft::Draft;
use super::Work;
use crate::ids::{JobId, Millis, PageNo, Stamp};
use crate::protocol::state::Change;
use crate::storage::pages::{IntentPages, Measure, StartKey};
use crate::storage::records::{intents_key, open_key, IntentsPage, JobTakes};
use std::collections::BTreeSet;

impl Core {
    /// Whether a start is planned and not yet written.
    pub(super) fn unwritten(&self, key: &StartKey) -> bool {
        let m = self.machines.get(&key.host);
        let start = m.and_then(|m| m.starts.get(&(key.task.clone(), key.attempt)));
        start.is_some_and(|s| s.page.is_none() && s.untouched())
    }

    /// Starts that wait for their intent, in the order in which they were planned, packed into pages;
    /// `spare` operations are left to others.
    pub(super) fn draft_launches(&mut self, draft: &mut Draft, spare: usize) {
        let mut intents = std::mem::take(&mut self.writer.intents);
        intents.drop_settled(|k| self.unwritten(k));
        self.pack_launches(&intents, draft, spare);
        self.writer.intents = intents;
    }

    pub(super) fn pack_launches(&self, intents: &IntentPages, draft: &mut Draft, spare: usize) {
        let most_bytes = self.writer.limits.value_bytes;
        let drafted: BTreeSet<StartKey> = draft.launches().cloned().collect();
        let mut waiting = intents
            .waiting()
            .filter(|k| !drafted.contains(*k) && self.unwritten(k))
            .peekable();
        let mut taken: BTreeSet<PageNo> = draft.intent_pages().collect();
        while waiting.peek().is_some() && draft.apply.len() + spare < draft.most_ops {
            let mut page = intents.emptiest(&taken);
            let (mut keys, mut stamp) = page.map_or((Vec::new(), Stamp(0)), |p| intents.page(p));
            let mut size = self.measure(&keys);
            if size.bytes() > most_bytes / 2 {
                // Most of it still stands: a new page costs no more.
                page = None;
                (keys, stamp) = (Vec::new(), Stamp(0));
                size = Measure::default();
            }
            let page = page.unwrap_or_else(|| intents.fresh(&taken));
            taken.insert(page);
            let mut guards = vec![(intents_key(page), stamp)];
            let mut jobs: BTreeSet<JobId> = BTreeSet::new();
            let before = keys.len();
            while let Some(k) = waiting.peek() {
                let id = &k.task.job;
                let noted = self.machines.get(&k.host).is_some_and(|m| m.noted);
                let Some(job) = self.jobs.get(id).filter(|j| !j.over && noted) else {
                    // Its machine's page comes first; its job is over: it is dropped elsewhere.
                    waiting.next();
                    continue;
                };
                if !jobs.contains(id) {
                    if !draft.guards_fit(guards.len() + 1) {
                        break;
                    }
                    // The open record's version is the guard: a job that its user cancelled
                    // meanwhile can't be launched.
                    guards.push((open_key(id), job.stamp));
                    jobs.insert(id.clone());
                }
                size.add(k, &job.spec.team);
                if size.bytes() > most_bytes {
                    break;
                }
                keys.push((*k).clone());
                waiting.next();
            }
            if keys.len() == before {
                return;
            }
            let data = self.intents_page(&keys);
            let apply = vec![Change::put(intents_key(page), data)];
            if !draft.add(guards, apply, Work::Intents { page, keys }) {
                return;
            }
        }
    }

    pub(super) fn measure(&self, keys: &[StartKey]) -> Measure {
        let mut size = Measure::default();
        for k in keys {
            let team = self.jobs.get(&k.task.job).map(|j| j.spec.team.as_str());
            size.add(k, team.unwrap_or_default());
        }
        size
    }

    pub(super) fn intents_page(&self, keys: &[StartKey]) -> serde_json::Value {
        let mut page = IntentsPage::default();
        for k in keys {
            page.add(&k.host, &k.task, k.attempt);
            if let Some(since) = self.placed_at(k) {
                let placed_s = self.day_ms.saturating_add_signed(since.0) / 1000;
                page.placed_s.entry(k.attempt).or_insert(placed_s);
            }
            if !page.jobs.contains_key(&k.task.job) {
                page.jobs.insert(k.task.job.clone(), self.takes(k));
            }
        }
        serde_json::to_value(&page).unwrap_or_default()
    }

    /// When a start that is on a page was placed.
    pub(super) fn placed_at(&self, key: &StartKey) -> Option<Millis> {
        let machine = self.machines.get(&key.host)?;
        let start = machine.starts.get(&(key.task.clone(), key.attempt))?;
        Some(start.since)
    }

    /// What a start's job takes: from the job, or, if that is over and forgotten, from the start.
    pub(super) fn takes(&self, k: &StartKey) -> JobTakes {
        if let Some(j) = self.jobs.get(&k.task.job) {
            return JobTakes::of(&j.spec);
        }
        let m = self.machines.get(&k.host);
        let s = m.and_then(|m| m.starts.get(&(k.task.clone(), k.attempt)));
        let team = self.policy.team(s.and_then(|s| s.team));
        let need = s.map(|s| s.need).unwrap_or_default();
        JobTakes(
            team.map(|t| t.name.clone()).unwrap_or_default(),
            need.cpus,
            need.gpus,
            need.ram_gb,
        )
    }
}
