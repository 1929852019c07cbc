//! Durable writes: one transaction at a time, so that each sees the outcome of the one before.
//!
//! Every write is guarded by the leader key's version and by the record's own: applied late, it
//! can do nothing. After an unclear outcome the keys are read again before anything else is
//! written.

mod draft;
mod ends;
mod garbage_collection;
mod launches;
mod limits;
mod machine_pages;
mod outcomes;
pub(crate) mod pages;

use crate::config::StateStoreLimits;
use crate::coordination::attempts::ledger::{PushDelivery, TaskAttempt};
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::Machine;
use crate::coordination::{Effect, RequestId, Scheduler};
use crate::ids::{FencingToken, JobId, KeyRevision, MachineId, PageNumber};
use crate::protocol::state::{Change, Precondition, Transaction};
use crate::storage::records::{
    dependency_list_key, dependency_page_key, open_key, LaunchIntent, LeaderRecord, ProgressKey,
    FENCING_TOKEN_KEY, HINTS_KEY, LEADER_KEY, TASKS_PER_PROGRESS_RECORD,
};
use crate::time::{Instant, TimeSpan};
use crate::transport::token_bucket::TokenBucket;
use draft::{Draft, FINISH_OPS};
use limits::WriteLimits;
use pages::{IntentPages, MachinePages};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// One thing that a transaction does.
#[derive(Debug, Clone)]
pub(crate) enum Work {
    /// A page of intents holds these, and nothing else.
    Intents {
        page: PageNumber,
        keys: Vec<LaunchIntent>,
    },
    /// A page of intents goes: nothing on it is true any more.
    DropIntents { page: PageNumber },
    /// A page of machines lists these.
    MachinePage {
        page: PageNumber,
        machine_ids: BTreeSet<MachineId>,
    },
    /// Done tasks of one chunk.
    Progress {
        key: ProgressKey,
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
    Raise { token: FencingToken },
}

#[derive(Debug)]
enum Flight {
    None,
    Writing {
        request_id: RequestId,
        transaction: Transaction,
        works: Vec<Work>,
        at: Instant,
    },
    Reading {
        request_id: RequestId,
        keys: Vec<String>,
        at: Instant,
    },
}

/// The writer's memory.
#[derive(Debug)]
pub struct Writer {
    flight: Flight,
    limits: WriteLimits,
    budget: TokenBucket,
    not_before: Instant,
    /// When the last transaction was begun.
    last: Instant,
    /// Where starts and machines are recorded.
    pub(crate) intents: IntentPages,
    pub(crate) machine_pages: MachinePages,
    /// Versions of progress records, and when progress was last written.
    pub(crate) progress: BTreeMap<ProgressKey, KeyRevision>,
    progress_at: Instant,
    /// Progress records of jobs that are over.
    pub(crate) orphaned_progress: BTreeMap<String, KeyRevision>,
    /// Pages of producers of jobs that are over.
    orphaned_edges: BTreeSet<String>,
    /// The version of the hints, when they were last written, and whether there is news.
    pub(crate) hints: KeyRevision,
    hints_at: Instant,
    pub(crate) hints_news: bool,
    /// When our token was last raised.
    raised_at: Instant,
}

/// Hints are written at most this often.
const HINTS_EVERY: TimeSpan = TimeSpan(10_000);
/// Transactions are begun at most this often: what is ready meanwhile goes together.
const WRITE_EVERY: TimeSpan = TimeSpan(100);
/// Progress is written this often: until then a tombstone keeps it, or else the task's result.
const PROGRESS_EVERY: TimeSpan = TimeSpan(2_000);
/// Our token is raised this often while tombstones wait for it, and at once when one machine has so
/// many.
const RAISE_EVERY: TimeSpan = TimeSpan(60_000);
const RAISE_SOON: TimeSpan = TimeSpan(5_000);
const RAISE_AT: usize = 150;
/// The pause after a write that the service refused.
const REFUSED: TimeSpan = TimeSpan(300);
/// An answer this late is taken for none, should the runtime have lost it.
const LOST: TimeSpan = TimeSpan(8_000);

impl Writer {
    /// A writer that keeps within its part of the write rate.
    pub fn new(state: &StateStoreLimits, now: Instant) -> Writer {
        // The rest is left to submissions, cancellations and the lease.
        let mine = state.write_rps * 0.7;
        let limits = WriteLimits::new(state);
        Writer {
            flight: Flight::None,
            limits,
            budget: TokenBucket::new(mine, mine),
            not_before: Instant(0),
            last: Instant::LONG_AGO,
            intents: IntentPages::default(),
            machine_pages: MachinePages::new(limits.value_bytes),
            progress: BTreeMap::new(),
            progress_at: Instant(0),
            orphaned_progress: BTreeMap::new(),
            orphaned_edges: BTreeSet::new(),
            hints: KeyRevision(0),
            hints_at: Instant(0),
            hints_news: false,
            raised_at: now,
        }
    }

    /// The pages of producers of a job that is over are swept when there is time.
    pub(crate) fn orphan_edges(&mut self, id: &JobId, pages: u32) {
        if pages > 0 {
            self.orphaned_edges.insert(dependency_list_key(id));
            let keys = (0..pages).map(|page| dependency_page_key(id, page));
            self.orphaned_edges.extend(keys);
        }
    }

