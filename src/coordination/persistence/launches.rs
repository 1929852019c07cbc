//! Launch intents, packed into pages.

use super::draft::Draft;
use super::pages::{IntentPages, Measure};
use super::Work;
use crate::coordination::Scheduler;
use crate::ids::{JobId, KeyRevision, PageNumber};
use crate::protocol::state::Change;
use crate::storage::records::{intent_page_key, open_key, IntentPage, JobResources, LaunchIntent};
use crate::time::Instant;
use std::collections::BTreeSet;

impl Scheduler {
    /// Whether a start is planned and not yet written.
    pub(crate) fn unwritten(&self, key: &LaunchIntent) -> bool {
        let m = self.machines.get(&key.machine_id);
        let attempt = m.and_then(|m| m.attempts.get(&key.attempt));
        attempt.is_some_and(|s| s.page.is_none() && s.untouched())
    }

    /// Starts that wait for their intent, in the order in which they were planned, packed into pages;
    /// `spare` operations are left to others.
    pub(crate) fn draft_launches(&mut self, draft: &mut Draft, spare: usize) {
        let mut intents = std::mem::take(&mut self.writer.intents);
        intents.drop_settled(|k| self.unwritten(k));
        self.pack_launches(&intents, draft, spare);
        self.writer.intents = intents;
    }

    pub(crate) fn pack_launches(&self, intents: &IntentPages, draft: &mut Draft, spare: usize) {
        let most_bytes = self.writer.limits.value_bytes;
        let drafted: BTreeSet<LaunchIntent> = draft.launches().cloned().collect();
        let mut waiting = intents
            .waiting()
            .filter(|k| !drafted.contains(*k) && self.unwritten(k))
            .peekable();
        let mut taken: BTreeSet<PageNumber> = draft.intent_pages().collect();
        while waiting.peek().is_some() && draft.changes.len() + spare < draft.most_ops {
            let mut page = intents.emptiest(&taken);
            let (mut keys, mut revision) =
                page.map_or((Vec::new(), KeyRevision(0)), |p| intents.page(p));
            let mut size = self.measure(&keys);
            if size.bytes() > most_bytes / 2 {
                // Most of it still stands: a new page costs no more.
                page = None;
                (keys, revision) = (Vec::new(), KeyRevision(0));
                size = Measure::default();
            }
            let page = page.unwrap_or_else(|| intents.fresh(&taken));
            taken.insert(page);
            let mut preconditions = vec![(intent_page_key(page), revision)];
            let mut jobs: BTreeSet<JobId> = BTreeSet::new();
            let before = keys.len();
            while let Some(k) = waiting.peek() {
                let id = &k.attempt.task.job;
                let is_recorded = self
                    .machines
                    .get(&k.machine_id)
                    .is_some_and(|m| m.is_recorded);
                let Some(job) = self.jobs.get(id).filter(|j| !j.is_closed() && is_recorded) else {
                    // Its machine's page comes first; its job is over: it is dropped elsewhere.
                    waiting.next();
                    continue;
                };
                if !jobs.contains(id) {
                    if !draft.guards_fit(preconditions.len() + 1) {
                        break;
                    }
                    // The open record's version is the guard: a job that its user cancelled
                    // meanwhile can't be launched.
                    preconditions.push((open_key(id), job.open_record_revision()));
                    jobs.insert(id.clone());
                }
                size.add(k, &job.spec().team);
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
            let changes = vec![Change::put(intent_page_key(page), data)];
            if !draft.add(preconditions, changes, Work::Intents { page, keys }) {
                return;
            }
        }
    }

    pub(crate) fn measure(&self, keys: &[LaunchIntent]) -> Measure {
        let mut size = Measure::default();
        for k in keys {
            let job = self.jobs.get(&k.attempt.task.job);
            let team = job.map(|job| job.spec().team.as_str());
            size.add(k, team.unwrap_or_default());
        }
        size
    }

    pub(crate) fn intents_page(&self, keys: &[LaunchIntent]) -> serde_json::Value {
        let mut page = IntentPage::default();
        for k in keys {
            page.add(&k.machine_id, &k.attempt.task, k.attempt.attempt_id);
            if let Some(since) = self.placed_at(k) {
                let placed_s = self.leadership.time_of_day_ms(since) / 1000;
                page.placed_s
                    .entry(k.attempt.attempt_id)
                    .or_insert(placed_s);
            }
            if !page.jobs.contains_key(&k.attempt.task.job) {
                page.jobs.insert(k.attempt.task.job.clone(), self.takes(k));
            }
        }
        serde_json::to_value(&page).unwrap_or_default()
    }

    /// When a start that is on a page was placed.
    pub(crate) fn placed_at(&self, key: &LaunchIntent) -> Option<Instant> {
        let machine = self.machines.get(&key.machine_id)?;
        let attempt = machine.attempts.get(&key.attempt)?;
        Some(attempt.since)
    }

    /// What a start's job takes: from the job, or, if that is over and forgotten, from the start.
    pub(crate) fn takes(&self, k: &LaunchIntent) -> JobResources {
        if let Some(j) = self.jobs.get(&k.attempt.task.job) {
            return JobResources::of(j.spec());
        }
        let m = self.machines.get(&k.machine_id);
        let s = m.and_then(|m| m.attempts.get(&k.attempt));
        let team = self.policy.team(s.and_then(|s| s.team));
        let request = s.map(|s| s.request).unwrap_or_default();
        JobResources {
            team: team.map(|t| t.name.clone()).unwrap_or_default(),
            request,
        }
    }
}
