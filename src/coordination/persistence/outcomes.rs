//! What became of the writer's transactions: done, refused, or unclear and to be read again.

use super::{Flight, Work, REFUSED};
use crate::coordination::jobs::lifecycle::Closure;
use crate::coordination::leadership::LeaderKeyOwner;
use crate::coordination::{Effect, KeyReread, RequestId, Scheduler, StepDownReason};
use crate::ids::{JobId, KeyRevision, PageNumber, StoreRevision};
use crate::protocol::state::KeyValue;
use crate::storage::records::{LaunchIntent, ProgressKey, RecordKey, LEADER_KEY};
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

impl Scheduler {
    pub(crate) fn written(
        &mut self,
        now: Instant,
        request_id: RequestId,
        store_revision: StoreRevision,
    ) {
        if !matches!(&self.writer.flight, Flight::Writing { request_id: in_flight, .. } if *in_flight == request_id)
        {
            return;
        }
        let Flight::Writing { works, .. } =
            std::mem::replace(&mut self.writer.flight, Flight::None)
        else {
            return;
        };
        let revision = KeyRevision(store_revision.0);
        for work in works {
            match work {
                Work::Intents { page, keys } => self.intents_written(now, page, revision, keys),
                Work::DropIntents { page } => self.writer.intents.deleted(page),
                Work::MachinePage { page, machine_ids } => {
                    self.writer
                        .machine_pages
                        .written(now, page, revision, &machine_ids);
                    for h in &machine_ids {
                        if let Some(m) = self.machines.get_mut(h) {
                            m.is_recorded = true;
                        }
                    }
                }
                Work::Raise { token } => {
                    tracing::debug!(token = %token, "our token is raised");
                    self.leadership.token_raised(token, revision);
                    self.writer.raised_at = now;
                }
                Work::Progress { key, tasks } => {
                    let job = key.job.clone();
                    self.writer.progress.insert(key, revision);
                    self.writer.progress_at = now;
                    let closed = self.jobs.update(&job, |job| {
                        job.progress_persisted(&tasks);
                        job.is_closed()
                    });
                    if closed == Some(true) {
                        self.collect_orphaned_progress(&job);
                    }
                }
                Work::Finish { job } => {
                    tracing::debug!(job = %job, "done");
                    self.job_closed(now, &job, Closure::Finished);
                    self.collect_orphaned_progress(&job);
                }
                Work::Cancel { job } => {
                    tracing::debug!(job = %job, "cancelled with a job that it needs");
                    self.job_closed(now, &job, Closure::Cancelled);
                }
                Work::DropEdges { key } => {
                    self.writer.orphaned_edges.remove(&key);
                }
                Work::DropProgress { key } => {
                    self.writer.orphaned_progress.remove(&key);
                }
                Work::Hints => {
                    self.writer.hints = revision;
                    self.writer.hints_at = now;
                    self.writer.hints_news = false;
                }
            }
        }
    }

    /// A page is written: its new starts may be launched.
    pub(crate) fn intents_written(
        &mut self,
        now: Instant,
        page: PageNumber,
        revision: KeyRevision,
        keys: Vec<LaunchIntent>,
    ) {
        let mut machine_ids = BTreeSet::new();
        let mut live = Vec::new();
        let mut gone = false;
        for k in keys {
            let persisted = self
                .ledger()
                .intent_persisted(&k.machine_id, &k.attempt, page);
            match persisted {
                Some(newly) => {
                    if newly {
                        machine_ids.insert(k.machine_id.clone());
                    }
                    live.push(k);
                }
                None => gone = true,
            }
        }
        self.writer.intents.written(now, page, revision, live, gone);
        self.outbox.pushes_due.extend(machine_ids);
    }

    /// Progress records of a job that is over are swept when there is time.
    pub(crate) fn collect_orphaned_progress(&mut self, id: &JobId) {
        let keys: Vec<ProgressKey> = self
            .writer
            .progress
            .keys()
            .filter(|key| key.job == *id)
            .cloned()
            .collect();
        for key in keys {
            if let Some(revision) = self.writer.progress.remove(&key) {
                self.writer
                    .orphaned_progress
                    .insert(key.to_string(), revision);
            }
        }
    }

    pub(crate) fn not_written(&mut self, now: Instant, request_id: RequestId) {
        if matches!(&self.writer.flight, Flight::Writing { request_id: in_flight, .. } if *in_flight == request_id)
        {
            self.writer.flight = Flight::None;
            self.writer.not_before = now + REFUSED;
        }
    }

