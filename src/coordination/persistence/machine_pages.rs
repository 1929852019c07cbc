//! Which page of machines lists which machine, and which pages are to be written.
//!
//! Every machine is on a page from the moment it is known, and on a stored page before anything is launched on it.
//! No machine is ever on no stored page between being recorded and being terminated.

use super::stored_page::StoredPage;
use crate::ids::{KeyRevision, MachineId, PageNumber};
use crate::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes that a machine takes on its page, beyond its name, with some images named.
const MACHINE_ENTRY_BYTES: usize = 60;
/// Bytes of a machine's name on its page.
const MACHINE_NAME_BYTES: usize = 16;
/// Bytes of the names of kinds and images on a page, at most.
const MAX_SHARED_NAMES_BYTES: usize = 1000;

/// How soon a page has to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteUrgency {
    /// A machine on it isn't recorded yet: nothing can be launched there.
    Urgent,
    /// Only hints are outdated, or machines listed that are gone.
    Deferrable,
}

/// One page of machines.
#[derive(Debug, Default)]
struct MachinePageState {
    page: StoredPage<MachineId>,
    /// Whether a machine on it isn't recorded yet.
    is_urgent: bool,
    /// Machines that the stored page lists and that are to be listed on other pages. It isn't written before they
    /// are.
    moving: BTreeSet<MachineId>,
}

impl MachinePageState {
    fn is_due(&self, now: Instant, bound: TimeSpan, urgency: WriteUrgency) -> bool {
        let is_due = match urgency {
            WriteUrgency::Urgent => self.is_urgent,
            WriteUrgency::Deferrable => {
                !self.is_urgent && self.page.is_outdated_longer_than(now, bound)
            }
        };
        is_due && self.moving.is_empty()
    }
}

/// The pages of machines.
#[derive(Debug)]
pub(super) struct MachinePages {
    pages: BTreeMap<PageNumber, MachinePageState>,
    max_machines_per_page: usize,
}

impl MachinePages {
    /// No pages yet; each is to take at most so many bytes.
    pub fn new(max_value_bytes: usize) -> MachinePages {
        let mut pages = MachinePages {
            pages: BTreeMap::new(),
            max_machines_per_page: 1,
        };
        pages.set_max_value_bytes(max_value_bytes);
        pages
    }

    /// From now on a page is to take at most so many bytes: [`MachinePages::split`] shrinks those that are larger.
    pub fn set_max_value_bytes(&mut self, max_value_bytes: usize) {
        let for_machines = max_value_bytes - (max_value_bytes / 4).min(MAX_SHARED_NAMES_BYTES);
        let per_machine = MACHINE_ENTRY_BYTES + MACHINE_NAME_BYTES;
        self.max_machines_per_page = (for_machines / per_machine).max(1);
    }

    /// A new leader has found a page.
    pub fn recover_page(
        &mut self,
        page: PageNumber,
        revision: KeyRevision,
        machine_ids: BTreeSet<MachineId>,
    ) {
        let mut state = MachinePageState::default();
        state.page.revision = revision;
        state.page.entries = machine_ids;
        self.pages.insert(page, state);
    }

    /// Puts a new machine on a page.
    pub fn assign(&mut self, machine_id: &MachineId) -> PageNumber {
        let page = self.page_with_room();
        let state = self.pages.entry(page).or_default();
        state.page.entries.insert(machine_id.clone());
        state.is_urgent = true;
        page
    }

    fn page_with_room(&self) -> PageNumber {
        let has_room = |state: &MachinePageState| {
            state.page.entries.len() < self.max_machines_per_page && state.moving.is_empty()
        };
        let found = self.pages.iter().find(|(_, state)| has_room(state));
        let next = || self.pages.keys().next_back().map_or(0, |n| n.0 + 1);
        found.map_or_else(|| PageNumber(next()), |(n, _)| *n)
    }

