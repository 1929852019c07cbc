//! Which page on the state service holds what. A page is rewritten as a whole: what in it is still
//! true, and what is new. So reclaiming costs no change of its own, and there are never many more
//! pages than what is true needs.

use crate::ids::{AttemptId, JobId, KeyRevision, MachineId, PageNumber};
use crate::storage::records::LaunchIntent;
use crate::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One page of intents, as far as it is written.
#[derive(Debug, Default)]
struct IntentPageState {
    revision: KeyRevision,
    /// What it holds that may still be true.
    live: BTreeSet<LaunchIntent>,
    /// Since when it has held something that no longer is.
    stale_since: Option<Instant>,
}

/// The pages of launch intents, and the starts that wait to be written.
#[derive(Debug, Default)]
pub struct IntentPages {
    pages: BTreeMap<PageNumber, IntentPageState>,
    waiting: VecDeque<LaunchIntent>,
}

/// What a page takes beyond its starts.
const PAGE_BYTES: usize = 32;

/// The bytes of starts put together on a page, never less than they will be: quotes, colons,
/// commas and brackets included.
#[derive(Default)]
pub struct Measure {
    bytes: usize,
    seen: BTreeSet<(AttemptId, JobId, MachineId)>,
    tries: BTreeSet<AttemptId>,
    tried: BTreeSet<(AttemptId, JobId)>,
    jobs: BTreeSet<JobId>,
}

impl Measure {
    /// The bytes so far.
    pub fn bytes(&self) -> usize {
        self.bytes + PAGE_BYTES
    }
    /// Takes a start in.
    pub fn add(&mut self, key: &LaunchIntent, team: &str) {
        let job = &key.attempt.task.job;
        // A task's number and a comma; numbers have at most six digits.
        self.bytes += 7;
        if self.tries.insert(key.attempt.attempt_id) {
            // Once for its starts, and once for when it was placed.
            self.bytes += 26 + 36;
        }
        if self.tried.insert((key.attempt.attempt_id, job.clone())) {
            self.bytes += job.as_str().len() + 6;
        }
        if self
            .seen
            .insert((key.attempt.attempt_id, job.clone(), key.machine_id.clone()))
        {
            self.bytes += key.machine_id.as_str().len() + 6;
        }
        if self.jobs.insert(job.clone()) {
            // Three decimal numbers, written with at most 18 characters each.
            self.bytes += job.as_str().len() + team.len() + 66;
        }
    }
}

impl IntentPages {
    /// A start joins those that wait to be written.
    pub fn wait(&mut self, key: LaunchIntent) {
        self.waiting.push_back(key);
    }

    /// Those that wait, the longest first.
    pub fn waiting(&self) -> impl Iterator<Item = &LaunchIntent> {
        self.waiting.iter()
    }

    /// Drops from the front of those that wait whatever no longer does.
    pub fn drop_settled(&mut self, still: impl Fn(&LaunchIntent) -> bool) {
        while self.waiting.front().is_some_and(|k| !still(k)) {
            self.waiting.pop_front();
        }
    }

    /// A page as a new leader found it.
    pub fn found(&mut self, page: PageNumber, revision: KeyRevision) {
        self.pages.entry(page).or_default().revision = revision;
    }

    /// A start that a page holds.
    pub fn holds(&mut self, page: PageNumber, key: LaunchIntent) {
        self.pages.entry(page).or_default().live.insert(key);
    }

    /// A page holds something that is no longer true.
    pub fn outdated(&mut self, now: Instant, page: PageNumber) {
        if let Some(p) = self.pages.get_mut(&page) {
            p.stale_since.get_or_insert(now);
        }
    }

    /// A start is no longer true: its page may be written without it.
    pub fn gone(&mut self, now: Instant, page: PageNumber, key: &LaunchIntent) {
        if let Some(p) = self.pages.get_mut(&page) {
            p.live.remove(key);
            p.stale_since.get_or_insert(now);
        }
    }

    /// The page to be written next: the emptiest that there is, if any; none of `taken`.
    pub fn emptiest(&self, taken: &BTreeSet<PageNumber>) -> Option<PageNumber> {
        let free = self.pages.iter().filter(|(n, _)| !taken.contains(n));
        free.min_by_key(|(n, p)| (p.live.len(), **n))
            .map(|(n, _)| *n)
    }

