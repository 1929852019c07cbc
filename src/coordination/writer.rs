//! Durable writes: one transaction at a time, so that each sees the outcome of the one before.
//!
//! Every write is guarded by the leader key's version and by the record's own: applied late, it
//! can do nothing. After an unclear outcome the keys are read again before anything else is
//! written.

use super::{Core, Effect};
use crate::bookkeeping::ledger::Standing;
use crate::bookkeeping::records::{
    final_key, intents_key, open_key, progress_key, FinalRecord, CHUNK, HINTS, LEAD,
};
use crate::ids::{Epoch, HostId, JobId, Millis, PieceId, Stamp, Try};
use crate::protocol::state::{Change, Guard, Item, Txn};
use crate::protocol::users::JobPhase;
use crate::transport::budget::Budget;
use std::collections::{BTreeMap, BTreeSet};

/// One thing that a transaction does.
#[derive(Debug, Clone)]
enum Work {
    /// A machine's intents become these.
    Intents {
        host: HostId,
        starts: BTreeSet<(PieceId, Try)>,
    },
    /// A machine's record goes: the machine is gone.
    DropIntents { host: HostId },
    /// Done tasks of one chunk.
    Progress {
        job: JobId,
        chunk: u32,
        tasks: BTreeSet<u32>,
    },
    /// A job is done.
    Finish { job: JobId },
    /// A progress record left by a job that is over.
    DropProgress { key: String },
    /// What was seen of classes.
    Hints,
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
    budget: Budget,
    not_before: Millis,
    /// Versions of progress records.
    pub(crate) progress: BTreeMap<(JobId, u32), Stamp>,
    /// Records of machines that are gone.
    swept: BTreeMap<HostId, Stamp>,
    /// Progress records of jobs that are over.
    pub(crate) litter: BTreeMap<String, Stamp>,
    /// The version of the hints, when they were last written, and whether there is news.
    pub(crate) hints: Stamp,
    hints_at: Millis,
    pub(crate) hints_news: bool,
}

/// Hints are written at most this often.
const HINTS_EVERY: Millis = Millis(10_000);

/// A stale record waits this long for a write that is needed anyway.
const STALE: Millis = Millis(4_000);
/// The pause after a write that the service refused.
const REFUSED: Millis = Millis(300);
/// An answer this late is taken for none, should the duty have lost it.
const LOST: Millis = Millis(8_000);

impl Writer {
    /// A writer that keeps within its part of the write rate.
    pub fn new(write_rps: f64) -> Writer {
        // The rest is left to submissions, cancellations and the lease.
        let mine = write_rps * 0.7;
        Writer {
            flight: Flight::None,
            budget: Budget::new(mine, mine),
            not_before: Millis(0),
            progress: BTreeMap::new(),
            swept: BTreeMap::new(),
            litter: BTreeMap::new(),
            hints: Stamp(0),
            hints_at: Millis(0),
            hints_news: false,
        }
    }

    /// The record of a machine that is gone is to be deleted.
    pub(crate) fn sweep(&mut self, host: &HostId, stamp: Stamp) {
        self.swept.insert(host.clone(), stamp);
    }

