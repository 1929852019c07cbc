//! Outcomes of the writer's transactions: applied, not executed, or unconfirmed.
//!
//! Drafted updates take effect in memory here, and only once their transaction is known to be applied.

use super::draft::RecordUpdate;
use crate::coordination::jobs::lifecycle::CloseReason;
use crate::coordination::{Effect, RequestId, Scheduler};
use crate::ids::{FencingToken, JobId, KeyRevision, MachineId, PageNumber, StoreRevision};
use crate::storage::records::{LaunchIntent, ProgressKey};
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

impl Scheduler {
    /// Handles a transaction that the state store has applied at `store_revision`.
    pub(crate) fn write_applied(
        &mut self,
        now: Instant,
        request_id: RequestId,
        store_revision: StoreRevision,
    ) {
        let Some(finished) = self.writer.finish_transaction(request_id) else {
            return;
        };
        let revision = KeyRevision(store_revision.0);
        for update in finished.updates {
            self.update_written(now, revision, update);
        }
    }

    fn update_written(&mut self, now: Instant, revision: KeyRevision, update: RecordUpdate) {
        match update {
            RecordUpdate::IntentPage { page, intents } => {
                self.intent_page_written(now, page, revision, intents);
            }
            RecordUpdate::IntentPageDeleted { page } => self.writer.intent_pages.remove_page(page),
            RecordUpdate::MachinePage { page, machine_ids } => {
                self.machine_page_written(now, page, revision, &machine_ids);
            }
            RecordUpdate::Token { token } => self.token_written(now, token, revision),
            RecordUpdate::Progress { key, tasks } => {
                self.progress_written(now, key, revision, &tasks);
            }
            RecordUpdate::JobFinished { job } => {
                tracing::debug!(%job, "job done");
                self.job_closed(now, &job, CloseReason::Finished);
                self.writer.orphan_progress(&job);
            }
            RecordUpdate::JobCancelled { job } => {
                tracing::debug!(%job, "job cancelled with an upstream job");
                self.job_closed(now, &job, CloseReason::Cancelled);
            }
            RecordUpdate::OrphanDeleted { key } => self.writer.orphans.remove(&key),
            RecordUpdate::Hints => self.writer.hints.mark_written(now, revision),
        }
    }

    /// Handles a written launch intent page: the attempts that are new on it may now be launched.
    fn intent_page_written(
        &mut self,
        now: Instant,
        page: PageNumber,
        revision: KeyRevision,
        intents: Vec<LaunchIntent>,
    ) {
        let written_count = intents.len();
        let mut launchable_on = BTreeSet::new();
        let mut live = Vec::new();
        for intent in intents {
            let mut ledger = self.ledger();
            let persisted = ledger.intent_persisted(&intent.machine_id, &intent.attempt, page);
            let Some(is_new) = persisted else {
                continue;
            };
            if is_new {
                launchable_on.insert(intent.machine_id.clone());
            }
            live.push(intent);
        }
        let outdated = live.len() < written_count;
        self.writer
            .intent_pages
            .mark_written(now, page, revision, live, outdated);
        self.work_queues.pushes_due.extend(launchable_on);
    }

    /// Handles a written machine page: launch intents for its machines may now be written.
    fn machine_page_written(
        &mut self,
        now: Instant,
        page: PageNumber,
        revision: KeyRevision,
        machine_ids: &BTreeSet<MachineId>,
    ) {
        self.writer
            .machine_pages
            .mark_written(now, page, revision, machine_ids);
        for machine_id in machine_ids {
            if let Some(machine) = self.machines.get_mut(machine_id) {
                machine.is_recorded = true;
            }
        }
    }

    fn token_written(&mut self, now: Instant, token: FencingToken, revision: KeyRevision) {
        tracing::debug!(fencing_token = %token, "fencing token raised");
        self.leadership.token_raised(token, revision);
        self.writer.set_token_raised_at(now);
        self.push_raised_token();
    }

    fn progress_written(
        &mut self,
        now: Instant,
        key: ProgressKey,
        revision: KeyRevision,
        tasks: &BTreeSet<u32>,
    ) {
        let id = key.job.clone();
        self.writer.progress.mark_written(now, key, revision);
        let is_closed = self.jobs.update(&id, |job| {
            job.progress_persisted(tasks);
            job.is_closed()
        });
        if is_closed == Some(true) {
            self.writer.orphan_progress(&id);
        }
    }

    /// Handles a transaction that was not executed and never will be.
    pub(crate) fn write_not_applied(&mut self, now: Instant, request_id: RequestId) {
        if self.writer.finish_transaction(request_id).is_some() {
            self.writer.back_off(now);
        }
    }

    /// Handles a transaction that was not executed because the state store's rate limit was exceeded. Deferrable
    /// updates wait until the writer's own budget has refilled, so that leases, launches and ends of jobs go first.
    pub(crate) fn write_rate_limited(
        &mut self,
        now: Instant,
        request_id: RequestId,
        pause: TimeSpan,
    ) {
        if self.writer.finish_transaction(request_id).is_some() {
            self.writer.pause_writes(now, pause);
        }
    }

    /// Handles a transaction that the state store rejected for its size and would reject on every retry. The limits
    /// in force may be lower than the settings say: without reduced limits the leader would resend the transaction
    /// forever and write nothing else.
    pub(crate) fn write_rejected(&mut self, now: Instant, request_id: RequestId) {
        let Some(finished) = self.writer.finish_transaction(request_id) else {
            return;
        };
        self.writer.back_off(now);
        let limits = self.writer.reduce_limits(&finished.transaction);
        tracing::info!(
            max_ops = limits.max_ops,
            max_value_bytes = limits.max_value_bytes,
            "transaction rejected for its size, limits reduced"
        );
        self.split_machine_pages();
    }

    /// Handles a transaction whose outcome is unconfirmed or whose preconditions failed. `failed` lists the keys of
    /// the preconditions that failed, as far as they are known.
    pub(crate) fn write_unconfirmed(
        &mut self,
        now: Instant,
        request_id: RequestId,
        failed: &[String],
    ) {
        if let Some(keys) = self.writer.unconfirmed_keys(request_id, failed) {
            self.begin_reread(now, keys);
        }
    }

    /// Requests that keys be read again.
    pub(super) fn begin_reread(&mut self, now: Instant, keys: Vec<String>) {
        let request_id = self.next_request_id();
        self.writer.begin_reading(now, request_id, keys.clone());
        self.effects.push(Effect::Reread { request_id, keys });
    }

    /// Handles a missing open record: the job is closed, but whether it is done or cancelled is unknown.
    pub(super) fn open_record_missing(&mut self, now: Instant, job: &JobId) {
        self.job_closed(now, job, CloseReason::Unknown);
        self.writer.orphan_progress(job);
    }
}
