//! Ends of jobs: finish marks, and the cancellations that follow from that of another job.

use super::draft::{Draft, FINISH_OPS};
use super::Work;
use crate::coordination::jobs::job::Job;
use crate::coordination::Scheduler;
use crate::ids::JobId;
use crate::protocol::users::JobPhase;
use crate::storage::records::TerminalRecord;
use crate::time::Instant;

impl Scheduler {
    pub(crate) fn draft_finishes(&self, now: Instant, draft: &mut Draft) {
        for (id, job) in self.jobs.complete() {
            if !self.jobs.graph().has_downstream(id) && !self.draft_finish(now, id, job, draft) {
                return;
            }
        }
    }

    /// Finishes of jobs that others wait for, in at most half of a transaction: a burst of them must not
    /// hold up launches.
    pub(crate) fn draft_finishes_of_producers(&self, now: Instant, draft: &mut Draft) {
        let most = (draft.most_ops / 2).max(FINISH_OPS);
        for (id, job) in self.jobs.complete() {
            if draft.changes.len() + FINISH_OPS > most {
                return;
            }
            if self.jobs.graph().has_downstream(id) && !self.draft_finish(now, id, job, draft) {
                return;
            }
        }
    }

    pub(crate) fn draft_finish(
        &self,
        now: Instant,
        id: &JobId,
        job: &Job,
        draft: &mut Draft,
    ) -> bool {
        let terminal_record = TerminalRecord {
            phase: JobPhase::Done,
            tasks: job.spec().tasks,
            at_ms: self
                .jobs
                .graph()
                .has_downstream(id)
                .then(|| self.leadership.time_of_day_ms(now)),
        };
        draft.close(
            id,
            job.open_record_revision(),
            &terminal_record,
            Work::Finish { job: id.clone() },
        )
    }

    /// Jobs that need a cancelled one, directly or through others.
    pub(crate) fn draft_cancellations(&self, draft: &mut Draft) {
        for (id, job) in self.jobs.ancestor_cancelled() {
            let terminal_record = TerminalRecord::cancelled(job.spec().tasks);
            if !draft.close(
                id,
                job.open_record_revision(),
                &terminal_record,
                Work::Cancel { job: id.clone() },
            ) {
                return;
            }
        }
    }
}