    /// Whether a write about the job is under way.
    pub(crate) fn mentions(&self, id: &JobId) -> bool {
        match &self.flight {
            Flight::Writing { works, .. } => works.iter().any(|w| match w {
                Work::Progress { key, .. } => key.job == *id,
                Work::Finish { job } | Work::Cancel { job } => job == id,
                _ => false,
            }),
            _ => false,
        }
    }
}

impl Scheduler {
    /// Starts the next transaction if none is under way and there is something to write.
    pub(crate) fn write(&mut self, now: Instant) {
        match &self.writer.flight {
            Flight::None => {}
            Flight::Writing { request_id, at, .. } if now - *at > LOST => {
                let request_id = *request_id;
                self.write_unclear(now, request_id, &[]);
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
            preconditions: BTreeMap::from([(
                LEADER_KEY.to_string(),
                self.leadership.term().leader_key_revision,
            )]),
            changes: Vec::new(),
            works: Vec::new(),
            most_ops: self.writer.limits.ops,
            bytes: 0,
        };
        self.draft_raise(now, &mut draft);
        self.draft_machine_pages(now, false, &mut draft);
        // Every step of a chain waits for a finish mark: those go first.
        self.draft_finishes_of_producers(now, &mut draft);
        // Launches leave room for finishes: neither starves the other.
        self.draft_launches(&mut draft, FINISH_OPS);
        self.draft_finishes(now, &mut draft);
        self.draft_cancellations(&mut draft);
        self.draft_launches(&mut draft, 0);
        // What may wait takes only what is left of the rate.
        if self.writer.budget.fill_ratio(now) > 0.4 {
            self.draft_progress(now, &mut draft);
            self.draft_sweeping(now, &mut draft);
            self.draft_machine_pages(now, true, &mut draft);
            self.draft_hints(now, &mut draft);
        }
        if draft.changes.is_empty() || !self.writer.budget.try_take(now, draft.changes.len() as f64)
        {
            return;
        }
        let transaction = Transaction {
            preconditions: draft
                .preconditions
                .into_iter()
                .map(|(key, revision)| Precondition { key, revision })
                .collect(),
            changes: draft.changes,
        };
        let request_id = self.next_request_id();
        self.writer.last = now;
        self.writer.flight = Flight::Writing {
            request_id,
            transaction: transaction.clone(),
            works: draft.works,
            at: now,
        };
        self.effects.push(Effect::Write {
            request_id,
            transaction,
        });
    }

    /// A leader raises its own token from time to time, so that tombstones of direct launches can be
    /// cleared: a copy of the command that launched carries a lower one by then.
    fn draft_raise(&self, now: Instant, draft: &mut Draft) {
        let since = now - self.writer.raised_at;
        if since < RAISE_SOON {
            return;
        }
        let blocked =
            |s: &TaskAttempt| s.ended() && s.launched_with == Some(self.leadership.token());
        let lost = |m: &Machine| {
            m.attempts
                .iter()
                .any(|s| matches!(s.push, PushDelivery::Lost(..)))
        };
        let soon = self
            .machines
            .values()
            .any(|m| m.attempts.tombstone_count() >= RAISE_AT);
        let due = since >= RAISE_EVERY
            && self.machines.values().any(|m| {
                lost(m) || (m.attempts.tombstone_count() > 0 && m.attempts.iter().any(blocked))
            });
        if !soon && !due {
            return;
        }
        let token = FencingToken(self.leadership.token().0 + 1);
        let record = LeaderRecord {
            host_name: self.leadership.term().host_name.clone(),
            token,
        };
        let Ok(data) = serde_json::to_value(&record) else {
            return;
        };
        let changes = vec![
            Change::Put {
                put: LEADER_KEY.into(),
                data,
                lease: Some(self.leadership.term().lease),
            },
            Change::put(FENCING_TOKEN_KEY.into(), token.0.into()),
        ];
        let preconditions = vec![(
            FENCING_TOKEN_KEY.to_string(),
            self.leadership.term().token_counter_revision,
        )];
        draft.add(preconditions, changes, Work::Raise { token });
    }

    fn draft_progress(&self, now: Instant, draft: &mut Draft) {
        if now - self.writer.progress_at < PROGRESS_EVERY {
            return;
        }
        // Most unsaved first: it is they whose tombstones fill reports.
        let mut jobs: Vec<(&JobId, &Job)> = self.jobs.unpersisted().collect();
        jobs.sort_by_key(|(id, j)| (Reverse(j.unpersisted().len()), *id));
        for (id, job) in jobs {
            if job.is_complete() {
                continue;
            }
            let chunks: BTreeSet<u32> = job
                .unpersisted()
                .iter()
                .map(|i| i / TASKS_PER_PROGRESS_RECORD)
                .collect();
            for chunk in chunks {
                let key = ProgressKey {
                    job: id.clone(),
                    chunk,
                };
                let revision = self.writer.progress.get(&key).copied().unwrap_or_default();
                let preconditions = vec![
                    (open_key(id), job.open_record_revision()),
                    (key.to_string(), revision),
                ];
                let text = job.completed().chunk(chunk);
                let changes = vec![Change::put(key.to_string(), text.into())];
                let tasks = job
                    .unpersisted()
                    .range(
                        chunk * TASKS_PER_PROGRESS_RECORD..(chunk + 1) * TASKS_PER_PROGRESS_RECORD,
                    )
                    .copied()
                    .collect();
                let work = Work::Progress { key, tasks };
                if !draft.add(preconditions, changes, work) {
                    return;
                }
            }
        }
    }

    fn draft_hints(&self, now: Instant, draft: &mut Draft) {
        let due = self.writer.hints_news && now - self.writer.hints_at > HINTS_EVERY;
        if let (true, Ok(data)) = (due, serde_json::to_value(self.hints(now))) {
            let small = data.to_string().len() <= self.writer.limits.value_bytes;
            if small {
                let changes = vec![Change::put(HINTS_KEY.into(), data)];
                draft.add(
                    vec![(HINTS_KEY.into(), self.writer.hints)],
                    changes,
                    Work::Hints,
                );
            }
        }
    }
}
