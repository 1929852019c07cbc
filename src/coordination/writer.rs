//! Durable writes: one transaction at a time, so that each sees the outcome of the one before.
//!
//! Every write is guarded by the leader key's version and by the record's own: applied late, it
//! can do nothing. After an unclear outcome the keys are read again before anything else is
//! written.

mod limits;
mod outcomes;

use super::{Core, Effect};
use crate::ids::{HostId, Image, JobId, MachineType, Millis, PageNo, Stamp, Token, Zone};
use crate::protocol::state::{Change, Guard, Txn};
use crate::protocol::users::JobPhase;
use crate::settings::StateLimits;
use crate::storage::ledger::{DirectCarrier, Job, Machine, MachineState, Start};
use crate::storage::pages::{HostPages, IntentPages, Measure, StartKey};
use crate::storage::records::{
    edge_list_key, edge_page_key, final_key, hosts_key, intents_key, open_key, progress_key,
    FinalRecord, HostNote, HostsPage, IntentsPage, JobTakes, LeadRecord, CHUNK, HINTS, LEAD, TOKEN,
};
use crate::transport::budget::Budget;
use limits::WriteLimits;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// One thing that a transaction does.
#[derive(Debug, Clone)]
enum Work {
    /// A page of intents holds these, and nothing else.
    Intents { page: PageNo, keys: Vec<StartKey> },
    /// A page of intents goes: nothing on it is true any more.
    DropIntents { page: PageNo },
    /// A page of machines lists these.
    Hosts {
        page: PageNo,
        hosts: BTreeSet<HostId>,
    },
    /// Done tasks of one chunk.
    Progress {
        job: JobId,
        chunk: u32,
        tasks: BTreeSet<u32>,
    },
    /// A job is done.
    Finish { job: JobId },
    /// A job is cancelled because a job that it needs is.
    Cancel { job: JobId },
    /// A progress record left by a job that is over.
    DropProgress { key: String },
    /// A page of producers left by a job that is over.
    DropEdges { key: String },
    /// What was seen of classes.
    Hints,
    /// Our own token is raised.
    Raise { token: Token },
}

#[derive(Debug)]
enum Flight {
    None,
    Writing {
        seq: u64,
        txn: Txn,
        works: Vec<Work>,
        at: Millis,
    },
    Reading {
        seq: u64,
        keys: Vec<String>,
        at: Millis,
    },
}

/// The writer's memory.
#[derive(Debug)]
pub struct Writer {
    flight: Flight,
    limits: WriteLimits,
    budget: Budget,
    not_before: Millis,
    /// When the last transaction was begun.
    last: Millis,
    /// Where starts and machines are recorded.
    pub(crate) intents: IntentPages,
    pub(crate) hosts: HostPages,
    /// Versions of progress records, and when progress was last written.
    pub(crate) progress: BTreeMap<(JobId, u32), Stamp>,
    progress_at: Millis,
    /// Progress records of jobs that are over.
    pub(crate) orphaned_progress: BTreeMap<String, Stamp>,
    /// Pages of producers of jobs that are over.
    orphaned_edges: BTreeSet<String>,
    /// The version of the hints, when they were last written, and whether there is news.
    pub(crate) hints: Stamp,
    hints_at: Millis,
    pub(crate) hints_news: bool,
    /// When our token was last raised.
    raised_at: Millis,
}

/// Hints are written at most this often.
const HINTS_EVERY: Millis = Millis(10_000);
/// Transactions are begun at most this often: what is ready meanwhile goes together.
const WRITE_EVERY: Millis = Millis(100);
/// Progress is written this often: until then a tombstone keeps it, or else the task's result.
const PROGRESS_EVERY: Millis = Millis(2_000);
/// A stale record waits this long for a write that is needed anyway.
const STALE: Millis = Millis(4_000);
/// Hints about machines wait longer.
const STALE_HOSTS: Millis = Millis(15_000);
/// Our token is raised this often while tombstones wait for it, and at once when one machine has so
/// many.
const RAISE_EVERY: Millis = Millis(60_000);
const RAISE_SOON: Millis = Millis(5_000);
const RAISE_AT: usize = 150;
/// The pause after a write that the service refused.
const REFUSED: Millis = Millis(300);
/// An answer this late is taken for none, should the runtime have lost it.
const LOST: Millis = Millis(8_000);
/// Images named for each machine: the most that fits.
const HOST_IMAGES: [usize; 4] = [16, 10, 6, 3];

