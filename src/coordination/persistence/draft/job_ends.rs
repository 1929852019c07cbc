//! Terminal records of jobs that are done, and of jobs that are cancelled with an upstream job.

use super::{Draft, DraftContext, RecordUpdate};
use crate::coordination::jobs::job::Job;
use crate::coordination::persistence::limits::JOB_END_OPS;
use crate::ids::{JobId, KeyRevision};
use crate::protocol::state::Change;
use crate::protocol::users::JobPhase;
use crate::storage::records::{open_job_key, terminal_key, TerminalRecord};

impl DraftContext<'_> {
    /// Drafts the terminal records of done jobs that other jobs depend on. They take up at most half of a
    /// transaction, so that a burst of them doesn't delay launches.
    pub fn draft_done_upstream_jobs(&self, draft: &mut Draft) {
        let max_ops = (draft.limits().max_ops / 2).max(JOB_END_OPS);
        for (id, job) in self.cluster.jobs.complete() {
            if draft.op_count() + JOB_END_OPS > max_ops {
                return;
            }
            if self.has_downstream_jobs(id) && !self.draft_done_job(id, job, draft) {
                return;
            }
        }
    }

    /// Drafts the terminal records of done jobs that no other job depends on.
    pub fn draft_other_done_jobs(&self, draft: &mut Draft) {
        for (id, job) in self.cluster.jobs.complete() {
            if !self.has_downstream_jobs(id) && !self.draft_done_job(id, job, draft) {
                return;
            }
        }
    }

    /// Drafts the terminal records of jobs that depend, directly or indirectly, on a cancelled job.
    pub fn draft_cancellations(&self, draft: &mut Draft) {
        for (id, job) in self.cluster.jobs.ancestor_cancelled() {
            let record = TerminalRecord::cancelled(job.spec().tasks);
            let update = RecordUpdate::JobCancelled { job: id.clone() };
            if !close_job(draft, id, job.open_record_revision(), &record, update) {
                return;
            }
        }
    }

    fn draft_done_job(&self, id: &JobId, job: &Job, draft: &mut Draft) -> bool {
        let now = self.cluster.now;
        let unix_time_ms = || self.leadership.unix_time_ms(now);
        let record = TerminalRecord {
            phase: JobPhase::Done,
            tasks: job.spec().tasks,
            done_at_ms: self.has_downstream_jobs(id).then(unix_time_ms),
        };
        let update = RecordUpdate::JobFinished { job: id.clone() };
        close_job(draft, id, job.open_record_revision(), &record, update)
    }

    fn has_downstream_jobs(&self, id: &JobId) -> bool {
        self.cluster.jobs.graph().has_downstream(id)
    }
}

/// Adds an update that replaces a job's open record by its terminal record. Returns false if the update doesn't fit.
fn close_job(
    draft: &mut Draft,
    id: &JobId,
    revision: KeyRevision,
    record: &TerminalRecord,
    update: RecordUpdate,
) -> bool {
    let Ok(data) = serde_json::to_value(record) else {
        return true;
    };
    let preconditions = vec![
        (open_job_key(id), revision),
        (terminal_key(id), KeyRevision(0)),
    ];
    let changes = vec![
        Change::delete(open_job_key(id)),
        Change::put(terminal_key(id), data),
    ];
    draft.add(preconditions, changes, update)
}
