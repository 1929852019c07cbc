//! Launch intents: which page contains which of them, and which wait to be written.
//!
//! A page is always rewritten as a whole, with its intents that are still valid and with new ones. Garbage
//! collection therefore needs no changes of its own, and there are never many more pages than the valid intents
//! need.

use super::stored_page::StoredPage;
use crate::ids::{AttemptId, JobId, KeyRevision, MachineId, PageNumber};
use crate::storage::records::LaunchIntent;
use crate::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The launch intent pages, and the queue of intents that wait to be written.
#[derive(Debug, Default)]
pub(super) struct IntentPages {
    pages: BTreeMap<PageNumber, StoredPage<LaunchIntent>>,
    queue: VecDeque<LaunchIntent>,
}

impl IntentPages {
    /// Appends an intent to the queue.
    pub fn enqueue(&mut self, intent: LaunchIntent) {
        self.queue.push_back(intent);
    }

    /// Iterates over the queued intents, oldest first. Some may no longer need to be written.
    pub fn queued(&self) -> impl Iterator<Item = &LaunchIntent> {
        self.queue.iter()
    }

    /// Drops intents from the front of the queue, up to the first one that still has to be written.
    pub fn pop_obsolete(&mut self, awaits_page: impl Fn(&LaunchIntent) -> bool) {
        while self
            .queue
            .front()
            .is_some_and(|intent| !awaits_page(intent))
        {
            self.queue.pop_front();
        }
    }

    /// Adds a page that a new leader has read from the state store.
    pub fn recover_page(&mut self, page: PageNumber, revision: KeyRevision) {
        self.pages.entry(page).or_default().revision = revision;
    }

    /// Adds a valid intent that a new leader has read from a page.
    pub fn recover_intent(&mut self, page: PageNumber, intent: LaunchIntent) {
        self.pages.entry(page).or_default().entries.insert(intent);
    }

    /// Marks a page as outdated because the stored page contains an obsolete intent.
    pub fn mark_outdated(&mut self, now: Instant, page: PageNumber) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.mark_outdated(now);
        }
    }

    /// Removes an intent that has become obsolete, so that the next write of its page omits it.
    pub fn remove_intent(&mut self, now: Instant, page: PageNumber, intent: &LaunchIntent) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.remove(now, intent);
        }
    }

    /// Returns the page with the fewest valid intents, disregarding the pages in `excluded`.
    pub fn emptiest(&self, excluded: &BTreeSet<PageNumber>) -> Option<PageNumber> {
        let pages = self.pages.iter().filter(|(n, _)| !excluded.contains(n));
        pages
            .min_by_key(|(n, page)| (page.entries.len(), **n))
            .map(|(n, _)| *n)
    }

    /// Returns the lowest page number that is neither in use nor in `excluded`.
    pub fn first_unused(&self, excluded: &BTreeSet<PageNumber>) -> PageNumber {
        let is_used = |n: &PageNumber| self.pages.contains_key(n) || excluded.contains(n);
        let mut page = PageNumber(0);
        while is_used(&page) {
            page.0 += 1;
        }
        page
    }

    /// Returns the valid intents of a page, and the page's key revision.
    pub fn contents(&self, page: PageNumber) -> (Vec<LaunchIntent>, KeyRevision) {
        let Some(page) = self.pages.get(&page) else {
            return (Vec::new(), KeyRevision(0));
        };
        (page.entries.iter().cloned().collect(), page.revision)
    }

    /// Returns the pages without valid intents that have been outdated for longer than `bound`, with their key
    /// revisions.
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

    /// Records a successful write of a page. `intents` are the written intents that are still valid; `outdated`
    /// is true if the written page contains others.
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

    /// Removes a page that has been deleted from the state store.
    pub fn remove_page(&mut self, page: PageNumber) {
        self.pages.remove(&page);
    }

    /// Updates the revision of a page whose key has been read again. A stored page is marked as outdated, because it
    /// may contain obsolete intents.
    pub fn refresh(&mut self, now: Instant, page: PageNumber, revision: KeyRevision) {
        let state = self.pages.entry(page).or_default();
        state.revision = revision;
        if state.is_stored() {
            state.mark_outdated(now);
        } else if state.entries.is_empty() {
            self.pages.remove(&page);
        }
    }

    pub fn page_count(&self) -> usize {
        self.pages.len()
    }

    /// Returns the number of queued intents.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }
}

/// Braces and field names of a page.
const EMPTY_PAGE_BYTES: usize = 32;
/// A task index of at most six digits, and a comma.
const TASK_BYTES: usize = 7;
/// Quotes, colon, comma and brackets around a name.
const NAME_OVERHEAD_BYTES: usize = 6;
/// An attempt id as the key of its tasks, and the same id as the key of its placement time.
const ATTEMPT_ID_BYTES: usize = 26 + 36;
/// Three decimal numbers of at most 18 characters each, with the punctuation around them.
const JOB_RESOURCES_BYTES: usize = 66;

/// An upper bound for the encoded size of a page with the intents added so far.
#[derive(Default)]
pub(super) struct IntentPageSize {
    entry_bytes: usize,
    attempt_ids: BTreeSet<AttemptId>,
    jobs_of_attempts: BTreeSet<(AttemptId, JobId)>,
    machines_of_attempts: BTreeSet<(AttemptId, JobId, MachineId)>,
    jobs: BTreeSet<JobId>,
}

impl IntentPageSize {
    /// Returns the upper bound, in bytes.
    pub fn bytes(&self) -> usize {
        self.entry_bytes + EMPTY_PAGE_BYTES
    }

    /// Adds an intent of a job that belongs to `team`.
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
