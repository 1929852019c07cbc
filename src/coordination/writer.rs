//! Durable writes: one transaction at a time, so that each sees the outcome of the one before.
//!
//! Every write is guarded by the leader key's version and by the record's own: applied late, it
//! can do nothing. After an unclear outcome the keys are read again before anything else is
//! written.

mod draft;
mod ends;
mod launches;
mod limits;
mod machine_pages;
mod outcomes;
mod sweeping;

use super::{Core, Effect};
use crate::ids::{HostId, JobId, Millis, PageNo, Stamp, Token};
use crate::protocol::state::{Change, Guard, Txn};
use crate::settings::StateLimits;
use crate::storage::ledger::{DirectCarrier, Job, Machine, Start};
use crate::storage::pages::{HostPages, IntentPages, StartKey};
use crate::storage::records::{
    edge_list_key, edge_page_key, open_key, progress_key, LeadRecord, CHUNK, HINTS, LEAD, TOKEN,
};
use crate::transport::budget::Budget;
use draft::{Draft, FINISH_OPS};
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
/// Our token is raised this often while tombstones wait for it, and at once when one machine has so
/// many.
const RAISE_EVERY: Millis = Millis(60_000);
const RAISE_SOON: Millis = Millis(5_000);
const RAISE_AT: usize = 150;
/// The pause after a write that the service refused.
const REFUSED: Millis = Millis(300);
/// An answer this late is taken for none, should the runtime have lost it.
const LOST: Millis = Millis(8_000);

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

    fn jobs_in<'a>(
        &'a self,
        ids: &'a BTreeSet<JobId>,
    ) -> impl Iterator<Item = (&'a JobId, &'a Job)> {
        ids.iter().filter_map(|id| Some((id, self.jobs.get(id)?)))
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
