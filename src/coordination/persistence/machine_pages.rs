//! Machine pages: which page lists which machine, and which pages have to be written.
//!
//! A machine is assigned to a page as soon as it is known, and nothing is launched on it before that page is
//! stored. From then until the machine is terminated, at least one stored page lists it.

use super::stored_page::StoredPage;
use crate::ids::{KeyRevision, MachineId, PageNumber};
use crate::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of a machine's entry on its page, without the machine's name and with some images.
const MACHINE_ENTRY_BYTES: usize = 60;
/// Bytes of a machine's name on its page.
const MACHINE_NAME_BYTES: usize = 16;
/// Maximum number of bytes reserved for the lists of kinds and images on a page.
const MAX_SHARED_NAMES_BYTES: usize = 1000;

/// How soon a page has to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteUrgency {
    /// The page lists a machine that isn't stored yet; nothing can be launched on that machine until it is.
    Urgent,
    /// The stored page only has outdated hints, or lists machines that no longer exist.
    Deferrable,
}

/// The state of one machine page.
#[derive(Debug, Default)]
struct MachinePageState {
    page: StoredPage<MachineId>,
    /// Whether the page lists a machine that isn't stored yet.
    is_urgent: bool,
    /// Machines that the stored page lists but that have been moved to other pages. The page is not rewritten
    /// without them until those pages are stored.
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

/// All machine pages, and the maximum number of machines on each.
#[derive(Debug)]
pub(super) struct MachinePages {
    pages: BTreeMap<PageNumber, MachinePageState>,
    max_machines_per_page: usize,
}

impl MachinePages {
    /// Creates the state without any pages. Each page will take at most `max_value_bytes`.
    pub fn new(max_value_bytes: usize) -> MachinePages {
        let mut pages = MachinePages {
            pages: BTreeMap::new(),
            max_machines_per_page: 1,
        };
        pages.set_max_value_bytes(max_value_bytes);
        pages
    }

    /// Sets the maximum size of a page, in bytes. [`MachinePages::split`] shrinks the pages that exceed it.
    pub fn set_max_value_bytes(&mut self, max_value_bytes: usize) {
        let for_machines = max_value_bytes - (max_value_bytes / 4).min(MAX_SHARED_NAMES_BYTES);
        let per_machine = MACHINE_ENTRY_BYTES + MACHINE_NAME_BYTES;
        self.max_machines_per_page = (for_machines / per_machine).max(1);
    }

    /// Adds a page that a new leader has read, with those of its machines that no page read before lists.
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

    /// Assigns a new machine to a page and returns the page's number.
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

    /// Moves machines from pages that exceed the maximum size to other pages, and returns the moved machines with
    /// their new pages. The other pages are due at once, with the urgency of the oversized page, which is rewritten
    /// only after them.
    ///
    /// Guards against pages written under a higher size limit for values, which could never be rewritten.
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

    /// Removes the machines that exceed the maximum size of a page. Returns them, and whether writing them is urgent.
    fn take_surplus(&mut self, page: PageNumber) -> (Vec<MachineId>, bool) {
        let Some(state) = self.pages.get_mut(&page) else {
            return (Vec::new(), false);
        };
        let entries = state.page.entries.iter();
        let surplus: Vec<MachineId> = entries.skip(self.max_machines_per_page).cloned().collect();
        // A page that isn't stored can be written at once: none of its machines depend on the stored page.
        if state.page.is_stored() {
            state.moving.extend(surplus.iter().cloned());
        }
        for machine_id in &surplus {
            state.page.entries.remove(machine_id);
        }
        (surplus, state.is_urgent)
    }

    /// Completes the moves of those machines for which `is_done` returns true: they are stored on another page, or
    /// terminated. A page whose moves are all complete may be rewritten.
    fn finish_moves(&mut self, now: Instant, is_done: impl Fn(&MachineId) -> bool) {
        let moving = self.pages.values_mut().filter(|s| !s.moving.is_empty());
        for state in moving {
            state.moving.retain(|machine_id| !is_done(machine_id));
            if state.moving.is_empty() {
                state.page.mark_outdated(now);
            }
        }
    }

    /// Removes a terminated machine.
    pub fn remove_machine(&mut self, now: Instant, page: PageNumber, machine_id: &MachineId) {
        if let Some(state) = self.pages.get_mut(&page) {
            state.page.remove(now, machine_id);
        }
        self.finish_moves(now, |moving| moving == machine_id);
    }

    /// Marks a page as outdated because the data of a machine on it has changed.
    pub fn mark_outdated(&mut self, now: Instant, page: PageNumber) {
        if let Some(state) = self.pages.get_mut(&page) {
            state.page.mark_outdated(now);
        }
    }

    /// Returns the pages of the given urgency that have to be written; deferrable pages only if they have been
    /// outdated for longer than `bound`.
    pub fn due(&self, now: Instant, bound: TimeSpan, urgency: WriteUrgency) -> Vec<PageNumber> {
        let pages = self.pages.iter();
        pages
            .filter(|(_, state)| state.is_due(now, bound, urgency))
            .map(|(n, _)| *n)
            .collect()
    }

    /// Returns the machines on a page, and the page's key revision.
    pub fn contents(&self, page: PageNumber) -> (BTreeSet<MachineId>, KeyRevision) {
        let state = self.pages.get(&page);
        state.map_or_else(Default::default, |state| {
            (state.page.entries.clone(), state.page.revision)
        })
    }

    /// Records a successful write of a page with the given machines.
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

    /// Updates the revision of a page whose key has been read again, and marks the page as due: its stored contents
    /// are unknown.
    pub fn refresh(&mut self, now: Instant, page: PageNumber, revision: KeyRevision) {
        let state = self.pages.entry(page).or_default();
        state.page.revision = revision;
        state.is_urgent = !state.page.entries.is_empty();
        state.page.mark_outdated(now);
    }
}
