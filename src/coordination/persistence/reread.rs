//! Re-reading of keys after a transaction with an unconfirmed outcome.
//!
//! The leader adopts the revisions that it reads, and writes again what still differs. The unconfirmed transaction
//! may still be applied late, but its preconditions name the old revisions. If it is applied before the leader's next
//! transaction, that one fails and the keys are read again; if it comes after, it has no effect.

use crate::coordination::leadership::LeaderKeyOwner;
use crate::coordination::{Effect, KeyReread, RequestId, Scheduler, StepDownReason};
use crate::ids::{JobId, KeyRevision};
use crate::protocol::state::KeyValue;
use crate::storage::records::{ProgressKey, RecordKey};
use crate::time::Instant;

impl Scheduler {
    /// Handles the response to a re-read: each key with its current value, or `None` if the key is absent.
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
            // The leader doesn't track the revisions of these keys.
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
            self.open_record_missing(now, id);
        } else {
            self.jobs
                .update(id, |job| job.set_open_record_revision(revision));
        }
    }

    /// Updates the leadership from the leader key. Steps down if this leader no longer owns the key, since it can
    /// then neither write nor act for long.
    fn leader_key_reread(&mut self, now: Instant, item: Option<KeyValue>) {
        match self.leadership.leader_key_reread(item) {
            LeaderKeyOwner::ThisLeader => {}
            LeaderKeyOwner::ThisLeaderWithRaisedToken => {
                self.writer.set_token_raised_at(now);
                self.push_raised_token();
            }
            LeaderKeyOwner::Other => self.effects.push(Effect::StepDown {
                reason: StepDownReason::LeaderKeyLost,
            }),
        }
    }
}
