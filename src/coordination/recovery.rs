//! Taking over: the ledgers are rebuilt from durable records, at a cost in proportion to open jobs
//! and machines. Whatever has an intent counts as running until proven otherwise; what has none
//! was never launched and may start at once.

use super::fleet::Fleet;
use super::graph::Graph;
use super::writer::Writer;
use super::{Core, Policy};
use crate::bookkeeping::ledger::{Job, Machine, Standing, Start};
use crate::bookkeeping::records::{
    parse_progress_key, FinalRecord, IntentRecord, OpenRecord, INTENTS,
};
use crate::ids::{Baton, HostId, JobId, Millis, Stamp};
use crate::protocol::cloud::RigInfo;
use crate::protocol::state::Item;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What a new leader has read, all of it after its own leader key was written.
#[derive(Debug, Default)]
pub struct Inheritance {
    pub open: Vec<(OpenRecord, Stamp, Millis)>,
    pub progress: Vec<Item>,
    pub intents: Vec<Item>,
    /// Finish marks of jobs that intents name and that are no longer open.
    pub closed: Vec<FinalRecord>,
    pub rigs: Vec<RigInfo>,
    pub hints: Option<Item>,
    /// The time of day at the steady clock's zero, in milliseconds.
    pub day_ms: u64,
}

/// Jobs named by intents that aren't open: their finish marks must be read too.
pub fn closed_jobs_named(open: &[(OpenRecord, Stamp, Millis)], intents: &[Item]) -> Vec<JobId> {
    let open: BTreeSet<&JobId> = open.iter().map(|(r, _, _)| &r.spec.id).collect();
    let named: BTreeSet<JobId> = intents
        .iter()
        .filter_map(|i| serde_json::from_value::<IntentRecord>(i.data.clone()).ok())
        .flat_map(|r| r.tasks.into_keys())
        .collect();
    named.into_iter().filter(|j| !open.contains(j)).collect()
}

impl Core {
    /// The core of a new leadership.
    pub fn take_over(
        policy: Arc<Policy>,
        baton: Baton,
        lead_stamp: Stamp,
        now: Millis,
        found: Inheritance,
    ) -> Core {
        let state = &policy.facts.state;
        let mut core = Core {
            fleet: Fleet::new(policy.facts.cloud.rps),
            writer: Writer::new(state.write_rps),
            policy: policy.clone(),
            baton,
            lead_stamp,
            day_ms: found.day_ms,
            began: now,
            rigs: BTreeMap::new(),
            jobs: BTreeMap::new(),
            graph: Graph::default(),
            machines: BTreeMap::new(),
            gone: BTreeSet::new(),
            effects: Vec::new(),
            next_seq: 0,
            next_try: 0,
            dirty: true,
            last_recheck: now,
            observed: BTreeMap::new(),
            demand: BTreeMap::new(),
            reserved: BTreeMap::new(),
            standby_missing: Vec::new(),
        };
        core.rigs = found
            .rigs
            .into_iter()
            .map(|r| (r.name.clone(), r))
            .collect();
        for (record, stamp, submitted) in found.open {
            core.job_opened(record, stamp, submitted);
        }
        if let Some(item) = found.hints {
            core.writer.hints = item.stamp;
            if let Ok(hints) = serde_json::from_value(item.data) {
                core.load_hints(now, hints);
            }
        }
        for mark in found.closed {
            // Over, but its tasks may still be somewhere and count for their team.
            let id = mark.spec.id.clone();
            let mut job = Job::new(mark.spec, Stamp(0), now);
            job.over = true;
            job.pending.clear();
            core.jobs.insert(id, job);
        }
        for item in found.progress {
            core.load_progress(item);
        }
        for item in found.intents {
            core.load_intents(now, item);
        }
        core
    }

    fn load_progress(&mut self, item: Item) {
        let Some((id, chunk)) = parse_progress_key(&item.key) else {
            return;
        };
        let open = self.jobs.get_mut(&id).filter(|j| !j.over);
        let Some(job) = open else {
            self.writer.litter.insert(item.key, item.stamp);
            return;
        };
        if let Some(text) = item.data.as_str() {
            job.done.load(chunk, text);
            let done = &job.done;
            job.pending.retain(|i| !done.has(*i));
        }
        self.writer.progress.insert((id, chunk), item.stamp);
    }

    fn load_intents(&mut self, now: Millis, item: Item) {
        let Some(host) = item.key.strip_prefix(INTENTS) else {
            return;
        };
        let host = HostId::from(host);
        let Ok(record) = serde_json::from_value::<IntentRecord>(item.data) else {
            tracing::error!(key = %item.key, "an intent record can't be read");
            return;
        };
        let mut m = Machine::new(
            host.clone(),
            record.rig.clone(),
            record.site.clone(),
            record.spot,
            now,
        );
        if record.up || !record.tasks.is_empty() {
            m.standing = Standing::Up;
        }
        if record.rented_ms > 0 {
            let since = Millis(record.rented_ms as i64 - self.day_ms as i64);
            m.since = since.min(now);
        }
        m.images.clone_from(&record.images);
        m.stamp = item.stamp;
        for (piece, attempt) in record.starts() {
            let mut s = Start::planned(piece.clone(), attempt, now);
            s.durable = true;
            s.inherited = true;
            if let Some(job) = self.jobs.get_mut(&piece.job) {
                let places = job.places.entry(piece.index).or_default();
                if !places.contains(&host) {
                    places.push(host.clone());
                }
                job.pending.remove(&piece.index);
            }
            m.saved.insert((piece.clone(), attempt));
            m.starts.insert((piece, attempt), s);
        }
        if m.starts.is_empty() {
            m.idle_since = Some(now);
        }
        self.machines.insert(host, m);
    }
}