    /// Spreads the machines of pages that list more than may be written now over further pages, and says which
    /// go where. The new pages are written when there is time, the old ones after them.
    ///
    /// Guards against pages written under a larger limit on values, which could never be written again.
    pub fn split(&mut self) -> Vec<(MachineId, PageNumber)> {
        let max_machines = self.max_machines_per_page;
        let is_oversized = |state: &MachinePageState| state.page.entries.len() > max_machines;
        let oversized = self.pages.iter().filter(|(_, state)| is_oversized(state));
        let oversized: Vec<PageNumber> = oversized.map(|(n, _)| *n).collect();
        let mut moved = Vec::new();
        for old in oversized {
            let (surplus, is_urgent) = self.take_surplus(old);
            for machine_id in surplus {
                let page = self.page_with_room();
                let state = self.pages.entry(page).or_default();
                state.page.entries.insert(machine_id.clone());
                state.page.mark_long_outdated();
                state.is_urgent |= is_urgent;
                moved.push((machine_id, page));
            }
        }
        moved
    }

    /// Takes from a page the machines for which there is no room, and says whether it is urgent to write them.
    fn take_surplus(&mut self, page: PageNumber) -> (Vec<MachineId>, bool) {
        let Some(state) = self.pages.get_mut(&page) else {
            return (Vec::new(), false);
        };
        let entries = state.page.entries.iter();
        let surplus: Vec<MachineId> = entries.skip(self.max_machines_per_page).cloned().collect();
        // Only what is stored there keeps the page from being written.
        if state.page.is_stored() {
            state.moving.extend(surplus.iter().cloned());
        }
        for machine_id in &surplus {
            state.page.entries.remove(machine_id);
        }
        (surplus, state.is_urgent)
    }

    /// Machines that are listed on other pages now, or terminated, keep no page from being written any more.
    fn finish_moves(&mut self, now: Instant, is_done: impl Fn(&MachineId) -> bool) {
        let moving = self.pages.values_mut().filter(|s| !s.moving.is_empty());
        for state in moving {
            state.moving.retain(|machine_id| !is_done(machine_id));
            if state.moving.is_empty() {
                state.page.mark_outdated(now);
            }
        }
    }

    /// A machine is terminated.
    pub fn remove_machine(&mut self, now: Instant, page: PageNumber, machine_id: &MachineId) {
        if let Some(state) = self.pages.get_mut(&page) {
            state.page.remove(now, machine_id);
        }
        self.finish_moves(now, |moving| moving == machine_id);
    }

    /// What is known of a machine on the page has changed.
    pub fn mark_outdated(&mut self, now: Instant, page: PageNumber) {
        if let Some(state) = self.pages.get_mut(&page) {
            state.page.mark_outdated(now);
        }
    }

    /// Pages of that urgency that are to be written; deferrable ones once they have been outdated for longer than
    /// the bound.
    pub fn due(&self, now: Instant, bound: TimeSpan, urgency: WriteUrgency) -> Vec<PageNumber> {
        let pages = self.pages.iter();
        pages
            .filter(|(_, state)| state.is_due(now, bound, urgency))
            .map(|(n, _)| *n)
            .collect()
    }

    /// The machines on a page, and the revision of its key.
    pub fn contents(&self, page: PageNumber) -> (BTreeSet<MachineId>, KeyRevision) {
        let state = self.pages.get(&page);
        state.map_or_else(Default::default, |state| {
            (state.page.entries.clone(), state.page.revision)
        })
    }

    /// A page has been written with these machines.
    pub fn mark_written(
        &mut self,
        now: Instant,
        page: PageNumber,
        revision: KeyRevision,
        machine_ids: &BTreeSet<MachineId>,
    ) {
        let state = self.pages.entry(page).or_default();
        state.is_urgent = !state.page.entries.is_subset(machine_ids);
        let outdated = state.page.entries != *machine_ids;
        state.page.mark_written(now, revision, outdated);
        self.finish_moves(now, |moving| machine_ids.contains(moving));
    }

    /// The key of a page has been read again.
    pub fn refresh(&mut self, now: Instant, page: PageNumber, revision: KeyRevision) {
        let state = self.pages.entry(page).or_default();
        state.page.revision = revision;
        state.is_urgent = !state.page.entries.is_empty();
        state.page.mark_outdated(now);
    }
}
