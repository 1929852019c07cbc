//! The writer: what it has in flight, how much it may write, and what it knows of the stored records.
//!
//! One request at a time: each transaction sees the outcome of the one before.

use super::draft::RecordUpdate;
use super::hints::HintsRecord;
use super::intent_pages::IntentPages;
use super::limits::WriteLimits;
use super::machine_pages::MachinePages;
use super::orphans::OrphanedRecords;
use super::progress::ProgressRecords;
use crate::config::StateStoreLimits;
use crate::coordination::RequestId;
use crate::ids::{JobId, KeyRevision, MachineId, PageNumber};
use crate::protocol::state::Transaction;
use crate::storage::records::{LaunchIntent, ProgressKey, LEADER_KEY};
use crate::time::{Instant, TimeSpan};
use crate::transport::token_bucket::TokenBucket;
use std::collections::BTreeSet;

/// The part of the state store's rate of changes that the writer uses: the rest is left to submissions,
/// cancellations and the lease.
const WRITE_RATE_FRACTION: f64 = 0.7;
/// Transactions are begun at most this often: what is ready meanwhile goes together.
const WRITE_INTERVAL: TimeSpan = TimeSpan(100);
/// The pause after a transaction that was not executed.
const RETRY_DELAY: TimeSpan = TimeSpan(300);
/// A response this late is taken for none, should the runtime have lost it.
const RESPONSE_TIMEOUT: TimeSpan = TimeSpan(8_000);
/// Updates that may wait are drafted only while more than this part of the budget is left.
const MIN_FILL_RATIO_FOR_DEFERRABLE: f64 = 0.4;

/// The request under way.
#[derive(Debug)]
enum InFlight {
    /// None: the next transaction may be begun.
    Idle,
    /// A transaction whose outcome isn't known yet.
    Writing {
        request_id: RequestId,
        transaction: Transaction,
        updates: Vec<RecordUpdate>,
        sent_at: Instant,
    },
    /// Keys are read again after an outcome that was unclear.
    Reading {
        request_id: RequestId,
        keys: Vec<String>,
        sent_at: Instant,
    },
}

/// What the writer is to do next.
pub(super) enum NextStep {
    /// Nothing: a response is awaited, or it is too early.
    Wait,
    /// Begin a transaction.
    Write,
    /// Read these keys again: no response has come.
    Reread(Vec<String>),
}

/// A transaction whose outcome is known now.
pub(super) struct FinishedTransaction {
    /// As it was sent.
    pub transaction: Transaction,
    /// What it was to make durable.
    pub updates: Vec<RecordUpdate>,
}

/// The writer's memory.
#[derive(Debug)]
pub struct Writer {
    in_flight: InFlight,
    limits: WriteLimits,
    budget: TokenBucket,
    not_before: Instant,
    last_sent_at: Instant,
    token_raised_at: Instant,
    pub(super) intent_pages: IntentPages,
    pub(super) machine_pages: MachinePages,
    pub(super) progress: ProgressRecords,
    pub(super) orphans: OrphanedRecords,
    pub(super) hints: HintsRecord,
}

impl Writer {
    /// A writer that keeps within its part of the rate of changes.
    pub fn new(state: &StateStoreLimits, now: Instant) -> Writer {
        let changes_per_s = state.write_rps * WRITE_RATE_FRACTION;
        let limits = WriteLimits::new(state);
        Writer {
            in_flight: InFlight::Idle,
            limits,
            budget: TokenBucket::new(changes_per_s, changes_per_s),
            not_before: Instant::ZERO,
            last_sent_at: Instant::LONG_AGO,
            token_raised_at: now,
            intent_pages: IntentPages::default(),
            machine_pages: MachinePages::new(limits.max_value_bytes),
            progress: ProgressRecords::default(),
            orphans: OrphanedRecords::default(),
            hints: HintsRecord::default(),
        }
    }

    /// An attempt has been planned: its intent is to be written before it is launched.
    pub(crate) fn enqueue_intent(&mut self, intent: LaunchIntent) {
        self.intent_pages.enqueue(intent);
    }

    /// An attempt whose intent is on that page has left the ledger.
    pub(crate) fn remove_intent(&mut self, now: Instant, page: PageNumber, intent: &LaunchIntent) {
        self.intent_pages.remove_intent(now, page, intent);
    }