    /// The first page that does not exist; none of `taken`.
    pub fn fresh(&self, taken: &BTreeSet<PageNumber>) -> PageNumber {
        let mut n = 0;
        while self.pages.contains_key(&PageNumber(n)) || taken.contains(&PageNumber(n)) {
            n += 1;
        }
        PageNumber(n)
    }

    /// What of a page is still true, and the page's version.
    pub fn page(&self, page: PageNumber) -> (Vec<LaunchIntent>, KeyRevision) {
        self.pages
            .get(&page)
            .map_or((Vec::new(), KeyRevision(0)), |p| {
                (p.live.iter().cloned().collect(), p.revision)
            })
    }

    /// Pages that have held what is no longer true for longer than the bound.
    pub fn stale(&self, now: Instant, bound: TimeSpan) -> impl Iterator<Item = PageNumber> + '_ {
        let ripe = move |p: &IntentPageState| p.stale_since.is_some_and(|t| now - t > bound);
        self.pages
            .iter()
            .filter(move |(_, p)| ripe(p))
            .map(|(n, _)| *n)
    }

    /// A page is written with these starts; those of them that are gone since make it stale.
    pub fn written(
        &mut self,
        now: Instant,
        page: PageNumber,
        revision: KeyRevision,
        keys: Vec<LaunchIntent>,
        gone: bool,
    ) {
        let p = self.pages.entry(page).or_default();
        p.revision = revision;
        p.live = keys.into_iter().collect();
        p.stale_since = gone.then_some(now);
    }

    /// A page is deleted.
    pub fn deleted(&mut self, page: PageNumber) {
        self.pages.remove(&page);
    }

    /// A page was read again: what it holds beyond what is true is not known, so it is stale.
    pub fn reread(&mut self, now: Instant, page: PageNumber, revision: KeyRevision) {
        let p = self.pages.entry(page).or_default();
        p.revision = revision;
        if revision != KeyRevision(0) {
            p.stale_since.get_or_insert(now);
        } else if p.live.is_empty() {
            self.pages.remove(&page);
        }
    }

    /// How many pages there are, and starts that wait.
    pub fn sizes(&self) -> (usize, usize) {
        (self.pages.len(), self.waiting.len())
    }
}

/// Bytes that a machine takes on its page, beyond its name, with some images named.
const MACHINE_ENTRY_BYTES: usize = 60;
/// Bytes of a machine's name on its page, and of the kinds and images that a page names, at most.
const MACHINE_NAME_BYTES: usize = 16;
const MACHINE_PAGE_NAMES: usize = 1000;
/// A page out of date since then is written as soon as there is time.
const LONG_AGO: Instant = Instant::LONG_AGO;

/// One page of machines.
#[derive(Debug, Default)]
struct MachinePageState {
    revision: KeyRevision,
    machine_ids: BTreeSet<MachineId>,
    /// A machine on it isn't written yet.
    urgent: bool,
    /// Since when it has been out of date.
    stale_since: Option<Instant>,
    /// Machines that it lists as stored, and that are to be listed on other pages. It isn't written before
    /// they are: no machine is ever on no page.
    moving: BTreeSet<MachineId>,
}

/// The pages of machines.
#[derive(Debug)]
pub struct MachinePages {
    pages: BTreeMap<PageNumber, MachinePageState>,
    most: usize,
}

impl MachinePages {
    /// Pages of at most so many bytes each.
    pub fn new(value_bytes: usize) -> MachinePages {
        let mut pages = MachinePages {
            pages: BTreeMap::new(),
            most: 1,
        };
        pages.hold_at_most(value_bytes);
        pages
    }

    /// From now on a page is to take at most so many bytes: `split` makes room on those that are larger.
    pub fn hold_at_most(&mut self, value_bytes: usize) {
        let for_machines = value_bytes - (value_bytes / 4).min(MACHINE_PAGE_NAMES);
        self.most = (for_machines / (MACHINE_ENTRY_BYTES + MACHINE_NAME_BYTES)).max(1);
    }

    /// A page as a new leader found it.
    pub fn found(
        &mut self,
        page: PageNumber,
        revision: KeyRevision,
        machine_ids: BTreeSet<MachineId>,
    ) {
        let state = MachinePageState {
            revision,
            machine_ids,
            ..MachinePageState::default()
        };
        self.pages.insert(page, state);
    }

    /// Finds a page for a new machine.
    pub fn enter(&mut self, machine_id: &MachineId) -> PageNumber {
        let most = self.most;
        let page = self.page_with_room(most);
        let p = self.pages.entry(page).or_default();
        p.machine_ids.insert(machine_id.clone());
        p.urgent = true;
        page
    }

