//! The writer: the request in flight, the write budget, and what is known about the stored records.
//!
//! At most one request is in flight, so the outcome of a transaction is known before the next one is sent.

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

/// Fraction of the state store's rate limit for changes that the writer uses. The rest is left for submissions,
/// cancellations and the lease.
const WRITE_RATE_FRACTION: f64 = 0.7;
/// Minimum time between two transactions. Updates that become ready in the meantime are batched.
const WRITE_INTERVAL: TimeSpan = TimeSpan(100);
/// Delay of the next transaction after one that was not executed.
const RETRY_DELAY: TimeSpan = TimeSpan(300);
/// Timeout after which a response is considered lost, in case the runtime fails to deliver it.
const RESPONSE_TIMEOUT: TimeSpan = TimeSpan(8_000);
/// Deferrable updates are drafted only while the write budget is filled to more than this ratio.
const MIN_FILL_RATIO_FOR_DEFERRABLE: f64 = 0.4;

/// The request in flight.
#[derive(Debug)]
enum InFlight {
    /// No request: the next transaction may be sent.
    Idle,
    /// A transaction whose outcome isn't known yet.
    Writing {
        request_id: RequestId,
        transaction: Transaction,
        updates: Vec<RecordUpdate>,
        sent_at: Instant,
    },
    /// A re-read of keys after an unconfirmed outcome.
    Reading {
        request_id: RequestId,
        keys: Vec<String>,
        sent_at: Instant,
    },
}

/// The writer's next step.
pub(super) enum NextStep {
    /// Do nothing: a response is outstanding, or the next transaction is delayed.
    Wait,
    /// Send a transaction.
    Write,
    /// Read these keys again, because the response to the request in flight has timed out.
    Reread(Vec<String>),
}

/// A transaction that is no longer in flight because its outcome is known.
pub(super) struct FinishedTransaction {
    /// The transaction as it was sent.
    pub transaction: Transaction,
    /// The record updates in the transaction.
    pub updates: Vec<RecordUpdate>,
}

