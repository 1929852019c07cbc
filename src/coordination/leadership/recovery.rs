//! Taking over: the ledgers are rebuilt from durable records, at a cost in proportion to open jobs
//! and machines. Whatever has an intent counts as running until proven otherwise; what has none
//! was never launched and may start at once.

use crate::coordination::attempts::Outbox;
use crate::coordination::autoscaler::Autoscaler;
use crate::coordination::jobs::aging::Aging;
use crate::coordination::jobs::estimates::Estimates;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::table::JobTable;
use crate::coordination::leadership::Leadership;
use crate::coordination::leadership::LeadershipTerm;
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::machines::table::MachineTable;
use crate::coordination::persistence::Writer;
use crate::coordination::placement::PlacementState;
use crate::coordination::{Policy, Scheduler};
use crate::ids::{KeyRevision, MachineId};
use crate::protocol::cloud::MachineTypeInfo;
use crate::protocol::state::KeyValue;
use crate::resources::Resources;
use crate::storage::records::{
    IntentPage, LaunchIntent, MachineKind, MachinePage, OpenJobRecord, ProgressKey, RecordKey,
};
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What a new leader has read, all of it after its own leader key was written.
#[derive(Debug, Default)]
pub struct RecoveredState {
    pub open: Vec<(OpenJobRecord, KeyRevision, Instant)>,
    pub progress: Vec<KeyValue>,
    pub intents: Vec<KeyValue>,
    pub machine_pages: Vec<KeyValue>,
    pub machine_types: Vec<MachineTypeInfo>,
    pub hints: Option<KeyValue>,
    /// The time of day at the steady clock's zero, in milliseconds.
    pub day_ms: u64,
}

/// Why a page can't be taken over.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {why}")]
pub struct UnreadableRecord {
    pub key: String,
    pub why: String,
}

fn read<T: serde::de::DeserializeOwned>(item: &KeyValue) -> Result<T, UnreadableRecord> {
    serde_json::from_value(item.data.clone()).map_err(|e| UnreadableRecord {
        key: item.key.clone(),
        why: e.to_string(),
    })
}

impl Scheduler {
    /// The core of a new leadership. An unreadable page stops it: whatever stands on it would be
    /// taken for never launched.
    pub fn recover(
        policy: Arc<Policy>,
        term: LeadershipTerm,
        now: Instant,
        found: RecoveredState,
    ) -> Result<Scheduler, UnreadableRecord> {
        let state = &policy.facts.state;
        let teams = policy.facts.teams.len();
        let mut core = Scheduler {
            leadership: Leadership::new(term, now, found.day_ms),
            jobs: JobTable::new(teams),
            machines: MachineTable::default(),
            team_usage: vec![Resources::default(); teams],
            outbox: Outbox::default(),
            placement: PlacementState::new(policy.facts.process_limits.cores),
            autoscaler: Autoscaler::new(policy.facts.cloud.rps),
            estimates: Estimates::default(),
            aging: Aging::new(policy.operator.begin_within_s),
            writer: Writer::new(state, now),
            policy: policy.clone(),
            effects: Vec::new(),
            last_seq: 0,
            last_recheck_at: now,
        };
        core.machines.set_types(found.machine_types);
        for (record, revision, submitted) in found.open {
            core.job_opened(now, record, revision, submitted);
        }
        if let Some(item) = found.hints {
            core.writer.hints = item.revision;
            if let Ok(hints) = serde_json::from_value(item.data) {
                core.load_hints(now, hints);
            }
        }
        for item in found.progress {
            core.load_progress(item);
        }
        core.load_machine_pages(now, found.machine_pages)?;
        for item in &found.intents {
            core.load_intents(now, item)?;
        }
        for id in core.machines.keys().cloned().collect::<Vec<_>>() {
            core.machines.reindex(&id);
            if let Some(m) = core.machines.get_mut(&id).filter(|m| m.live_count == 0) {
                m.idle_since = Some(now);
            }
        }
        Ok(core)
    }

    fn load_progress(&mut self, item: KeyValue) {
        let Some(key) = ProgressKey::parse(&item.key) else {
            return;
        };
        if self.jobs.get(&key.job).is_none_or(Job::is_closed) {
            self.writer
                .orphaned_progress
                .insert(item.key, item.revision);
            return;
        }
        if let Some(text) = item.data.as_str() {
            self.jobs
                .update(&key.job, |job| job.load_progress(key.chunk, text));
        }
        self.writer.progress.insert(key, item.revision);
    }

