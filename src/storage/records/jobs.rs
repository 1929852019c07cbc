//! Open records and terminal records of jobs.

use crate::ids::JobId;
use crate::protocol::users::{JobPhase, JobSpec};
use serde::{Deserialize, Serialize};

/// An accepted job that is neither done nor cancelled. Stored under [`open_job_key`](super::open_job_key).
///
/// Written once by the controller that accepts the job. Deleted, in the transaction that writes the job's
/// [`TerminalRecord`], by the controller that cancels the job or by the leader. Read by every controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenJobRecord {
    /// The job specification, as submitted by the user.
    pub spec: JobSpec,
    /// Unix time at which the job was accepted, in milliseconds. Used for deadlines only; no safety property depends
    /// on it.
    #[serde(rename = "at_ms")]
    pub accepted_at_ms: u64,
    /// Upstream jobs that this job waits for: its dependencies that were not done when it was accepted, except those
    /// on dependency pages.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "after")]
    pub upstream_jobs: Vec<JobId>,
    /// Number of dependency pages, which list the upstream jobs if they don't fit in this record.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[serde(rename = "edge_pages")]
    pub dependency_pages: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// The record exceeds the size limit for values even after its upstream jobs have been moved to dependency pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the record exceeds {max_bytes} bytes")]
pub struct RecordTooLarge {
    /// The size limit, in bytes.
    pub max_bytes: usize,
}

impl OpenJobRecord {
    /// Moves the upstream jobs to dependency pages if the record would exceed `max_bytes` with them. Returns the
    /// pages, each within the same limit, or none if the whole record fits.
    pub fn move_dependencies_to_pages(
        &mut self,
        max_bytes: usize,
    ) -> Result<Vec<Vec<JobId>>, RecordTooLarge> {
        if self.fits(max_bytes) {
            return Ok(Vec::new());
        }
        let upstream_jobs = std::mem::take(&mut self.upstream_jobs);
        // The number of pages isn't known yet: check the size with the longest possible number.
        self.dependency_pages = u32::MAX;
        if !self.fits(max_bytes) {
            return Err(RecordTooLarge { max_bytes });
        }
        let pages = split_into_pages(upstream_jobs, max_bytes);
        self.dependency_pages = pages.len() as u32;
        Ok(pages)
    }

    fn fits(&self, max_bytes: usize) -> bool {
        serde_json::to_string(self).is_ok_and(|text| text.len() <= max_bytes)
    }
}

/// Distributes job ids over pages whose JSON arrays take at most `max_bytes` each.
fn split_into_pages(ids: Vec<JobId>, max_bytes: usize) -> Vec<Vec<JobId>> {
    const BRACKETS_BYTES: usize = 2;
    const QUOTES_AND_COMMA_BYTES: usize = 3;
    let mut pages: Vec<Vec<JobId>> = Vec::new();
    let mut page_bytes = max_bytes;
    for id in ids {
        let id_bytes = id.as_str().len() + QUOTES_AND_COMMA_BYTES;
        if page_bytes + id_bytes > max_bytes {
            pages.push(Vec::new());
            page_bytes = BRACKETS_BYTES;
        }
        page_bytes += id_bytes;
        if let Some(page) = pages.last_mut() {
            page.push(id);
        }
    }
    pages
}

/// The final state of a job. Stored under [`terminal_key`](super::terminal_key).
///
/// Written in the transaction that deletes the open record: by the leader when all tasks are done or an upstream
/// job was cancelled, or by the controller that cancels the job. Never rewritten. Kept forever, so it holds little
/// more than what the API reports to users.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TerminalRecord {
    /// Done or cancelled.
    pub phase: JobPhase,
    /// Number of tasks of the job.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Unix time at which the job was done, in milliseconds; set only if the job had downstream jobs. A hint: a new
    /// leader derives from it how long the downstream jobs have been ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "at_ms")]
    pub done_at_ms: Option<u64>,
}

impl TerminalRecord {
    /// Returns the record of a job that was cancelled, either itself or through one of its upstream jobs.
    pub fn cancelled(tasks: u32) -> TerminalRecord {
        TerminalRecord {
            phase: JobPhase::Cancelled,
            tasks,
            done_at_ms: None,
        }
    }
}
