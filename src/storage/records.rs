//! Durable records: keys and values on the state service.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `lead` | the leader's name and token, on its lease | the leader |
//! | `token` | the last token given out | a new leader |
//! | `catalog` | machine types last seen | the leader |
//! | `o/JOB` | an open job; never rewritten, so its stamp stands for "still open" | whoever accepts |
//! | `f/JOB` | the finish mark, kept for ever | whoever cancels; the leader when done |
//! | `e/JOB` | a long list of producers is being written, or written | whoever accepts |
//! | `e/JOB/N` | producers that the open record has no room for; swept when the job is over | whoever accepts |
//! | `p/JOB/N` | done tasks of one chunk, a bit each | the leader |
//! | `i/N` | a page of launch intents: starts that may be on their machines | the leader |
//! | `h/N` | a page of machines rented, with hints about them | the leader |
//! | `hints` | arrivals and run times seen, so that a new leader need not learn them again | the leader |

use crate::ids::{
    AttemptId, FencingToken, Image, JobId, MachineId, MachineType, PageNumber, TaskId, Zone,
};
use crate::protocol::users::{JobPhase, JobSpec};
use crate::resources::Resources;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The leader key.
pub const LEADER_KEY: &str = "lead";
/// The counter of tokens.
pub const FENCING_TOKEN_KEY: &str = "baton";
/// Machine types, so that a controller can judge submissions while the cloud is down.
pub const CATALOG_KEY: &str = "catalog";
/// What was seen of job classes: hints for a new leader, nothing rests on them.
pub const HINTS_KEY: &str = "hints";
/// Prefix of open jobs.
pub const OPEN_JOB_PREFIX: &str = "o/";
/// Prefix of lists of producers that open records have no room for.
pub const DEPENDENCY_PREFIX: &str = "e/";
/// Prefix of finish marks.
pub const TERMINAL_PREFIX: &str = "f/";
/// Prefix of progress.
pub const PROGRESS_PREFIX: &str = "p/";
/// Prefix of pages of launch intents.
pub const INTENT_PAGE_PREFIX: &str = "i/";
/// Prefix of pages of machines.
pub const MACHINE_PAGE_PREFIX: &str = "h/";

/// Tasks in one progress record. 683 characters of base64: within the smallest value limit.
pub const TASKS_PER_PROGRESS_RECORD: u32 = 4096;

/// Key of an open job.
pub fn open_key(id: &JobId) -> String {
    format!("{OPEN_JOB_PREFIX}{id}")
}
/// Key that stands for one attempt to write a long list of producers.
pub fn dependency_list_key(id: &JobId) -> String {
    format!("{DEPENDENCY_PREFIX}{id}")
}
/// Key of a page of producers.
pub fn dependency_page_key(id: &JobId, page: u32) -> String {
    format!("{DEPENDENCY_PREFIX}{id}/{page}")
}
/// Key of a finish mark.
pub fn terminal_key(id: &JobId) -> String {
    format!("{TERMINAL_PREFIX}{id}")
}
/// Key of a progress chunk.
pub fn progress_key(id: &JobId, chunk: u32) -> String {
    format!("{PROGRESS_PREFIX}{id}/{chunk}")
}
/// Reads a progress key back.
pub fn parse_progress_key(key: &str) -> Option<(JobId, u32)> {
    let (job, chunk) = key.strip_prefix(PROGRESS_PREFIX)?.rsplit_once('/')?;
    Some((JobId::parse(job)?, chunk.parse().ok()?))
}
/// Key of a page of launch intents.
pub fn intent_page_key(page: PageNumber) -> String {
    format!("{INTENT_PAGE_PREFIX}{}", page.0)
}
/// Key of a page of machines.
pub fn machine_page_key(page: PageNumber) -> String {
    format!("{MACHINE_PAGE_PREFIX}{}", page.0)
}
/// Reads the number of a page back from its key.
pub fn parse_page(key: &str, prefix: &str) -> Option<PageNumber> {
    key.strip_prefix(prefix)?.parse().ok().map(PageNumber)
}

/// Who leads.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub host_name: String,
    #[serde(rename = "baton")]
    pub token: FencingToken,
}

/// An accepted job that is neither done nor cancelled.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenJobRecord {
    pub spec: JobSpec,
    /// Time of day of the acceptance, in milliseconds; only for deadlines, never for safety.
    pub at_ms: u64,
    /// Producers whose finish this job waits for: those of `waitsOn` that were not done yet when it was
    /// accepted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<JobId>,
    /// How many pages name further producers, for which there was no room here.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[serde(rename = "edge_pages")]
    pub dependency_pages: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl OpenJobRecord {
    /// Moves producers for which a value of so many bytes has no room to pages of their own, each within
    /// the limit too; none if all fit. False if the record is too long even without any.
    pub fn move_dependencies_to_pages(&mut self, most_bytes: usize) -> Option<Vec<Vec<JobId>>> {
        let size = |record: &OpenJobRecord| serde_json::to_string(record).map(|s| s.len()).ok();
        if size(self)? <= most_bytes {
            return Some(Vec::new());
        }
        let all = std::mem::take(&mut self.after);
        self.dependency_pages = u32::MAX;
        if size(self)? > most_bytes {
            return None;
        }
        let mut pages: Vec<Vec<JobId>> = Vec::new();
        let mut bytes = most_bytes;
        for id in all {
            // Quotes and a comma; the page's brackets are in the first one's account.
            let needed = id.as_str().len() + 3;
            if bytes + needed > most_bytes {
                pages.push(Vec::new());
                bytes = 2;
            }
            bytes += needed;
            if let Some(page) = pages.last_mut() {
                page.push(id);
            }
        }
        self.dependency_pages = pages.len() as u32;
        Some(pages)
    }
}