impl Writer {
    /// A writer that keeps within its part of the write rate.
    pub fn new(state: &StateLimits, now: Millis) -> Writer {
        // The rest is left to submissions, cancellations and the lease.
        let mine = state.write_rps * 0.7;
        let limits = WriteLimits::new(state);
        Writer {
            flight: Flight::None,
            limits,
            budget: Budget::new(mine, mine),
            not_before: Millis(0),
            last: Millis(i64::MIN / 4),
            intents: IntentPages::default(),
            hosts: HostPages::new(limits.value_bytes),
            progress: BTreeMap::new(),
            progress_at: Millis(0),
            orphaned_progress: BTreeMap::new(),
            orphaned_edges: BTreeSet::new(),
            hints: Stamp(0),
            hints_at: Millis(0),
            hints_news: false,
            raised_at: now,
        }
    }

    /// The pages of producers of a job that is over are swept when there is time.
    pub(crate) fn orphan_edges(&mut self, id: &JobId, pages: u32) {
        if pages > 0 {
            self.orphaned_edges.insert(edge_list_key(id));
            let keys = (0..pages).map(|page| edge_page_key(id, page));
            self.orphaned_edges.extend(keys);
        }
    }

    /// Whether a write about the job is under way.
    pub(crate) fn mentions(&self, id: &JobId) -> bool {
        match &self.flight {
            Flight::Writing { works, .. } => works.iter().any(|w| match w {
                Work::Progress { job, .. } | Work::Finish { job } | Work::Cancel { job } => {
                    job == id
                }
                _ => false,
            }),
            _ => false,
        }
    }
}

/// A transaction being put together within the service's limits.
struct Draft {
    guards: BTreeMap<String, Stamp>,
    apply: Vec<Change>,
    works: Vec<Work>,
    most_ops: usize,
    bytes: usize,
}

impl Draft {
    /// Whether so many more guards still fit.
    fn guards_fit(&self, more: usize) -> bool {
        self.guards.len() + more <= self.most_ops * 4
    }

    /// The starts and the pages of intents that are drafted already.
    fn launches(&self) -> impl Iterator<Item = &StartKey> {
        self.works.iter().flat_map(|w| match w {
            Work::Intents { keys, .. } => keys.as_slice(),
            _ => &[],
        })
    }
    fn intent_pages(&self) -> impl Iterator<Item = PageNo> + '_ {
        self.works.iter().filter_map(|w| match w {
            Work::Intents { page, .. } | Work::DropIntents { page } => Some(*page),
            _ => None,
        })
    }

    /// Adds work if it still fits; false if not.
    fn add(&mut self, guards: Vec<(String, Stamp)>, apply: Vec<Change>, work: Work) -> bool {
        let size: usize = apply
            .iter()
            .map(|c| serde_json::to_string(c).map_or(usize::MAX / 4, |s| s.len()))
            .sum::<usize>()
            + guards.len() * 100;
        let new = guards
            .iter()
            .filter(|(k, _)| !self.guards.contains_key(k))
            .count();
        let fits = self.apply.len() + apply.len() <= self.most_ops
            && self.guards.len() + new <= self.most_ops * 4
            && self.bytes + size <= MAX_TXN_BYTES;
        if !fits {
            return false;
        }
        self.bytes += size;
        self.guards.extend(guards);
        self.apply.extend(apply);
        self.works.push(work);
        true
    }

    /// Adds the end of an open job, whose record then gives way to the mark; false if it doesn't fit.
    fn close(&mut self, id: &JobId, stamp: Stamp, mark: &FinalRecord, work: Work) -> bool {
        let Ok(data) = serde_json::to_value(mark) else {
            return true;
        };
        let guards = vec![(open_key(id), stamp), (final_key(id), Stamp(0))];
        let apply = vec![
            Change::Delete {
                delete: open_key(id),
            },
            Change::put(final_key(id), data),
        ];
        self.add(guards, apply, work)
    }
}

/// Operations that finish or cancel one job.
const FINISH_OPS: usize = 2;
/// The service takes 64 KiB in one transaction.
const MAX_TXN_BYTES: usize = 56 * 1024;