    /// A time of day on record, in seconds since 1970, on this process's steady clock.
    fn on_steady_clock(&self, time_of_day_s: u64) -> Instant {
        let time_of_day = TimeSpan((time_of_day_s as i64).saturating_mul(1000));
        self.leadership.on_steady_clock(time_of_day)
    }

    /// Small pages first: a machine that a former leader was moving from a page that had grown too large
    /// is on both, and stays on the small one.
    fn load_machine_pages(
        &mut self,
        now: Instant,
        mut pages: Vec<KeyValue>,
    ) -> Result<(), UnreadableRecord> {
        let listed = |page: &KeyValue| {
            page.data
                .get("hosts")
                .and_then(|h| h.as_object()?.len().into())
        };
        pages.sort_by_key(|page| listed(page).unwrap_or(0));
        for page in &pages {
            self.load_machine_page(now, page)?;
        }
        self.split_machine_pages();
        Ok(())
    }

    fn load_machine_page(&mut self, now: Instant, item: &KeyValue) -> Result<(), UnreadableRecord> {
        let Some(RecordKey::MachinePage(page)) = RecordKey::parse(&item.key) else {
            return Ok(());
        };
        let record: MachinePage = read(item)?;
        let all = record.machines.len();
        let new = |id: &&MachineId| !self.machines.contains_key(id);
        let machine_ids: BTreeSet<MachineId> =
            record.machines.keys().filter(new).cloned().collect();
        let twice = machine_ids.len() < all;
        self.writer
            .machine_pages
            .found(page, item.revision, machine_ids.clone());
        if twice {
            self.writer.machine_pages.changed(now, page);
        }
        for (id, note) in record.machines {
            if !machine_ids.contains(&id) {
                continue;
            }
            let Some(MachineKind {
                machine_type,
                zone,
                spot,
            }) = record.kinds.get(note.kind).cloned()
            else {
                return Err(UnreadableRecord {
                    key: item.key.clone(),
                    why: format!("{id} is of no kind that the page names"),
                });
            };
            let mut since = now;
            if note.rented_s > 0 {
                since = self.on_steady_clock(note.rented_s).min(now);
            }
            let mut m = Machine::new(
                id.clone(),
                machine_type.clone(),
                zone,
                spot,
                self.machines.capacity(&machine_type),
                since,
            );
            m.last_response_at = now;
            m.push_not_before = now;
            m.unschedulable_until = now;
            m.page = Some(page);
            m.is_recorded = true;
            if note.has_reported {
                m.state = MachineState::Up;
            }
            m.images = note
                .images
                .iter()
                .filter_map(|i| record.images.get(*i).cloned())
                .collect();
            self.machines.insert(id, m);
        }
        Ok(())
    }

    fn load_intents(&mut self, now: Instant, item: &KeyValue) -> Result<(), UnreadableRecord> {
        let Some(RecordKey::IntentPage(page)) = RecordKey::parse(&item.key) else {
            return Ok(());
        };
        let record: IntentPage = read(item)?;
        self.writer.intents.found(page, item.revision);
        for intent in record.intents() {
            let LaunchIntent {
                machine_id,
                attempt: key,
            } = &intent;
            let Some(m) = self.machines.get_mut(machine_id) else {
                // Proof 4, on record: a start is written only once its machine's page is, and a
                // machine leaves its page only once the cloud has confirmed that it is gone.
                self.writer.intents.outdated(now, page);
                continue;
            };
            // It had been given work: its worker has reported.
            m.state = MachineState::Up;
            let known = self.machines.get(machine_id);
            if known.is_some_and(|m| m.attempts.contains_key(key)) {
                continue;
            }
            let placed = record.placed_s.get(&key.attempt_id);
            let since = placed.map_or(now, |s| self.on_steady_clock(*s).min(now));
            let mut s = self.new_attempt(machine_id, key.task.clone(), key.attempt_id, since);
            if let Some(takes) = record.jobs.get(&key.task.job) {
                s.request = takes.request;
                s.team = self.policy.team_index(&takes.team);
            }
            s.page = Some(page);
            s.recovered = true;
            self.insert_attempt(machine_id, s);
            self.add_place(machine_id, &key.task);
            self.writer.intents.holds(page, intent);
        }
        Ok(())
    }
}
