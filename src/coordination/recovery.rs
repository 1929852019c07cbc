//! Taking over: the ledgers are rebuilt from durable records, at a cost in proportion to open jobs
//! and machines. Whatever has an intent counts as running until proven otherwise; what has none
//! was never launched and may start at once.

use super::ageing::Ageing;
use super::chains::MarkReads;
use super::fleet::Fleet;
use super::graph::Graph;
use super::leadership::Lead;
use super::starts::Indexes;
use super::writer::Writer;
use super::{Core, Policy};
use crate::ids::{HostId, Millis, Stamp};
use crate::protocol::cloud::MachineTypeInfo;
use crate::protocol::state::Item;
use crate::storage::ledger::{Amount, Machine, MachineState};
use crate::storage::pages::StartKey;
use crate::storage::records::{
    parse_page, parse_progress_key, HostsPage, IntentsPage, OpenRecord, HOSTS, INTENTS,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What a new leader has read, all of it after its own leader key was written.
#[derive(Debug, Default)]
pub struct Inheritance {
    pub open: Vec<(OpenRecord, Stamp, Millis)>,
    pub progress: Vec<Item>,
    pub intents: Vec<Item>,
    pub hosts: Vec<Item>,
    pub machine_types: Vec<MachineTypeInfo>,
    pub hints: Option<Item>,
    /// The time of day at the steady clock's zero, in milliseconds.
    pub day_ms: u64,
}

/// Why a page can't be taken over.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {why}")]
pub struct Unreadable {
    pub key: String,
    pub why: String,
}

fn read<T: serde::de::DeserializeOwned>(item: &Item) -> Result<T, Unreadable> {
    serde_json::from_value(item.data.clone()).map_err(|e| Unreadable {
        key: item.key.clone(),
        why: e.to_string(),
    })
}

impl Core {
    /// The core of a new leadership. An unreadable page stops it: whatever stands on it would be
    /// taken for never launched.
    pub fn take_over(
        policy: Arc<Policy>,
        lead: Lead,
        now: Millis,
        found: Inheritance,
    ) -> Result<Core, Unreadable> {
        let state = &policy.facts.state;
        let teams = policy.facts.teams.len();
        let mut core = Core {
            fleet: Fleet::new(policy.facts.cloud.rps),
            writer: Writer::new(state, now),
            policy: policy.clone(),
            lead,
            day_ms: found.day_ms,
            began: now,
            machine_types: BTreeMap::new(),
            jobs: BTreeMap::new(),
            graph: Graph::default(),
            mark_reads: MarkReads::default(),
            machines: BTreeMap::new(),
            used: vec![Amount::default(); teams],
            indexes: Indexes {
                by_team: vec![BTreeSet::new(); teams],
                ..Indexes::default()
            },
            ageing: Ageing::default(),
            gone: BTreeSet::new(),
            effects: Vec::new(),
            next_seq: 0,
            next_attempt: 0,
            dirty: true,
            last_recheck: now,
            placement_budget: Core::placement_budget(policy.facts.quota.cores),
            last_pass: Millis(i64::MIN / 4),
            last_preempt: Millis(i64::MIN / 4),
            reviewed: 0,
            to_review: BTreeSet::new(),
            gangs_due: BTreeSet::new(),
            direct_due: BTreeSet::new(),
            directs: 0,
            observed: BTreeMap::new(),
            demand: BTreeMap::new(),
            reserved: BTreeMap::new(),
            standby_missing: Vec::new(),
            image_room: BTreeMap::new(),
        };
        core.machine_types = found
            .machine_types
            .into_iter()
            .map(|r| (r.name.clone(), r))
            .collect();
        for (record, stamp, submitted) in found.open {
            core.job_opened(now, record, stamp, submitted);
        }
        if let Some(item) = found.hints {
            core.writer.hints = item.stamp;
            if let Ok(hints) = serde_json::from_value(item.data) {
                core.load_hints(now, hints);
            }
        }
        for item in found.progress {
            core.load_progress(item);
        }
        core.load_host_pages(now, found.hosts)?;
        for item in &found.intents {
            core.load_intents(now, item)?;
        }
        for id in core.machines.keys().cloned().collect::<Vec<_>>() {
            core.index_machine(&id);
            if let Some(m) = core.machines.get_mut(&id).filter(|m| m.live == 0) {
                m.idle_since = Some(now);
            }
        }
        Ok(core)
    }

    fn load_progress(&mut self, item: Item) {
        let Some((id, chunk)) = parse_progress_key(&item.key) else {
            return;
        };
        let open = self.jobs.get_mut(&id).filter(|j| !j.over);
        let Some(job) = open else {
            self.writer.orphaned_progress.insert(item.key, item.stamp);
            return;
        };
        if let Some(text) = item.data.as_str() {
            job.done.load(chunk, text);
            let done = &job.done;
            job.pending.retain(|i| !done.has(*i));
            job.begun |= done.count() > 0;
            self.index_job(&id);
        }
        self.writer.progress.insert((id, chunk), item.stamp);
    }

    /// A time of day on record, in seconds since 1970, on this process's steady clock. Only hints rest on
    /// it: the time of day may be off.
    fn on_steady_clock(&self, time_of_day_s: u64) -> Millis {
        Millis((time_of_day_s as i64).saturating_mul(1000)) - Millis(self.day_ms as i64)
    }

    /// Small pages first: a machine that a former leader was moving from a page that had grown too large
    /// is on both, and stays on the small one.
    fn load_host_pages(&mut self, now: Millis, mut pages: Vec<Item>) -> Result<(), Unreadable> {
        let listed = |page: &Item| {
            page.data
                .get("hosts")
                .and_then(|h| h.as_object()?.len().into())
        };
        pages.sort_by_key(|page| listed(page).unwrap_or(0));
        for page in &pages {
            self.load_hosts(now, page)?;
        }
        self.split_host_pages();
        Ok(())
    }

    fn load_hosts(&mut self, now: Millis, item: &Item) -> Result<(), Unreadable> {
        let Some(page) = parse_page(&item.key, HOSTS) else {
            return Ok(());
        };
        let record: HostsPage = read(item)?;
        let all = record.hosts.len();
        let new = |id: &&HostId| !self.machines.contains_key(*id);
        let hosts: BTreeSet<HostId> = record.hosts.keys().filter(new).cloned().collect();
        let twice = hosts.len() < all;
        self.writer.hosts.found(page, item.stamp, hosts.clone());
        if twice {
            self.writer.hosts.changed(now, page);
        }
        for (id, note) in record.hosts {
            if !hosts.contains(&id) {
                continue;
            }
            let Some((machine_type, zone, spot)) = record.kinds.get(note.0).cloned() else {
                return Err(Unreadable {
                    key: item.key.clone(),
                    why: format!("{id} is of no kind that the page names"),
                });
            };
            let mut since = now;
            if note.1 > 0 {
                since = self.on_steady_clock(note.1).min(now);
            }
            let mut m = Machine::new(
                id.clone(),
                machine_type.clone(),
                zone,
                spot,
                self.capacity(&machine_type),
                since,
            );
            m.answered = now;
            m.direct_after = now;
            m.full_until = now;
            m.page = Some(page);
            m.noted = true;
            if note.2 {
                m.state = MachineState::Up;
            }
            m.images = note
                .3
                .iter()
                .filter_map(|i| record.images.get(*i).cloned())
                .collect();
            self.machines.insert(id, m);
        }
        Ok(())
    }

    fn load_intents(&mut self, now: Millis, item: &Item) -> Result<(), Unreadable> {
        let Some(page) = parse_page(&item.key, INTENTS) else {
            return Ok(());
        };
        let record: IntentsPage = read(item)?;
        self.writer.intents.found(page, item.stamp);
        for (host, task, attempt) in record.starts() {
            let Some(m) = self.machines.get_mut(&host) else {
                // Proof 4, on record: a start is written only once its machine's page is, and a
                // machine leaves its page only once the cloud has confirmed that it is gone.
                self.writer.intents.outdated(now, page);
                continue;
            };
            // It had been given work: its worker has reported.
            m.state = MachineState::Up;
            let key = (task.clone(), attempt);
            let known = self.machines.get(&host);
            if known.is_some_and(|m| m.starts.contains_key(&key)) {
                continue;
            }
            let placed = record.placed_s.get(&attempt);
            let since = placed.map_or(now, |s| self.on_steady_clock(*s).min(now));
            let mut s = self.new_start(&host, task.clone(), attempt, since);
            if let Some(takes) = record.jobs.get(&task.job) {
                s.need = takes.amount();
                s.team = self.policy.team_no(&takes.0);
            }
            s.page = Some(page);
            s.inherited = true;
            self.put_start(&host, s);
            self.add_place(&host, &task);
            self.writer.intents.holds(page, StartKey::new(&host, &key));
        }
        Ok(())
    }
}