impl Core {
    /// Starts the next transaction if none is under way and there is something to write.
    pub(crate) fn write(&mut self, now: Millis) {
        match &self.writer.flight {
            Flight::None => {}
            Flight::Writing { seq, at, .. } if now - *at > LOST => {
                let seq = *seq;
                self.write_unclear(now, seq, &[]);
                return;
            }
            Flight::Reading { keys, at, .. } if now - *at > LOST => {
                let keys = keys.clone();
                self.read_again(now, keys);
                return;
            }
            _ => return,
        }
        if now < self.writer.not_before || now - self.writer.last < WRITE_EVERY {
            return;
        }
        let mut draft = Draft {
            guards: BTreeMap::from([(LEAD.to_string(), self.lead.stamp)]),
            apply: Vec::new(),
            works: Vec::new(),
            most_ops: self.writer.limits.ops,
            bytes: 0,
        };
        self.draft_raise(now, &mut draft);
        self.draft_hosts(now, false, &mut draft);
        // Every step of a chain waits for a finish mark: those go first.
        self.draft_finishes_of_producers(now, &mut draft);
        // Launches leave room for finishes: neither starves the other.
        self.draft_launches(&mut draft, FINISH_OPS);
        self.draft_finishes(now, &mut draft);
        self.draft_cancellations(&mut draft);
        self.draft_launches(&mut draft, 0);
        // What may wait takes only what is left of the rate.
        if self.writer.budget.left(now) > 0.4 {
            self.draft_progress(now, &mut draft);
            self.draft_sweeping(now, &mut draft);
            self.draft_hosts(now, true, &mut draft);
            self.draft_hints(now, &mut draft);
        }
        if draft.apply.is_empty() || !self.writer.budget.take(now, draft.apply.len() as f64) {
            return;
        }
        let txn = Txn {
            guards: draft
                .guards
                .into_iter()
                .map(|(key, stamp)| Guard { key, stamp })
                .collect(),
            apply: draft.apply,
        };
        let seq = self.seq();
        self.writer.last = now;
        self.writer.flight = Flight::Writing {
            seq,
            txn: txn.clone(),
            works: draft.works,
            at: now,
        };
        self.effects.push(Effect::Write { seq, txn });
    }

    /// A leader raises its own token from time to time, so that tombstones of direct launches can be
    /// cleared: a copy of the command that launched carries a lower one by then.
    fn draft_raise(&self, now: Millis, draft: &mut Draft) {
        let since = now - self.writer.raised_at;
        if since < RAISE_SOON {
            return;
        }
        let tombs = |m: &Machine| m.starts.len() - m.live as usize;
        let blocked = |s: &Start| s.ended() && s.launched_with == Some(self.lead.token);
        let lost = |m: &Machine| {
            m.starts
                .values()
                .any(|s| matches!(s.direct, DirectCarrier::Lost(..)))
        };
        let soon = self.machines.values().any(|m| tombs(m) >= RAISE_AT);
        let due = since >= RAISE_EVERY
            && self
                .machines
                .values()
                .any(|m| lost(m) || (tombs(m) > 0 && m.starts.values().any(blocked)));
        if !soon && !due {
            return;
        }
        let token = Token(self.lead.token.0 + 1);
        let record = LeadRecord {
            host_name: self.lead.host_name.clone(),
            token,
        };
        let Ok(data) = serde_json::to_value(&record) else {
            return;
        };
        let apply = vec![
            Change::Put {
                put: LEAD.into(),
                data,
                lease: Some(self.lead.lease),
            },
            Change::put(TOKEN.into(), token.0.into()),
        ];
        let guards = vec![(TOKEN.to_string(), self.lead.token_stamp)];
        draft.add(guards, apply, Work::Raise { token });
    }

    fn draft_hosts(&self, now: Millis, lazy: bool, draft: &mut Draft) {
        for page in self.writer.hosts.due(now, STALE_HOSTS, lazy) {
            let (hosts, stamp) = self.writer.hosts.page(page);
            let key = hosts_key(page);
            let data = self.hosts_page(&hosts);
            let apply = vec![Change::put(key.clone(), data)];
            if !draft.add(vec![(key, stamp)], apply, Work::Hosts { page, hosts }) {
                return;
            }
        }
    }

    /// A page of machines as it is written: with hints about images, if they fit.
    fn hosts_page(&self, hosts: &BTreeSet<HostId>) -> serde_json::Value {
        let most = self.writer.limits.value_bytes;
        for images in HOST_IMAGES {
            let page = self.hosts_page_with(hosts, images);
            if page.to_string().len() <= most {
                return page;
            }
        }
        self.hosts_page_with(hosts, 0)
    }

