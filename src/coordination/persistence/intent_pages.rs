//! Which page of launch intents holds which task attempts, and which attempts wait for a page.
//!
//! A page is rewritten as a whole: what on it is still true, and what is new. So garbage collection costs no
//! change of its own, and there are never many more pages than what is true needs.

use super::stored_page::StoredPage;
use crate::ids::{AttemptId, JobId, KeyRevision, MachineId, PageNumber};
use crate::storage::records::LaunchIntent;
use crate::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The pages of launch intents, and the intents that wait to be written.
#[derive(Debug, Default)]
pub(super) struct IntentPages {
    pages: BTreeMap<PageNumber, StoredPage<LaunchIntent>>,
    queue: VecDeque<LaunchIntent>,
}

impl IntentPages {
    /// An intent joins those that wait to be written.
    pub fn enqueue(&mut self, intent: LaunchIntent) {
        self.queue.push_back(intent);
    }

    /// The intents that wait to be written, the longest waiting first. Some may be settled already.
    pub fn queued(&self) -> impl Iterator<Item = &LaunchIntent> {
        self.queue.iter()
    }

    /// Drops intents from the front of the queue as long as they need not be written any more.
    pub fn pop_obsolete(&mut self, awaits_page: impl Fn(&LaunchIntent) -> bool) {
        while self
            .queue
            .front()
            .is_some_and(|intent| !awaits_page(intent))
        {
            self.queue.pop_front();
        }
    }

    /// A new leader has found a page.
    pub fn recover_page(&mut self, page: PageNumber, revision: KeyRevision) {
        self.pages.entry(page).or_default().revision = revision;
    }

    /// A new leader has found an intent on a page.
    pub fn recover_intent(&mut self, page: PageNumber, intent: LaunchIntent) {
        self.pages.entry(page).or_default().entries.insert(intent);
    }

    /// The stored page holds something that is no longer true.
    pub fn mark_outdated(&mut self, now: Instant, page: PageNumber) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.mark_outdated(now);
        }
    }

    /// An intent is no longer true: its page may be written without it.
    pub fn remove_intent(&mut self, now: Instant, page: PageNumber, intent: &LaunchIntent) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.remove(now, intent);
        }
    }

    /// The page with the fewest intents that are still true, none of `excluded`.
    pub fn emptiest(&self, excluded: &BTreeSet<PageNumber>) -> Option<PageNumber> {
        let pages = self.pages.iter().filter(|(n, _)| !excluded.contains(n));
        pages
            .min_by_key(|(n, page)| (page.entries.len(), **n))
            .map(|(n, _)| *n)
    }

    /// The first page that doesn't exist, none of `excluded`.
    pub fn first_unused(&self, excluded: &BTreeSet<PageNumber>) -> PageNumber {
        let is_used = |n: &PageNumber| self.pages.contains_key(n) || excluded.contains(n);
        let mut page = PageNumber(0);
        while is_used(&page) {
            page.0 += 1;
        }
        page
    }

    /// What on a page is still true, and the revision of its key.
    pub fn contents(&self, page: PageNumber) -> (Vec<LaunchIntent>, KeyRevision) {
        let Some(page) = self.pages.get(&page) else {
            return (Vec::new(), KeyRevision(0));
        };
        (page.entries.iter().cloned().collect(), page.revision)
    }

    /// Pages of which nothing has been true any more for longer than the bound, with the revisions of their keys.
    pub fn obsolete(
        &self,
        now: Instant,
        bound: TimeSpan,
    ) -> impl Iterator<Item = (PageNumber, KeyRevision)> + '_ {
        let is_obsolete = move |page: &StoredPage<LaunchIntent>| {
            page.entries.is_empty() && page.is_outdated_longer_than(now, bound)
        };
        self.pages
            .iter()
            .filter(move |(_, page)| is_obsolete(page))
            .map(|(n, page)| (*n, page.revision))
    }

    /// A page has been written. Of what was written, `intents` are still true; `outdated` if that isn't all.
    pub fn mark_written(
        &mut self,
        now: Instant,
        page: PageNumber,
        revision: KeyRevision,
        intents: Vec<LaunchIntent>,
        outdated: bool,
    ) {
        let page = self.pages.entry(page).or_default();
        page.entries = intents.into_iter().collect();
        page.mark_written(now, revision, outdated);
    }

    /// A page has been deleted.
    pub fn remove_page(&mut self, page: PageNumber) {
        self.pages.remove(&page);
    }

    /// The key of a page has been read again: what it holds beyond what is true isn't known, so it is outdated.
    pub fn refresh(&mut self, now: Instant, page: PageNumber, revision: KeyRevision) {
        let state = self.pages.entry(page).or_default();
        state.revision = revision;
        if state.is_stored() {
            state.mark_outdated(now);
        } else if state.entries.is_empty() {
            self.pages.remove(&page);
        }
    }

    /// How many pages there are.
    pub fn page_count(&self) -> usize {
        self.pages.len()
    }

    /// How many intents wait to be written.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }
}

/// Braces and names of the fields of a page.
const EMPTY_PAGE_BYTES: usize = 32;
/// A task's number, of at most six digits, and a comma.
const TASK_BYTES: usize = 7;
/// Quotes, colon, comma and brackets around a name.
const NAME_OVERHEAD_BYTES: usize = 6;
/// An attempt id over its tasks, and the same one over the time at which it was placed.
const ATTEMPT_ID_BYTES: usize = 26 + 36;
/// Three decimal numbers of at most 18 characters each, with what is around them.
const JOB_RESOURCES_BYTES: usize = 66;

/// An upper bound for the bytes of a page that holds the intents added so far.
#[derive(Default)]
pub(super) struct IntentPageSize {
    entry_bytes: usize,
    attempt_ids: BTreeSet<AttemptId>,
    jobs_of_attempts: BTreeSet<(AttemptId, JobId)>,
    machines_of_attempts: BTreeSet<(AttemptId, JobId, MachineId)>,
    jobs: BTreeSet<JobId>,
}

impl IntentPageSize {
    /// The bytes of a page with what was added.
    pub fn bytes(&self) -> usize {
        self.entry_bytes + EMPTY_PAGE_BYTES
    }

    /// Adds an intent of a job of that team.
    pub fn add(&mut self, intent: &LaunchIntent, team: &str) {
        let attempt_id = intent.attempt.attempt_id;
        let job = intent.job();
        let machine_id = &intent.machine_id;
        self.entry_bytes += TASK_BYTES;
        if self.attempt_ids.insert(attempt_id) {
            self.entry_bytes += ATTEMPT_ID_BYTES;
        }
        if self.jobs_of_attempts.insert((attempt_id, job.clone())) {
            self.entry_bytes += job.as_str().len() + NAME_OVERHEAD_BYTES;
        }
        let machine_of_attempt = (attempt_id, job.clone(), machine_id.clone());
        if self.machines_of_attempts.insert(machine_of_attempt) {
            self.entry_bytes += machine_id.as_str().len() + NAME_OVERHEAD_BYTES;
        }
        if self.jobs.insert(job.clone()) {
            self.entry_bytes += job.as_str().len() + team.len() + JOB_RESOURCES_BYTES;
        }
    }
}
