//! Keys read again after a transaction whose outcome was unclear.
//!
//! Revisions are taken over, and what still differs is written again. A transaction that may yet be applied late
//! requires the old revisions: if it is applied, our next one fails and the keys are read once more; if ours is
//! first, the late one does nothing.

use crate::coordination::leadership::LeaderKeyOwner;
use crate::coordination::{Effect, KeyReread, RequestId, Scheduler, StepDownReason};
use crate::ids::{JobId, KeyRevision};
use crate::protocol::state::KeyValue;
use crate::storage::records::{ProgressKey, RecordKey};
use crate::time::Instant;

impl Scheduler {
    /// The keys as they stand; `None`: absent.
    pub(crate) fn reread(&mut self, now: Instant, request_id: RequestId, items: Vec<KeyReread>) {
        if !self.writer.end_reading(request_id) {
            return;
        }
        for KeyReread { key, item } in items {
            self.key_reread(now, &key, item);
        }
        self.placement.request_pass();
    }

    fn key_reread(&mut self, now: Instant, key: &str, item: Option<KeyValue>) {
        let revision = item.as_ref().map_or(KeyRevision(0), |found| found.revision);
        let Some(record_key) = RecordKey::parse(key) else {
            return;
        };
        let writer = &mut self.writer;
        match record_key {
            RecordKey::Leader => self.leader_key_reread(now, item),
            RecordKey::FencingToken => self.leadership.token_counter_reread(revision),
            RecordKey::Hints => writer.hints.set_revision(revision),
            RecordKey::OpenJob(job) => self.open_record_reread(now, &job, revision),
            RecordKey::IntentPage(page) => writer.intent_pages.refresh(now, page, revision),
            RecordKey::MachinePage(page) => writer.machine_pages.refresh(now, page, revision),
            RecordKey::Dependencies => writer.orphans.update_dependencies(key, revision),
            RecordKey::Progress(progress) => self.progress_reread(key, progress, revision),
            // The leader keeps no revision of these.
            RecordKey::Terminal(_) | RecordKey::Catalog => {}
        }
    }

    fn progress_reread(&mut self, key: &str, progress: ProgressKey, revision: KeyRevision) {
        if !self.writer.orphans.update_progress(key, revision) {
            self.writer.progress.set_revision(progress, revision);
        }
    }

    fn open_record_reread(&mut self, now: Instant, id: &JobId, revision: KeyRevision) {
        if revision == KeyRevision(0) {
            self.open_record_gone(now, id);
        } else {
            self.jobs.update(id, |job| job.open_record_seen(revision));
        }
    }

    /// Without the leader key this leader may not write, nor act for long.
    fn leader_key_reread(&mut self, now: Instant, item: Option<KeyValue>) {
        match self.leadership.leader_key_reread(item) {
            LeaderKeyOwner::Us => {}
            LeaderKeyOwner::UsWithRaisedToken => self.writer.set_token_raised_at(now),
            LeaderKeyOwner::Other => self.effects.push(Effect::StepDown {
                reason: StepDownReason::LeaderKeyLost,
            }),
        }
    }
}