    fn hosts_page_with(&self, hosts: &BTreeSet<HostId>, most_images: usize) -> serde_json::Value {
        let mut page = HostsPage::default();
        let mut kinds: BTreeMap<(MachineType, Zone, bool), usize> = BTreeMap::new();
        let mut images: BTreeMap<Image, usize> = BTreeMap::new();
        for m in hosts.iter().filter_map(|h| self.machines.get(h)) {
            let kind = (m.rig.clone(), m.site.clone(), m.spot);
            let kind = *kinds.entry(kind.clone()).or_insert_with(|| {
                page.kinds.push(kind);
                page.kinds.len() - 1
            });
            let held = m.images.iter().rev().take(most_images).rev();
            let held = held
                .map(|(image, gb)| {
                    *images.entry(image.clone()).or_insert_with(|| {
                        page.images.push((image.clone(), *gb));
                        page.images.len() - 1
                    })
                })
                .collect();
            let rented_s = self.day_ms.saturating_add_signed(m.since.0) / 1000;
            let up = m.state != MachineState::Booting;
            page.hosts
                .insert(m.id.clone(), HostNote(kind, rented_s, up, held));
        }
        serde_json::to_value(&page).unwrap_or_default()
    }

    fn draft_finishes(&self, now: Millis, draft: &mut Draft) {
        for (id, job) in self.jobs_in(&self.indexes.complete) {
            if !self.graph.has_consumers(id) && !self.draft_finish(now, id, job, draft) {
                return;
            }
        }
    }

    /// Finishes of jobs that others wait for, in at most half of a transaction: a burst of them must not
    /// hold up launches.
    fn draft_finishes_of_producers(&self, now: Millis, draft: &mut Draft) {
        let most = (draft.most_ops / 2).max(FINISH_OPS);
        for (id, job) in self.jobs_in(&self.indexes.complete) {
            if draft.apply.len() + FINISH_OPS > most {
                return;
            }
            if self.graph.has_consumers(id) && !self.draft_finish(now, id, job, draft) {
                return;
            }
        }
    }

    fn draft_finish(&self, now: Millis, id: &JobId, job: &Job, draft: &mut Draft) -> bool {
        let mark = FinalRecord {
            phase: JobPhase::Done,
            pieces: job.spec.pieces,
            at_ms: self
                .graph
                .has_consumers(id)
                .then(|| self.day_ms.saturating_add_signed(now.0)),
        };
        draft.close(id, job.stamp, &mark, Work::Finish { job: id.clone() })
    }

    /// Jobs that need a cancelled one, directly or through others.
    fn draft_cancellations(&self, draft: &mut Draft) {
        for (id, job) in self.jobs_in(&self.indexes.ancestor_cancelled) {
            let mark = FinalRecord::cancelled(job.spec.pieces);
            if !draft.close(id, job.stamp, &mark, Work::Cancel { job: id.clone() }) {
                return;
            }
        }
    }