    /// Whether a write about the job is under way.
    pub(crate) fn mentions(&self, id: &JobId) -> bool {
        match &self.flight {
            Flight::Writing { works, .. } => works.iter().any(|w| match w {
                Work::Progress { job, .. } | Work::Finish { job } => job == id,
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
}

/// The service takes 64 KiB in one transaction.
const MAX_TXN_BYTES: usize = 56 * 1024;

impl Core {
    /// Starts the next transaction if none is under way and there is something to write.
    pub(crate) fn write(&mut self, now: Millis) {
        match &self.writer.flight {
            Flight::None => {}
            Flight::Writing { seq, at, .. } if now - *at > LOST => {
                let seq = *seq;
                self.write_unclear(now, seq);
                return;
            }
            Flight::Reading { keys, at, .. } if now - *at > LOST => {
                let keys = keys.clone();
                self.read_again(now, keys);
                return;
            }
            _ => return,
        }
        if now < self.writer.not_before {
            return;
        }
        let mut draft = Draft {
            guards: BTreeMap::from([(LEAD.to_string(), self.lead_stamp)]),
            apply: Vec::new(),
            works: Vec::new(),
            most_ops: self.policy.facts.state.txn_ops,
            bytes: 0,
        };
        self.draft_finishes(&mut draft);
        self.draft_launches(&mut draft);
        self.draft_progress(&mut draft);
        self.draft_sweeping(now, &mut draft);
        self.draft_hints(now, &mut draft);
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
        self.writer.flight = Flight::Writing {
            seq,
            txn: txn.clone(),
            works: draft.works,
            at: now,
        };
        self.effects.push(Effect::Write { seq, txn });
    }

    fn draft_finishes(&self, draft: &mut Draft) {
        for (id, job) in &self.jobs {
            if job.over || !job.complete() {
                continue;
            }
            let mark = FinalRecord {
                phase: JobPhase::Done,
                spec: job.spec.clone(),
            };
            let Ok(data) = serde_json::to_value(&mark) else {
                continue;
            };
            let guards = vec![(open_key(id), job.stamp), (final_key(id), Stamp(0))];
            let apply = vec![
                Change::Delete {
                    delete: open_key(id),
                },
                Change::put(final_key(id), data),
            ];
            if !draft.add(guards, apply, Work::Finish { job: id.clone() }) {
                return;
            }
        }
    }

    fn draft_launches(&self, draft: &mut Draft) {
        for m in self.machines.values() {
            if m.starts.values().all(|s| s.durable) {
                continue;
            }
            let mut guards = vec![(intents_key(&m.id), m.stamp)];
            let mut starts: BTreeSet<(PieceId, Try)> = m
                .wanted_intents()
                .filter(|s| s.durable)
                .map(|s| (s.piece.clone(), s.attempt))
                .collect();
            for s in m.starts.values().filter(|s| !s.durable) {
                let Some(job) = self.jobs.get(&s.piece.job).filter(|j| !j.over) else {
                    continue;
                };
                // The open record's version is the guard: a job that its user cancelled meanwhile
                // can't be launched.
                let guard = (open_key(&s.piece.job), job.stamp);
                if !guards.contains(&guard) {
                    if guards.len() + 1 >= draft.most_ops * 4 {
                        continue;
                    }
                    guards.push(guard);
                }
                starts.insert((s.piece.clone(), s.attempt));
            }
            let Ok(data) = serde_json::to_value(m.record(self.day_ms, starts.iter())) else {
                continue;
            };
            let apply = vec![Change::put(intents_key(&m.id), data)];
            let work = Work::Intents {
                host: m.id.clone(),
                starts,
            };
            if !draft.add(guards, apply, work) {
                return;
            }
        }
    }

    fn draft_progress(&self, draft: &mut Draft) {
        for (id, job) in &self.jobs {
            if job.over || job.unsaved.is_empty() || job.complete() {
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
        for (host, stamp) in &self.writer.swept {
            let key = intents_key(host);
            let apply = vec![Change::Delete {
                delete: key.clone(),
            }];
            let work = Work::DropIntents { host: host.clone() };
            if !draft.add(vec![(key, *stamp)], apply, work) {
                return;
            }
        }
        for (key, stamp) in &self.writer.litter {
            let apply = vec![Change::Delete {
                delete: key.clone(),
            }];
            let work = Work::DropProgress { key: key.clone() };
            if !draft.add(vec![(key.clone(), *stamp)], apply, work) {
                return;
            }
        }
        for m in self.machines.values() {
            // A machine just rented gets a record at once: a new leader that didn't know of it would
            // rent another in its place, for the cloud's list lags.
            let new = m.stamp == Stamp(0) && m.standing != Standing::Returning;
            let ripe = m.stale_since.is_some_and(|t| now - t > STALE) && m.stamp != Stamp(0);
            if !(ripe || new) || m.starts.values().any(|s| !s.durable) {
                continue;
            }
            let starts: BTreeSet<(PieceId, Try)> = m
                .wanted_intents()
                .map(|s| (s.piece.clone(), s.attempt))
                .collect();
            if starts == m.saved && !new {
                continue;
            }
            let Ok(data) = serde_json::to_value(m.record(self.day_ms, starts.iter())) else {
                continue;
            };
            let key = intents_key(&m.id);
            let apply = vec![Change::put(key.clone(), data)];
            let work = Work::Intents {
                host: m.id.clone(),
                starts,
            };
            if !draft.add(vec![(key, m.stamp)], apply, work) {
                return;
            }
        }
    }

    fn draft_hints(&self, now: Millis, draft: &mut Draft) {
        let due = self.writer.hints_news && now - self.writer.hints_at > HINTS_EVERY;
        if let (true, Ok(data)) = (due, serde_json::to_value(self.hints(now))) {
            let small = data.to_string().len() as f64 <= self.policy.facts.state.value_kb * 900.0;
            if small {
                let apply = vec![Change::put(HINTS.into(), data)];
                draft.add(vec![(HINTS.into(), self.writer.hints)], apply, Work::Hints);
            }
        }
    }

    pub(crate) fn written(&mut self, now: Millis, seq: u64, epoch: Epoch) {
        if !matches!(&self.writer.flight, Flight::Writing { seq: s, .. } if *s == seq) {
            return;
        }
        let Flight::Writing { works, .. } =
            std::mem::replace(&mut self.writer.flight, Flight::None)
        else {
            return;
        };
        let stamp = Stamp(epoch.0);
        for work in works {
            match work {
                Work::Intents { host, starts } => match self.machines.get_mut(&host) {
                    Some(m) => {
                        m.stamp = stamp;
                        m.stale_since = None;
                        for key in &starts {
                            match m.starts.get_mut(key) {
                                Some(s) => s.durable = true,
                                None => m.stale_since = Some(now),
                            }
                        }
                        m.saved = starts;
                    }
                    // The machine went while its record was written.
                    None => self.writer.sweep(&host, stamp),
                },
                Work::DropIntents { host } => {
                    self.writer.swept.remove(&host);
                }
                Work::Progress { job, chunk, tasks } => {
                    self.writer.progress.insert((job.clone(), chunk), stamp);
                    if let Some(j) = self.jobs.get_mut(&job) {
                        j.unsaved.retain(|i| !tasks.contains(i));
                        if j.over {
                            self.litter_of(&job);
                        }
                    }
                }
                Work::Finish { job } => {
                    tracing::debug!(job = %job, "done");
                    self.job_closed(now, &job);
                    self.litter_of(&job);
                }
                Work::DropProgress { key } => {
                    self.writer.litter.remove(&key);
                }
                Work::Hints => {
                    self.writer.hints = stamp;
                    self.writer.hints_at = now;
                    self.writer.hints_news = false;
                }
            }
        }
    }

    /// Progress records of a job that is over are swept when there is time.
    pub(crate) fn litter_of(&mut self, id: &JobId) {
        let keys: Vec<(JobId, u32)> = self
            .writer
            .progress
            .keys()
            .filter(|(j, _)| j == id)
            .cloned()
            .collect();
        for k in keys {
            if let Some(stamp) = self.writer.progress.remove(&k) {
                self.writer.litter.insert(progress_key(&k.0, k.1), stamp);
            }
        }
    }

    pub(crate) fn not_written(&mut self, now: Millis, seq: u64) {
        if matches!(&self.writer.flight, Flight::Writing { seq: s, .. } if *s == seq) {
            self.writer.flight = Flight::None;
            self.writer.not_before = now + REFUSED;
        }
    }

    pub(crate) fn write_unclear(&mut self, now: Millis, seq: u64) {
        let Flight::Writing { seq: s, txn, .. } = &self.writer.flight else {
            return;
        };
        if *s != seq {
            return;
        }
        let keys = txn.guards.iter().map(|g| g.key.clone()).collect();
        self.read_again(now, keys);
    }

    fn read_again(&mut self, now: Millis, keys: Vec<String>) {
        let seq = self.seq();
        self.writer.flight = Flight::Reading {
            seq,
            keys: keys.clone(),
            at: now,
        };
        self.effects.push(Effect::Reread { seq, keys });
    }

    /// The keys as they stand: versions are taken over, and what still differs is written again.
    /// A transaction that may yet be applied late carries the old versions: if it is, our next one
    /// fails and we come here again; if ours is first, the late one does nothing.
    pub(crate) fn reread(&mut self, now: Millis, seq: u64, items: Vec<(String, Option<Item>)>) {
        if !matches!(&self.writer.flight, Flight::Reading { seq: s, .. } if *s == seq) {
            return;
        }
        self.writer.flight = Flight::None;
        for (key, item) in items {
            let stamp = item.as_ref().map_or(Stamp(0), |i| i.stamp);
            if key == LEAD {
                if stamp != self.lead_stamp {
                    self.effects.push(Effect::StepDown {
                        why: "the leader key is no longer ours",
                    });
                }
            } else if key == HINTS {
                self.writer.hints = stamp;
            } else if let Some(id) = key.strip_prefix(crate::bookkeeping::records::OPEN) {
                self.open_reread(now, id, stamp);
            } else if let Some(host) = key.strip_prefix(crate::bookkeeping::records::INTENTS) {
                self.intents_reread(now, host, stamp);
            } else if let Some((job, chunk)) = crate::bookkeeping::records::parse_progress_key(&key)
            {
                if self.writer.litter.remove(&key).is_some() {
                    if stamp != Stamp(0) {
                        self.writer.litter.insert(key, stamp);
                    }
                } else {
                    self.writer.progress.insert((job, chunk), stamp);
                }
            }
        }
        self.dirty = true;
    }

    fn open_reread(&mut self, now: Millis, id: &str, stamp: Stamp) {
        let id = JobId::from(id);
        if stamp == Stamp(0) {
            self.job_closed(now, &id);
            self.litter_of(&id);
        } else if let Some(job) = self.jobs.get_mut(&id) {
            job.stamp = stamp;
        }
    }

    fn intents_reread(&mut self, now: Millis, host: &str, stamp: Stamp) {
        let host = HostId::from(host);
        if let Some(m) = self.machines.get_mut(&host) {
            m.stamp = stamp;
            // Whatever it holds, it is written again in full.
            m.saved.clear();
            m.stale_since = Some(now);
        } else if stamp == Stamp(0) {
            self.writer.swept.remove(&host);
        } else {
            self.writer.sweep(&host, stamp);
        }
    }
}