    /// A machine is new: says on which page it is recorded.
    pub(crate) fn assign_machine_page(&mut self, machine_id: &MachineId) -> PageNumber {
        self.machine_pages.assign(machine_id)
    }

    /// What the page says of a machine is outdated.
    pub(crate) fn mark_machine_page_outdated(&mut self, now: Instant, page: PageNumber) {
        self.machine_pages.mark_outdated(now, page);
    }

    /// A machine is terminated, as the cloud has confirmed.
    pub(crate) fn remove_machine(
        &mut self,
        now: Instant,
        page: PageNumber,
        machine_id: &MachineId,
    ) {
        self.machine_pages.remove_machine(now, page, machine_id);
    }

    /// Something was observed that belongs into the hints.
    pub(crate) fn mark_hints_changed(&mut self) {
        self.hints.mark_changed();
    }

    /// A job with so many dependency pages is closed: they are deleted when there is time.
    pub(crate) fn orphan_dependencies(&mut self, job: &JobId, pages: u32) {
        self.orphans.add_dependencies(job, pages);
    }

    /// The progress records of a job that is closed are deleted when there is time.
    pub(super) fn orphan_progress(&mut self, job: &JobId) {
        for (key, revision) in self.progress.remove_job(job) {
            self.orphans.add_progress(&key, revision);
        }
    }

    /// A new leader has found a progress record of an open job.
    pub(crate) fn recover_progress(&mut self, key: ProgressKey, revision: KeyRevision) {
        self.progress.set_revision(key, revision);
    }

    /// A new leader has found a progress record of a job that isn't open.
    pub(crate) fn recover_orphaned_progress(&mut self, key: &ProgressKey, revision: KeyRevision) {
        self.orphans.add_progress(key, revision);
    }

    /// A new leader has found the hints.
    pub(crate) fn recover_hints(&mut self, revision: KeyRevision) {
        self.hints.set_revision(revision);
    }

    /// A new leader has found a page of machines, and takes these over from it.
    pub(crate) fn recover_machine_page(
        &mut self,
        page: PageNumber,
        revision: KeyRevision,
        machine_ids: BTreeSet<MachineId>,
    ) {
        self.machine_pages.recover_page(page, revision, machine_ids);
    }

    /// A new leader has found a page of launch intents.
    pub(crate) fn recover_intent_page(&mut self, page: PageNumber, revision: KeyRevision) {
        self.intent_pages.recover_page(page, revision);
    }

    /// A new leader has found an intent that may be true.
    pub(crate) fn recover_intent(&mut self, page: PageNumber, intent: LaunchIntent) {
        self.intent_pages.recover_intent(page, intent);
    }

    /// A new leader has found an intent that is void.
    pub(crate) fn recover_obsolete_intent(&mut self, now: Instant, page: PageNumber) {
        self.intent_pages.mark_outdated(now, page);
    }

    /// How many pages of launch intents there are.
    pub(crate) fn intent_page_count(&self) -> usize {
        self.intent_pages.page_count()
    }

    /// How many launch intents wait to be written.
    pub(crate) fn queued_intent_count(&self) -> usize {
        self.intent_pages.queue_len()
    }

    /// Whether a transaction about the job is under way.
    pub(crate) fn has_job_write_in_flight(&self, job: &JobId) -> bool {
        match &self.in_flight {
            InFlight::Writing { updates, .. } => {
                updates.iter().any(|update| update.job() == Some(job))
            }
            InFlight::Idle | InFlight::Reading { .. } => false,
        }
    }

    /// What transactions are held to.
    pub(super) fn limits(&self) -> WriteLimits {
        self.limits
    }

    /// When the leader last raised its fencing token.
    pub(super) fn token_raised_at(&self) -> Instant {
        self.token_raised_at
    }

    /// The leader's fencing token is known to be raised.
    pub(super) fn set_token_raised_at(&mut self, now: Instant) {
        self.token_raised_at = now;
    }

    /// Whether enough of the budget is left for what may wait.
    pub(super) fn has_spare_budget(&self, now: Instant) -> bool {
        self.budget.fill_ratio(now) > MIN_FILL_RATIO_FOR_DEFERRABLE
    }