    fn jobs_in<'a>(
        &'a self,
        ids: &'a BTreeSet<JobId>,
    ) -> impl Iterator<Item = (&'a JobId, &'a Job)> {
        ids.iter().filter_map(|id| Some((id, self.jobs.get(id)?)))
    }

    /// Whether a start is planned and not yet written.
    fn unwritten(&self, key: &StartKey) -> bool {
        let m = self.machines.get(&key.host);
        let start = m.and_then(|m| m.starts.get(&(key.piece.clone(), key.attempt)));
        start.is_some_and(|s| s.page.is_none() && s.untouched())
    }

    /// Starts that wait for their intent, in the order in which they were planned, packed into pages;
    /// `spare` operations are left to others.
    fn draft_launches(&mut self, draft: &mut Draft, spare: usize) {
        let mut intents = std::mem::take(&mut self.writer.intents);
        intents.drop_settled(|k| self.unwritten(k));
        self.pack_launches(&intents, draft, spare);
        self.writer.intents = intents;
    }

    fn pack_launches(&self, intents: &IntentPages, draft: &mut Draft, spare: usize) {
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
                let id = &k.piece.job;
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

    fn measure(&self, keys: &[StartKey]) -> Measure {
        let mut size = Measure::default();
        for k in keys {
            let team = self.jobs.get(&k.piece.job).map(|j| j.spec.team.as_str());
            size.add(k, team.unwrap_or_default());
        }
        size
    }

    fn intents_page(&self, keys: &[StartKey]) -> serde_json::Value {
        let mut page = IntentsPage::default();
        for k in keys {
            page.add(&k.host, &k.piece, k.attempt);
            if let Some(since) = self.placed_at(k) {
                let placed_s = self.day_ms.saturating_add_signed(since.0) / 1000;
                page.placed_s.entry(k.attempt).or_insert(placed_s);
            }
            if !page.jobs.contains_key(&k.piece.job) {
                page.jobs.insert(k.piece.job.clone(), self.takes(k));
            }
        }
        serde_json::to_value(&page).unwrap_or_default()
    }

    /// When a start that is on a page was placed.
    fn placed_at(&self, key: &StartKey) -> Option<Millis> {
        let machine = self.machines.get(&key.host)?;
        let start = machine.starts.get(&(key.piece.clone(), key.attempt))?;
        Some(start.since)
    }

    /// What a start's job takes: from the job, or, if that is over and forgotten, from the start.
    fn takes(&self, k: &StartKey) -> JobTakes {
        if let Some(j) = self.jobs.get(&k.piece.job) {
            return JobTakes::of(&j.spec);
        }
        let m = self.machines.get(&k.host);
        let s = m.and_then(|m| m.starts.get(&(k.piece.clone(), k.attempt)));
        let team = self.policy.team(s.and_then(|s| s.team));
        let need = s.map(|s| s.need).unwrap_or_default();
        JobTakes(
            team.map(|t| t.name.clone()).unwrap_or_default(),
            need.cpus,
            need.gpus,
            need.ram_gb,
        )
    }

    fn draft_progress(&self, now: Millis, draft: &mut Draft) {
        if now - self.writer.progress_at < PROGRESS_EVERY {
            return;
        }
        // Most unsaved first: it is they whose tombstones fill reports.
        let mut jobs: Vec<(&JobId, &Job)> = self.jobs_in(&self.indexes.unsaved).collect();
        jobs.sort_by_key(|(id, j)| (Reverse(j.unsaved.len()), *id));
        for (id, job) in jobs {
            if job.complete() {
                continue;
            }
            let chunks: BTreeSet<u32> = job.unsaved.iter().map(|i| i / CHUNK).collect();
            for chunk in chunks {
                let key = progress_key(id, chunk);
                let stamp = self
                    .writer
                    .progress
                    .get(&(id.clone(), chunk))
                    .copied()
                    .unwrap_or_default();
                let guards = vec![(open_key(id), job.stamp), (key.clone(), stamp)];
                let apply = vec![Change::put(key, job.done.chunk(chunk).into())];
                let tasks = job
                    .unsaved
                    .range(chunk * CHUNK..(chunk + 1) * CHUNK)
                    .copied()
                    .collect();
                let work = Work::Progress {
                    job: id.clone(),
                    chunk,
                    tasks,
                };
                if !draft.add(guards, apply, work) {
                    return;
                }
            }
        }
    }

    /// Records that say more than is true: harmless, so they wait for a quiet moment.
    fn draft_sweeping(&self, now: Millis, draft: &mut Draft) {
        for (key, stamp) in &self.writer.orphaned_progress {
            let apply = vec![Change::Delete {
                delete: key.clone(),
            }];
            let work = Work::DropProgress { key: key.clone() };
            if !draft.add(vec![(key.clone(), *stamp)], apply, work) {
                return;
            }
        }
        // Without a guard of their own: where there is a finish mark nobody writes them again.
        for key in &self.writer.orphaned_edges {
            let apply = vec![Change::Delete {
                delete: key.clone(),
            }];
            let work = Work::DropEdges { key: key.clone() };
            if !draft.add(Vec::new(), apply, work) {
                return;
            }
        }
        let taken: BTreeSet<PageNo> = draft.intent_pages().collect();
        for page in self.writer.intents.stale(now, STALE) {
            let (keys, stamp) = self.writer.intents.page(page);
            if taken.contains(&page) || !keys.is_empty() {
                continue;
            }
            let key = intents_key(page);
            let apply = vec![Change::Delete {
                delete: key.clone(),
            }];
            if !draft.add(vec![(key, stamp)], apply, Work::DropIntents { page }) {
                return;
            }
        }
    }

    fn draft_hints(&self, now: Millis, draft: &mut Draft) {
        let due = self.writer.hints_news && now - self.writer.hints_at > HINTS_EVERY;
        if let (true, Ok(data)) = (due, serde_json::to_value(self.hints(now))) {
            let small = data.to_string().len() <= self.writer.limits.value_bytes;
            if small {
                let apply = vec![Change::put(HINTS.into(), data)];
                draft.add(vec![(HINTS.into(), self.writer.hints)], apply, Work::Hints);
            }
        }
    }
}
