//! Recovery of machines from their pages.

use super::{parse_record, Recovery, UnreadableCause, UnreadableRecord};
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::machines::CachedImage;
use crate::ids::{KeyRevision, MachineId, PageNumber};
use crate::protocol::state::KeyValue;
use crate::storage::records::{MachineEntry, MachineKind, MachinePage, RecordKey};
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

impl Recovery {
    /// Loads the smallest pages first. A machine that a former leader was moving off an oversized page is on
    /// two pages and stays on the smaller one.
    pub(super) fn load_machine_pages(
        &mut self,
        mut pages: Vec<KeyValue>,
    ) -> Result<(), UnreadableRecord> {
        pages.sort_by_key(|page| machine_count(page).unwrap_or(0));
        for page in &pages {
            self.load_machine_page(page)?;
        }
        self.scheduler.split_machine_pages();
        Ok(())
    }

    fn load_machine_page(&mut self, item: &KeyValue) -> Result<(), UnreadableRecord> {
        let Some(RecordKey::MachinePage(page)) = RecordKey::parse(&item.key) else {
            return Ok(());
        };
        let record: MachinePage = parse_record(item)?;
        let new_machines = self.register_machine_page(page, item.revision, &record);
        let is_new = |(id, _): &(&MachineId, &MachineEntry)| new_machines.contains(id);
        for (id, entry) in record.machines.iter().filter(is_new) {
            let Some(machine) = self.machine_from_entry(page, &record, id, entry) else {
                let machine = id.clone();
                let cause = UnreadableCause::UnknownMachineKind { machine };
                return Err(UnreadableRecord::new(item, cause));
            };
            self.scheduler.machines.insert(id.clone(), machine);
        }
        Ok(())
    }

    /// Registers a page with those of its machines that no page loaded before lists, and returns these. A page
    /// with other machines as well is queued to be rewritten without them.
    fn register_machine_page(
        &mut self,
        page: PageNumber,
        revision: KeyRevision,
        record: &MachinePage,
    ) -> BTreeSet<MachineId> {
        let machines = &self.scheduler.machines;
        let is_new = |id: &&MachineId| !machines.contains_key(id);
        let new_machines: BTreeSet<MachineId> =
            record.machines.keys().filter(is_new).cloned().collect();
        let writer = &mut self.scheduler.writer;
        writer.recover_machine_page(page, revision, new_machines.clone());
        if new_machines.len() < record.machines.len() {
            writer.mark_machine_page_outdated(self.now, page);
        }
        new_machines
    }

    /// Creates a machine from its page entry; `None` if the page does not list its kind.
    fn machine_from_entry(
        &self,
        page: PageNumber,
        record: &MachinePage,
        id: &MachineId,
        entry: &MachineEntry,
    ) -> Option<Machine> {
        let MachineKind {
            machine_type,
            zone,
            spot,
        } = record.kinds.get(entry.kind).cloned()?;
        let capacity = self.scheduler.machines.capacity(&machine_type);
        let rented_at = self.rented_at(entry.rented_s);
        let mut machine = Machine::new(id.clone(), machine_type, zone, spot, capacity, rented_at);
        machine.last_response_at = self.now;
        machine.push_not_before = self.now;
        machine.unschedulable_until = self.now;
        machine.page = Some(page);
        machine.is_recorded = true;
        if entry.has_reported {
            machine.state = MachineState::Up;
        }
        let cached_image = |index: &usize| {
            let (image, size_gb) = record.images.get(*index).cloned()?;
            Some(CachedImage { image, size_gb })
        };
        machine.images = entry.images.iter().filter_map(cached_image).collect();
        Some(machine)
    }

    /// Converts a recorded rental time in seconds since 1970; 0 means unknown.
    fn rented_at(&self, unix_time_s: u64) -> Instant {
        if unix_time_s == 0 {
            return self.now;
        }
        self.recorded_instant(unix_time_s)
    }

    /// Converts a recorded Unix time in seconds to this process's monotonic clock; never in the future.
    pub(super) fn recorded_instant(&self, unix_time_s: u64) -> Instant {
        let unix_time = TimeSpan((unix_time_s as i64).saturating_mul(1000));
        let leadership = &self.scheduler.leadership;
        leadership.monotonic_from_unix(unix_time).min(self.now)
    }
}

/// Returns the number of machines on a page without decoding them.
fn machine_count(page: &KeyValue) -> Option<usize> {
    let machines = page.data.get("hosts")?.as_object()?;
    Some(machines.len())
}