/// Schedules the writes of the leader's records, and tracks what is stored.
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
    /// Creates a writer that uses its fraction of the state store's rate limit for changes.
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

    /// Queues the launch intent of a planned attempt; it has to be written before the attempt is launched.
    pub(crate) fn enqueue_intent(&mut self, intent: LaunchIntent) {
        self.intent_pages.enqueue(intent);
    }

    /// Removes from its page the launch intent of an attempt that is no longer tracked.
    pub(crate) fn remove_intent(&mut self, now: Instant, page: PageNumber, intent: &LaunchIntent) {
        self.intent_pages.remove_intent(now, page, intent);
    }

    /// Assigns a new machine to a machine page and returns the page's number.
    pub(crate) fn assign_machine_page(&mut self, machine_id: &MachineId) -> PageNumber {
        self.machine_pages.assign(machine_id)
    }

    /// Marks a machine page as outdated because the data of a machine on it has changed.
    pub(crate) fn mark_machine_page_outdated(&mut self, now: Instant, page: PageNumber) {
        self.machine_pages.mark_outdated(now, page);
    }

    /// Removes a machine whose termination the cloud has confirmed.
    pub(crate) fn remove_machine(
        &mut self,
        now: Instant,
        page: PageNumber,
        machine_id: &MachineId,
    ) {
        self.machine_pages.remove_machine(now, page, machine_id);
    }

    /// Marks the stored hints as outdated.
    pub(crate) fn mark_hints_changed(&mut self) {
        self.hints.mark_changed();
    }

    /// Schedules the deletion of the dependency list and the given number of dependency pages of a closed job.
    pub(crate) fn orphan_dependencies(&mut self, job: &JobId, pages: u32) {
        self.orphans.add_dependencies(job, pages);
    }

    /// Schedules the deletion of the progress records of a closed job.
    pub(super) fn orphan_progress(&mut self, job: &JobId) {
        for (key, revision) in self.progress.remove_job(job) {
            self.orphans.add_progress(&key, revision);
        }
    }

    /// Adds a progress record of an open job that a new leader has read.
    pub(crate) fn recover_progress(&mut self, key: ProgressKey, revision: KeyRevision) {
        self.progress.set_revision(key, revision);
    }

    /// Schedules the deletion of a progress record that a new leader has read and whose job isn't open.
    pub(crate) fn recover_orphaned_progress(&mut self, key: &ProgressKey, revision: KeyRevision) {
        self.orphans.add_progress(key, revision);
    }

    /// Sets the key revision of the hints that a new leader has read.
    pub(crate) fn recover_hints(&mut self, revision: KeyRevision) {
        self.hints.set_revision(revision);
    }

    /// Adds a machine page that a new leader has read, with those of its machines that no page read before lists.
    pub(crate) fn recover_machine_page(
        &mut self,
        page: PageNumber,
        revision: KeyRevision,
        machine_ids: BTreeSet<MachineId>,
    ) {
        self.machine_pages.recover_page(page, revision, machine_ids);
    }

    /// Adds a launch intent page that a new leader has read.
    pub(crate) fn recover_intent_page(&mut self, page: PageNumber, revision: KeyRevision) {
        self.intent_pages.recover_page(page, revision);
    }

    /// Adds a launch intent that a new leader has read and whose attempt may be on its machine.
    pub(crate) fn recover_intent(&mut self, page: PageNumber, intent: LaunchIntent) {
        self.intent_pages.recover_intent(page, intent);
    }

    /// Marks a launch intent page as outdated because a new leader has read an obsolete intent from it.
    pub(crate) fn recover_obsolete_intent(&mut self, now: Instant, page: PageNumber) {
        self.intent_pages.mark_outdated(now, page);
    }

    /// Returns the number of launch intent pages.
    pub(crate) fn intent_page_count(&self) -> usize {
        self.intent_pages.page_count()
    }

    /// Returns the number of launch intents that wait to be written.
    pub(crate) fn queued_intent_count(&self) -> usize {
        self.intent_pages.queue_len()
    }

    /// Whether a transaction that updates records of the job is in flight.
    pub(crate) fn has_job_write_in_flight(&self, job: &JobId) -> bool {
        match &self.in_flight {
            InFlight::Writing { updates, .. } => {
                updates.iter().any(|update| update.job() == Some(job))
            }
            InFlight::Idle | InFlight::Reading { .. } => false,
        }
    }

    /// Returns the size limits for transactions and values.
    pub(super) fn limits(&self) -> WriteLimits {
        self.limits
    }

    /// Returns when the leader last raised its fencing token.
    pub(super) fn token_raised_at(&self) -> Instant {
        self.token_raised_at
    }

    /// Records that the leader has raised its fencing token.
    pub(super) fn set_token_raised_at(&mut self, now: Instant) {
        self.token_raised_at = now;
    }

    /// Whether enough of the write budget is left for deferrable updates.
    pub(super) fn has_spare_budget(&self, now: Instant) -> bool {
        self.budget.fill_ratio(now) > MIN_FILL_RATIO_FOR_DEFERRABLE
    }

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

    /// Takes a number of changes from the write budget. Returns false if the budget doesn't allow them now.
    #[must_use]
    pub(super) fn take_budget(&mut self, now: Instant, changes: usize) -> bool {
        self.budget.try_take(now, changes as f64)
    }

    /// Tracks a transaction as the request in flight.
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

    /// Tracks a re-read of keys as the request in flight.
    pub(super) fn begin_reading(&mut self, now: Instant, request_id: RequestId, keys: Vec<String>) {
        self.in_flight = InFlight::Reading {
            request_id,
            keys,
            sent_at: now,
        };
    }

    /// Ends a transaction whose outcome is known and returns it. Returns `None` if it isn't the request in flight.
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

    /// Returns the keys to read again after a transaction whose outcome is unconfirmed or whose preconditions failed;
    /// `None` if it isn't the request in flight. `failed` lists the keys of the preconditions that failed, if the
    /// state store reported them.
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

    /// Ends a re-read of keys. Returns false if it isn't the request in flight.
    #[must_use]
    pub(super) fn end_reading(&mut self, request_id: RequestId) -> bool {
        let is_own = matches!(&self.in_flight, InFlight::Reading { request_id: reading, .. } if *reading == request_id);
        if is_own {
            self.in_flight = InFlight::Idle;
        }
        is_own
    }

    /// Delays the next transaction after one that was not executed.
    pub(super) fn back_off(&mut self, now: Instant) {
        self.not_before = now + RETRY_DELAY;
    }

    /// Stops writing for `pause` after the state store's rate limit was exceeded, and drains the budget so that
    /// deferrable updates wait until it has refilled.
    pub(super) fn pause_writes(&mut self, now: Instant, pause: TimeSpan) {
        self.not_before = now + pause;
        self.budget.drain(now);
    }

    /// Reduces the size limits after a transaction was rejected for its size, and returns the new limits.
    pub(super) fn reduce_limits(&mut self, rejected: &Transaction) -> WriteLimits {
        self.limits = self.limits.reduced_after(rejected);
        self.machine_pages
            .set_max_value_bytes(self.limits.max_value_bytes);
        self.limits
    }
}

/// Returns the keys that a transaction would have changed, the leader key, and the keys of the preconditions that
/// failed, or of all preconditions if it isn't known which ones failed.
fn keys_to_reread(transaction: &Transaction, failed: &[String]) -> Vec<String> {
    let changed = transaction.changes.iter().map(|change| change.key());
    let required = transaction.preconditions.iter().map(|p| &p.key);
    let possibly_failed = required.filter(|key| failed.is_empty() || failed.contains(key));
    let mut keys: BTreeSet<String> = changed.map(str::to_string).collect();
    keys.insert(LEADER_KEY.to_string());
    keys.extend(possibly_failed.cloned());
    keys.into_iter().collect()
}
