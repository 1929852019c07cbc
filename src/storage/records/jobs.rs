//! Records of open jobs and of how jobs ended.

use crate::ids::JobId;
use crate::protocol::users::{JobPhase, JobSpec};
use serde::{Deserialize, Serialize};

/// An accepted job that is neither done nor cancelled. Stored under [`open_job_key`](super::open_job_key).
///
/// Written once by the controller that accepts the job; deleted, with the job's [`TerminalRecord`] written, by
/// the one that cancels it or by the leader. Every controller reads it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenJobRecord {
    /// The job as its user describes it.
    pub spec: JobSpec,
    /// Time of day of the acceptance, in milliseconds since 1970; only for deadlines, never for safety.
    #[serde(rename = "at_ms")]
    pub accepted_at_ms: u64,
    /// Upstream jobs that this one waits for: those of its dependencies that were not done yet when it was
    /// accepted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "after")]
    pub upstream_jobs: Vec<JobId>,
    /// How many pages name further upstream jobs, for which there was no room here.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[serde(rename = "edge_pages")]
    pub dependency_pages: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// A record that exceeds the limit on values even with its dependencies on pages of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the record exceeds {max_bytes} bytes")]
pub struct RecordTooLarge {
    /// The limit.
    pub max_bytes: usize,
}

impl OpenJobRecord {
    /// Moves the upstream jobs to pages of their own if a value of `max_bytes` has no room for them. Each page is
    /// within the limit too; there are none if everything fits.
    pub fn move_dependencies_to_pages(
        &mut self,
        max_bytes: usize,
    ) -> Result<Vec<Vec<JobId>>, RecordTooLarge> {
        if self.fits(max_bytes) {
            return Ok(Vec::new());
        }
        let upstream_jobs = std::mem::take(&mut self.upstream_jobs);
        // The longest number there can be.
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

/// Distributes ids over JSON arrays of at most `max_bytes` each.
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

/// How a job ended. Stored under [`terminal_key`](super::terminal_key).
///
/// Written, in the transaction that deletes the open record, by the leader when all tasks are done or when an
/// upstream job was cancelled, or by the controller that cancels. Kept for ever, so it holds little more than what
/// users are told; never rewritten.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TerminalRecord {
    /// Done or cancelled.
    pub phase: JobPhase,
    /// How many tasks the job had.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Time of day at which a job with downstream jobs was done, in milliseconds since 1970: a hint, from which a
    /// new leader tells how long those have been ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "at_ms")]
    pub done_at_ms: Option<u64>,
}

impl TerminalRecord {
    /// The record of a job that its user, or the user of a job upstream of it, has cancelled.
    pub fn cancelled(tasks: u32) -> TerminalRecord {
        TerminalRecord {
            phase: JobPhase::Cancelled,
            tasks,
            done_at_ms: None,
        }
    }
}