    /// The service takes no more changes for now. What may wait does so until the rate allowed to this
    /// leader has come up again: leases, launches and ends of jobs go first.
    pub(crate) fn write_limited(&mut self, now: Instant, request_id: RequestId, pause: TimeSpan) {
        if matches!(&self.writer.flight, Flight::Writing { request_id: in_flight, .. } if *in_flight == request_id)
        {
            self.writer.flight = Flight::None;
            self.writer.not_before = now + pause;
            self.writer.budget.drain(now);
        }
    }

    /// A write whose guards failed (these, if it is known which), or of which nothing is known.
    pub(crate) fn write_unclear(&mut self, now: Instant, request_id: RequestId, failed: &[String]) {
        let Flight::Writing {
            request_id: in_flight,
            transaction,
            ..
        } = &self.writer.flight
        else {
            return;
        };
        if *in_flight != request_id {
            return;
        }
        let mut keys: BTreeSet<String> = transaction
            .changes
            .iter()
            .map(|c| c.key().to_string())
            .collect();
        keys.insert(LEADER_KEY.into());
        // Of open jobs only those that failed, if the service said which; else all of them.
        let preconditions = transaction.preconditions.iter().map(|g| &g.key);
        keys.extend(
            preconditions
                .filter(|k| failed.is_empty() || failed.contains(k))
                .cloned(),
        );
        self.read_again(now, keys.into_iter().collect());
    }

    pub(crate) fn read_again(&mut self, now: Instant, keys: Vec<String>) {
        let request_id = self.next_request_id();
        self.writer.flight = Flight::Reading {
            request_id,
            keys: keys.clone(),
            at: now,
        };
        self.effects.push(Effect::Reread { request_id, keys });
    }

    /// The keys as they stand: versions are taken over, and what still differs is written again.
    /// A transaction that may yet be applied late carries the old versions: if it is, our next one
    /// fails and we come here again; if ours is first, the late one does nothing.
    pub(crate) fn reread(&mut self, now: Instant, request_id: RequestId, items: Vec<KeyReread>) {
        if !matches!(&self.writer.flight, Flight::Reading { request_id: in_flight, .. } if *in_flight == request_id)
        {
            return;
        }
        self.writer.flight = Flight::None;
        for KeyReread { key, item } in items {
            let revision = item.as_ref().map_or(KeyRevision(0), |i| i.revision);
            match RecordKey::parse(&key) {
                Some(RecordKey::Leader) => self.lead_reread(now, item),
                Some(RecordKey::FencingToken) => self.leadership.token_counter_reread(revision),
                Some(RecordKey::Hints) => self.writer.hints = revision,
                Some(RecordKey::OpenJob(id)) => self.open_reread(now, &id, revision),
                Some(RecordKey::IntentPage(page)) => {
                    self.writer.intents.reread(now, page, revision)
                }
                Some(RecordKey::MachinePage(page)) => {
                    self.writer.machine_pages.reread(now, page, revision)
                }
                Some(RecordKey::Dependencies) => {
                    if revision == KeyRevision(0) {
                        self.writer.orphaned_edges.remove(&key);
                    }
                }
                Some(RecordKey::Progress(progress_key)) => {
                    if self.writer.orphaned_progress.remove(&key).is_some() {
                        if revision != KeyRevision(0) {
                            self.writer.orphaned_progress.insert(key, revision);
                        }
                    } else {
                        self.writer.progress.insert(progress_key, revision);
                    }
                }
                // The leader keeps no revision of these.
                Some(RecordKey::Terminal(_) | RecordKey::Catalog) | None => {}
            }
        }
        self.placement.request_pass();
    }

    pub(crate) fn open_reread(&mut self, now: Instant, id: &JobId, revision: KeyRevision) {
        if revision == KeyRevision(0) {
            self.job_closed(now, id, Closure::Unknown);
            self.collect_orphaned_progress(id);
        } else {
            self.jobs.update(id, |job| job.open_record_seen(revision));
        }
    }

    /// The leader key as it stands. Without it this leader may not write, nor act for long.
    pub(crate) fn lead_reread(&mut self, now: Instant, item: Option<KeyValue>) {
        match self.leadership.leader_key_reread(item) {
            LeaderKeyOwner::Us => {}
            LeaderKeyOwner::UsWithRaisedToken => self.writer.raised_at = now,
            LeaderKeyOwner::Other => self.effects.push(Effect::StepDown {
                reason: StepDownReason::LeaderKeyLost,
            }),
        }
    }
}