    /// What is to be done now.
    pub(super) fn next_step(&self, now: Instant) -> NextStep {
        match &self.in_flight {
            InFlight::Idle => {
                let is_too_early =
                    now < self.not_before || now - self.last_sent_at < WRITE_INTERVAL;
                if is_too_early {
                    NextStep::Wait
                } else {
                    NextStep::Write
                }
            }
            InFlight::Writing {
                transaction,
                sent_at,
                ..
            } if now - *sent_at > RESPONSE_TIMEOUT => {
                NextStep::Reread(keys_to_reread(transaction, &[]))
            }
            InFlight::Reading { keys, sent_at, .. } if now - *sent_at > RESPONSE_TIMEOUT => {
                NextStep::Reread(keys.clone())
            }
            InFlight::Writing { .. } | InFlight::Reading { .. } => NextStep::Wait,
        }
    }

    /// Takes so many changes out of the budget; false if it doesn't allow them now.
    #[must_use]
    pub(super) fn take_budget(&mut self, now: Instant, changes: usize) -> bool {
        self.budget.try_take(now, changes as f64)
    }

    /// A transaction is sent.
    pub(super) fn begin_writing(
        &mut self,
        now: Instant,
        request_id: RequestId,
        transaction: Transaction,
        updates: Vec<RecordUpdate>,
    ) {
        self.last_sent_at = now;
        self.in_flight = InFlight::Writing {
            request_id,
            transaction,
            updates,
            sent_at: now,
        };
    }

    /// Keys are read again.
    pub(super) fn begin_reading(&mut self, now: Instant, request_id: RequestId, keys: Vec<String>) {
        self.in_flight = InFlight::Reading {
            request_id,
            keys,
            sent_at: now,
        };
    }

    /// The outcome of a transaction is known; `None` if another request is under way.
    pub(super) fn finish_transaction(
        &mut self,
        request_id: RequestId,
    ) -> Option<FinishedTransaction> {
        match std::mem::replace(&mut self.in_flight, InFlight::Idle) {
            InFlight::Writing {
                request_id: writing,
                transaction,
                updates,
                ..
            } if writing == request_id => Some(FinishedTransaction {
                transaction,
                updates,
            }),
            other => {
                self.in_flight = other;
                None
            }
        }
    }

    /// The keys to be read again, now that the outcome of a transaction is unclear; `None` if another request is
    /// under way. `failed`: the preconditions that failed, if the state store said which.
    pub(super) fn unconfirmed_keys(
        &self,
        request_id: RequestId,
        failed: &[String],
    ) -> Option<Vec<String>> {
        match &self.in_flight {
            InFlight::Writing {
                request_id: writing,
                transaction,
                ..
            } if *writing == request_id => Some(keys_to_reread(transaction, failed)),
            _ => None,
        }
    }

    /// Keys have been read again; false if another request is under way.
    #[must_use]
    pub(super) fn end_reading(&mut self, request_id: RequestId) -> bool {
        let is_ours = matches!(&self.in_flight, InFlight::Reading { request_id: reading, .. } if *reading == request_id);
        if is_ours {
            self.in_flight = InFlight::Idle;
        }
        is_ours
    }

    /// The next transaction waits a little: the last one was not executed.
    pub(super) fn back_off(&mut self, now: Instant) {
        self.not_before = now + RETRY_DELAY;
    }

    /// The state store takes no changes for so long. What may wait does so until the budget has come up again.
    pub(super) fn pause_writes(&mut self, now: Instant, pause: TimeSpan) {
        self.not_before = now + pause;
        self.budget.drain(now);
    }

    /// From now on less is written at once than the transaction that was rejected had.
    pub(super) fn reduce_limits(&mut self, rejected: &Transaction) -> WriteLimits {
        self.limits = self.limits.reduced_after(rejected);
        self.machine_pages
            .set_max_value_bytes(self.limits.max_value_bytes);
        self.limits
    }
}

/// All that a transaction would have changed, and the preconditions that failed, or all of them if it isn't known
/// which did.
fn keys_to_reread(transaction: &Transaction, failed: &[String]) -> Vec<String> {
    let changed = transaction.changes.iter().map(|change| change.key());
    let required = transaction.preconditions.iter().map(|p| &p.key);
    let in_doubt = required.filter(|key| failed.is_empty() || failed.contains(key));
    let mut keys: BTreeSet<String> = changed.map(str::to_string).collect();
    keys.insert(LEADER_KEY.to_string());
    keys.extend(in_doubt.cloned());
    keys.into_iter().collect()
}