    fn page_with_room(&self, most: usize) -> PageNumber {
        let has_room = |p: &MachinePageState| p.machine_ids.len() < most && p.moving.is_empty();
        let found = self.pages.iter().find(|(_, p)| has_room(p));
        let next = || self.pages.keys().next_back().map_or(0, |n| n.0 + 1);
        found.map_or_else(|| PageNumber(next()), |(n, _)| *n)
    }

    /// Spreads the machines of pages that list more than may be written now over further pages; says
    /// which go where. The new pages are written when there is time, the old ones after them.
    ///
    /// Guards against pages written under a larger limit on values, which could never be written again.
    pub fn split(&mut self) -> Vec<(MachineId, PageNumber)> {
        let mut moved = Vec::new();
        let large = self
            .pages
            .iter()
            .filter(|(_, p)| p.machine_ids.len() > self.most);
        for old in large.map(|(n, _)| *n).collect::<Vec<_>>() {
            let Some(p) = self.pages.get_mut(&old) else {
                continue;
            };
            let surplus: Vec<MachineId> = p.machine_ids.iter().skip(self.most).cloned().collect();
            // Only what is stored here keeps the page from being written.
            let stored = surplus.iter().filter(|_| p.revision != KeyRevision(0));
            p.moving.extend(stored.cloned());
            p.machine_ids.retain(|h| !surplus.contains(h));
            let urgent = p.urgent;
            for machine_id in surplus {
                let page = self.page_with_room(self.most);
                let p = self.pages.entry(page).or_default();
                p.machine_ids.insert(machine_id.clone());
                p.stale_since = Some(LONG_AGO);
                p.urgent |= urgent;
                moved.push((machine_id, page));
            }
        }
        moved
    }

    /// Machines that are on a page of their own now, or gone, keep no other page from being written.
    fn settle_moving(&mut self, now: Instant, settled: impl Fn(&MachineId) -> bool) {
        for p in self.pages.values_mut().filter(|p| !p.moving.is_empty()) {
            p.moving.retain(|h| !settled(h));
            if p.moving.is_empty() {
                p.stale_since.get_or_insert(now);
            }
        }
    }

    /// A machine is gone.
    pub fn leave(&mut self, now: Instant, page: PageNumber, machine_id: &MachineId) {
        if let Some(p) = self.pages.get_mut(&page) {
            p.machine_ids.remove(machine_id);
            p.stale_since.get_or_insert(now);
        }
        self.settle_moving(now, |h| h == machine_id);
    }

    /// What is known of a machine has changed.
    pub fn changed(&mut self, now: Instant, page: PageNumber) {
        if let Some(p) = self.pages.get_mut(&page) {
            p.stale_since.get_or_insert(now);
        }
    }

    /// Pages to be written: those with new machines, and those out of date for longer than the
    /// bound, if `lazy` ones are wanted.
    pub fn due(&self, now: Instant, bound: TimeSpan, lazy: bool) -> Vec<PageNumber> {
        let due = |p: &MachinePageState| {
            let due = p.urgent || p.stale_since.is_some_and(|t| now - t > bound);
            due && p.urgent != lazy && p.moving.is_empty()
        };
        self.pages
            .iter()
            .filter(|(_, p)| due(p))
            .map(|(n, _)| *n)
            .collect()
    }

    /// The machines of a page and its version.
    pub fn page(&self, page: PageNumber) -> (BTreeSet<MachineId>, KeyRevision) {
        let p = self.pages.get(&page);
        p.map_or_else(Default::default, |p| (p.machine_ids.clone(), p.revision))
    }

    /// A page is written with these machines.
    pub fn written(
        &mut self,
        now: Instant,
        page: PageNumber,
        revision: KeyRevision,
        machine_ids: &BTreeSet<MachineId>,
    ) {
        let p = self.pages.entry(page).or_default();
        p.revision = revision;
        p.urgent = !p.machine_ids.is_subset(machine_ids);
        p.stale_since = (p.machine_ids != *machine_ids).then_some(now);
        self.settle_moving(now, |h| machine_ids.contains(h));
    }

    /// A page was read again.
    pub fn reread(&mut self, now: Instant, page: PageNumber, revision: KeyRevision) {
        let p = self.pages.entry(page).or_default();
        p.revision = revision;
        p.urgent = !p.machine_ids.is_empty();
        p.stale_since.get_or_insert(now);
    }
}