/// The finish mark. Kept for ever, so it holds little more than what users are told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TerminalRecord {
    pub phase: JobPhase,
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Time of day of the end of a job that others wait for, in milliseconds: a hint, from which a new
    /// leader tells how long those have been ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_ms: Option<u64>,
}

impl TerminalRecord {
    /// The mark of a job that its user, or that of a job it needs, has cancelled.
    pub fn cancelled(tasks: u32) -> TerminalRecord {
        TerminalRecord {
            phase: JobPhase::Cancelled,
            tasks,
            at_ms: None,
        }
    }
}

/// What each task of a job takes, and whose it is: a page says it itself, for a new leader must
/// know it also of jobs that are over but whose tasks may still be somewhere.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobResources(pub String, pub f64, pub f64, pub f64);

impl JobResources {
    /// From a job's description.
    pub fn of(spec: &JobSpec) -> JobResources {
        JobResources(spec.team.clone(), spec.cpus, spec.gpus, spec.ram_gb)
    }
    /// The amount.
    pub fn amount(&self) -> Resources {
        Resources {
            cpus: self.1,
            gpus: self.2,
            ram_gb: self.3,
        }
    }
}

/// A page of launch intents. Many starts of many machines share one value, so that a burst of
/// starts costs few changes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct IntentPage {
    /// Attempt -> job -> machine -> tasks.
    #[serde(rename = "starts")]
    pub attempts: BTreeMap<AttemptId, BTreeMap<JobId, BTreeMap<MachineId, Vec<u32>>>>,
    /// What the jobs named above take.
    pub jobs: BTreeMap<JobId, JobResources>,
    /// The time of day at which each try was placed, in seconds since 1970. A hint: it tells a new
    /// leader how long the tasks have been running.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub placed_s: BTreeMap<AttemptId, u64>,
}

impl IntentPage {
    /// Adds a start.
    pub fn add(&mut self, machine_id: &MachineId, task: &TaskId, attempt_id: AttemptId) {
        let tasks = self
            .attempts
            .entry(attempt_id)
            .or_default()
            .entry(task.job.clone())
            .or_default()
            .entry(machine_id.clone())
            .or_default();
        tasks.push(task.index);
    }
    /// The starts, flat.
    pub fn attempts(&self) -> impl Iterator<Item = (MachineId, TaskId, AttemptId)> + '_ {
        self.attempts.iter().flat_map(|(attempt_id, jobs)| {
            jobs.iter().flat_map(move |(job, machine_ids)| {
                machine_ids.iter().flat_map(move |(machine_id, tasks)| {
                    tasks.iter().map(move |index| {
                        let task = TaskId {
                            job: job.clone(),
                            index: *index,
                        };
                        (machine_id.clone(), task, *attempt_id)
                    })
                })
            })
        })
    }
}

/// A machine on its page: the kind (by number), the time of day of the rental in seconds since 1970
/// (0 if not known), whether its worker has reported, and images that should be in its cache (by
/// number, least recently used first). Only the kind matters for safety.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineEntry(pub usize, pub u64, pub bool, pub Vec<usize>);

/// A page of machines. Kinds and images are named once and then by number.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MachinePage {
    pub kinds: Vec<(MachineType, Zone, bool)>,
    pub images: Vec<(Image, f64)>,
    #[serde(rename = "hosts")]
    pub machines: BTreeMap<MachineId, MachineEntry>,
}

/// A set of task numbers, a bit each.
#[derive(Clone, Debug, Default)]
pub struct CompletedTasks {
    bits: Vec<u8>,
    count: u32,
}

impl CompletedTasks {
    /// An empty set with room for `n`.
    pub fn new(n: u32) -> Self {
        CompletedTasks {
            bits: vec![0; (n as usize).div_ceil(8)],
            count: 0,
        }
    }
    /// Whether the task is in.
    pub fn has(&self, i: u32) -> bool {
        self.bits
            .get(i as usize / 8)
            .is_some_and(|b| b & (1 << (i % 8)) != 0)
    }
    /// Adds a task; true if it was new. Numbers out of range are ignored.
    pub fn add(&mut self, i: u32) -> bool {
        let Some(b) = self.bits.get_mut(i as usize / 8) else {
            return false;
        };
        let mask = 1 << (i % 8);
        let new = *b & mask == 0;
        *b |= mask;
        self.count += u32::from(new);
        new
    }
    /// How many are in.
    pub fn count(&self) -> u32 {
        self.count
    }
    /// One chunk as text.
    pub fn chunk(&self, chunk: u32) -> String {
        let from = (chunk * TASKS_PER_PROGRESS_RECORD / 8) as usize;
        let to = (from + TASKS_PER_PROGRESS_RECORD as usize / 8).min(self.bits.len());
        STANDARD_NO_PAD.encode(self.bits.get(from..to).unwrap_or(&[]))
    }
    /// Takes in one chunk.
    pub fn load(&mut self, chunk: u32, text: &str) {
        let Ok(bytes) = STANDARD_NO_PAD.decode(text) else {
            return;
        };
        for (i, byte) in bytes.iter().enumerate() {
            for bit in 0..8 {
                if byte & (1 << bit) != 0 {
                    self.add(chunk * TASKS_PER_PROGRESS_RECORD + i as u32 * 8 + bit);
                }
            }
        }
    }
}
