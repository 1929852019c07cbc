//! Progress records: completed tasks that aren't persisted yet.

use super::{Draft, DraftContext, RecordUpdate};
use crate::coordination::jobs::job::Job;
use crate::ids::JobId;
use crate::protocol::state::Change;
use crate::storage::records::{
    open_job_key, CompletedTasks, ProgressKey, TASKS_PER_PROGRESS_RECORD,
};
use std::cmp::Reverse;
use std::collections::BTreeSet;

impl DraftContext<'_> {
    /// Drafts the progress records of jobs that aren't complete. Jobs with the most unpersisted tasks go first, since
    /// the tombstones of these tasks take up space in heartbeats.
    pub fn draft_progress(&self, draft: &mut Draft) {
        if !self.writer.progress.is_due(self.cluster.now) {
            return;
        }
        let mut jobs: Vec<(&JobId, &Job)> = self.cluster.jobs.unpersisted().collect();
        jobs.sort_by_key(|(id, job)| (Reverse(job.unpersisted().len()), *id));
        for (id, job) in jobs {
            if !job.is_complete() && !self.draft_job_progress(id, job, draft) {
                return;
            }
        }
    }

    /// Drafts the progress records of one job. Returns false if not all of them fit.
    fn draft_job_progress(&self, id: &JobId, job: &Job, draft: &mut Draft) -> bool {
        let chunk_of = |task: &u32| task / TASKS_PER_PROGRESS_RECORD;
        let chunks: BTreeSet<u32> = job.unpersisted().iter().map(chunk_of).collect();
        chunks.into_iter().all(|chunk| {
            let job_id = id.clone();
            let key = ProgressKey { job: job_id, chunk };
            self.draft_chunk(key, job, draft)
        })
    }

    fn draft_chunk(&self, key: ProgressKey, job: &Job, draft: &mut Draft) -> bool {
        let stored_key = key.to_string();
        let preconditions = vec![
            (open_job_key(&key.job), job.open_record_revision()),
            (stored_key.clone(), self.writer.progress.revision(&key)),
        ];
        let changes = vec![Change::put(
            stored_key,
            job.completed().encode_chunk(key.chunk).into(),
        )];
        let tasks = CompletedTasks::tasks_of_chunk(key.chunk);
        let tasks = job.unpersisted().range(tasks).copied().collect();
        draft.add(
            preconditions,
            changes,
            RecordUpdate::Progress { key, tasks },
        )
    }
}
