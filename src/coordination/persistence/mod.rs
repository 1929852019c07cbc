//! Durable writes, one transaction at a time: the outcome of a transaction is known before the next one is drafted.
//!
//! Owns what the leader knows about its stored records: key revisions, the contents of pages, and what waits to be
//! written. The preconditions of a transaction include the revisions of the leader key and of the records that it
//! changes, so a transaction that is applied late has no effect. After an unconfirmed outcome the keys are read again
//! before anything else is written.
//!
//! Drafting reads the cluster state and returns a `draft::Draft` without changing any state. Drafted updates take
//! effect in memory in `outcomes.rs`, once their transaction is known to be applied.

mod draft;
mod hints;
mod intent_pages;
mod limits;
mod machine_pages;
mod orphans;
mod outcomes;
mod progress;
mod reread;
mod stored_page;
mod writer;

pub use writer::Writer;

use crate::coordination::{Effect, Scheduler};
use crate::time::Instant;
use draft::{Draft, DraftContext};
use limits::JOB_END_OPS;
use machine_pages::WriteUrgency;
use writer::NextStep;

impl Scheduler {
    /// Sends the next transaction if no request is in flight and there is something to write.
    pub(crate) fn write_records(&mut self, now: Instant) {
        match self.writer.next_step(now) {
            NextStep::Wait => {}
            NextStep::Write => self.begin_transaction(now),
            NextStep::Reread(keys) => self.begin_reread(now, keys),
        }
    }

    fn begin_transaction(&mut self, now: Instant) {
        let machines = &self.machines;
        self.writer
            .intent_pages
            .pop_obsolete(|intent| draft::awaits_page(machines, intent));
        let draft = self.draft_transaction(now);
        if draft.is_empty() || !self.writer.take_budget(now, draft.op_count()) {
            return;
        }
        let (transaction, updates) = draft.into_transaction();
        let request_id = self.next_request_id();
        self.writer
            .begin_writing(now, request_id, transaction.clone(), updates);
        self.effects.push(Effect::Write {
            request_id,
            transaction,
        });
    }

    /// Drafts a transaction from the pending updates, the most urgent first, up to the size limits.
    fn draft_transaction(&self, now: Instant) -> Draft {
        let context = DraftContext {
            cluster: self.view(now),
            leadership: &self.leadership,
            writer: &self.writer,
        };
        let leader_key_revision = self.leadership.term().leader_key_revision;
        let mut draft = Draft::new(leader_key_revision, self.writer.limits());
        context.draft_token(&mut draft);
        context.draft_machine_pages(WriteUrgency::Urgent, &mut draft);
        // Jobs in a dependency chain wait for the terminal records of their upstream jobs, so these go first.
        context.draft_done_upstream_jobs(&mut draft);
        // Launch intents leave room for ending one job, so that neither kind of update starves the other.
        context.draft_launch_intents(JOB_END_OPS, &mut draft);
        context.draft_other_done_jobs(&mut draft);
        context.draft_cancellations(&mut draft);
        context.draft_launch_intents(0, &mut draft);
        if self.writer.has_spare_budget(now) {
            context.draft_progress(&mut draft);
            context.draft_garbage_collection(&mut draft);
            context.draft_machine_pages(WriteUrgency::Deferrable, &mut draft);
            if self.writer.hints.is_due(now) {
                context.draft_hints(&self.hints(now), &mut draft);
            }
        }
        draft
    }

    /// Splits machine pages that are too large to be written, by moving some of their machines to other pages.
    pub(crate) fn split_machine_pages(&mut self) {
        for (machine_id, page) in self.writer.machine_pages.split() {
            if let Some(machine) = self.machines.get_mut(&machine_id) {
                machine.page = Some(page);
            }
        }
    }
}
