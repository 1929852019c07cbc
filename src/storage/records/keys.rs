//! Keys of the records: how each is built, and how any of them is read back.

use crate::ids::{JobId, PageNumber};
use std::fmt;

/// Key of the [`LeaderRecord`](super::LeaderRecord).
pub const LEADER_KEY: &str = "lead";
/// Key of the counter of fencing tokens.
pub const FENCING_TOKEN_KEY: &str = "baton";
/// Key of the machine types, so that a controller can judge submissions while the cloud is unavailable.
pub const CATALOG_KEY: &str = "catalog";
/// Key of what was observed of job classes: hints for a new leader, no safety rests on them.
pub const HINTS_KEY: &str = "hints";
/// Prefix of the keys of open jobs.
pub const OPEN_JOB_PREFIX: &str = "o/";
/// Prefix of the keys of dependency lists and their pages.
pub const DEPENDENCY_PREFIX: &str = "e/";
/// Prefix of the keys of terminal records.
pub const TERMINAL_PREFIX: &str = "f/";
/// Prefix of the keys of progress records.
pub const PROGRESS_PREFIX: &str = "p/";
/// Prefix of the keys of pages of launch intents.
pub const INTENT_PAGE_PREFIX: &str = "i/";
/// Prefix of the keys of pages of machines.
pub const MACHINE_PAGE_PREFIX: &str = "h/";

/// Key of an open job.
pub fn open_job_key(job: &JobId) -> String {
    format!("{OPEN_JOB_PREFIX}{job}")
}

/// Key that stands for one attempt to write the dependency pages of a job.
pub fn dependency_list_key(job: &JobId) -> String {
    format!("{DEPENDENCY_PREFIX}{job}")
}

/// Key of one dependency page of a job.
pub fn dependency_page_key(job: &JobId, page: u32) -> String {
    format!("{DEPENDENCY_PREFIX}{job}/{page}")
}

/// Key of a terminal record.
pub fn terminal_key(job: &JobId) -> String {
    format!("{TERMINAL_PREFIX}{job}")
}

/// Key of a page of launch intents.
pub fn intent_page_key(page: PageNumber) -> String {
    format!("{INTENT_PAGE_PREFIX}{}", page.0)
}

/// Key of a page of machines.
pub fn machine_page_key(page: PageNumber) -> String {
    format!("{MACHINE_PAGE_PREFIX}{}", page.0)
}

/// Names one progress record: a chunk of the completed tasks of a job. Displayed as its key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProgressKey {
    /// The job.
    pub job: JobId,
    /// Which [`TASKS_PER_PROGRESS_RECORD`](super::TASKS_PER_PROGRESS_RECORD) tasks of it, from 0.
    pub chunk: u32,
}

impl ProgressKey {
    /// Reads a key back; `None` if it is no progress record's.
    pub fn parse(key: &str) -> Option<ProgressKey> {
        let (job, chunk) = key.strip_prefix(PROGRESS_PREFIX)?.rsplit_once('/')?;
        Some(ProgressKey {
            job: JobId::parse(job)?,
            chunk: chunk.parse().ok()?,
        })
    }
}

impl fmt::Display for ProgressKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PROGRESS_PREFIX}{}/{}", self.job, self.chunk)
    }
}

/// Any key of ours, with what it names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordKey {
    /// The [`LeaderRecord`](super::LeaderRecord).
    Leader,
    /// The counter of fencing tokens.
    FencingToken,
    /// The machine types.
    Catalog,
    /// What was observed of job classes.
    Hints,
    /// An open job.
    OpenJob(JobId),
    /// How a job ended.
    Terminal(JobId),
    /// A job's dependency list, or one of its pages.
    Dependencies,
    /// Completed tasks of a job.
    Progress(ProgressKey),
    /// A page of launch intents.
    IntentPage(PageNumber),
    /// A page of machines.
    MachinePage(PageNumber),
}

impl RecordKey {
    /// Reads a key; `None` if it isn't one of ours.
    pub fn parse(key: &str) -> Option<RecordKey> {
        match key {
            LEADER_KEY => return Some(RecordKey::Leader),
            FENCING_TOKEN_KEY => return Some(RecordKey::FencingToken),
            CATALOG_KEY => return Some(RecordKey::Catalog),
            HINTS_KEY => return Some(RecordKey::Hints),
            _ => {}
        }
        let (prefix, name) = key.split_at(key.find('/')? + 1);
        let page = || name.parse().ok().map(PageNumber);
        match prefix {
            OPEN_JOB_PREFIX => Some(RecordKey::OpenJob(JobId::from(name))),
            TERMINAL_PREFIX => Some(RecordKey::Terminal(JobId::from(name))),
            DEPENDENCY_PREFIX => Some(RecordKey::Dependencies),
            PROGRESS_PREFIX => ProgressKey::parse(key).map(RecordKey::Progress),
            INTENT_PAGE_PREFIX => page().map(RecordKey::IntentPage),
            MACHINE_PAGE_PREFIX => page().map(RecordKey::MachinePage),
            _ => None,
        }
    }
}
