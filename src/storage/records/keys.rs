//! Formatting and parsing of record keys.

use crate::ids::{JobId, PageNumber};
use std::fmt;

/// Key of the [`LeaderRecord`](super::LeaderRecord).
pub const LEADER_KEY: &str = "lead";
/// Key of the counter of fencing tokens.
pub const FENCING_TOKEN_KEY: &str = "baton";
/// Key of the machine types. A controller validates submissions against them while the cloud is unavailable.
pub const CATALOG_KEY: &str = "catalog";
/// Key of the arrival rates and run times observed for each job class: hints for a new leader, on which no safety
/// property depends.
pub const HINTS_KEY: &str = "hints";
/// Prefix of the keys of open jobs.
pub const OPEN_JOB_PREFIX: &str = "o/";
/// Prefix of the keys of dependency lists and dependency pages.
pub const DEPENDENCY_PREFIX: &str = "e/";
/// Prefix of the keys of terminal records.
pub const TERMINAL_PREFIX: &str = "f/";
/// Prefix of the keys of progress records.
pub const PROGRESS_PREFIX: &str = "p/";
/// Prefix of the keys of launch intent pages.
pub const INTENT_PAGE_PREFIX: &str = "i/";
/// Prefix of the keys of machine pages.
pub const MACHINE_PAGE_PREFIX: &str = "h/";

/// Key of a job's open record.
pub fn open_job_key(job: &JobId) -> String {
    format!("{OPEN_JOB_PREFIX}{job}")
}

/// Key of a job's dependency list. Its revision identifies one attempt to write the job's dependency pages.
pub fn dependency_list_key(job: &JobId) -> String {
    format!("{DEPENDENCY_PREFIX}{job}")
}

/// Key of one dependency page of a job.
pub fn dependency_page_key(job: &JobId, page: u32) -> String {
    format!("{DEPENDENCY_PREFIX}{job}/{page}")
}

/// Parses the key of a dependency page into the job and the number of the page. Returns `None` for any other key.
pub fn parse_dependency_page_key(key: &str) -> Option<(JobId, u32)> {
    let (job, page) = key.strip_prefix(DEPENDENCY_PREFIX)?.split_once('/')?;
    Some((JobId::parse(job)?, page.parse().ok()?))
}

/// Key of a job's terminal record.
pub fn terminal_key(job: &JobId) -> String {
    format!("{TERMINAL_PREFIX}{job}")
}

/// Key of a launch intent page.
pub fn intent_page_key(page: PageNumber) -> String {
    format!("{INTENT_PAGE_PREFIX}{}", page.0)
}

/// Key of a machine page.
pub fn machine_page_key(page: PageNumber) -> String {
    format!("{MACHINE_PAGE_PREFIX}{}", page.0)
}

/// Identifies one progress record: a chunk of the completed tasks of a job. Displayed as the record's key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProgressKey {
    /// The job.
    pub job: JobId,
    /// Index of the chunk, from 0. Each chunk covers [`TASKS_PER_PROGRESS_RECORD`](super::TASKS_PER_PROGRESS_RECORD)
    /// tasks.
    pub chunk: u32,
}

impl ProgressKey {
    /// Parses the key of a progress record. Returns `None` for any other key.
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

/// The parsed key of any record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordKey {
    /// The [`LeaderRecord`](super::LeaderRecord).
    Leader,
    /// The counter of fencing tokens.
    FencingToken,
    /// The machine types.
    Catalog,
    /// The arrival rates and run times observed for each job class.
    Hints,
    /// The open record of a job.
    OpenJob(JobId),
    /// The terminal record of a job.
    Terminal(JobId),
    /// The dependency list of a job, or one of its dependency pages.
    Dependencies,
    /// A progress record.
    Progress(ProgressKey),
    /// A launch intent page.
    IntentPage(PageNumber),
    /// A machine page.
    MachinePage(PageNumber),
}

impl RecordKey {
    /// Parses a key. Returns `None` if no record has such a key.
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
