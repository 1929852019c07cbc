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
    /// Small pages first: a machine that a former leader was moving from a page that had grown too large is
    /// on both, and stays on the small one.
    pub(super) fn load_machine_pages(
        &mut self,
        mut pages: Vec<KeyValue>,
    ) -> Result<(), UnreadableRecord> {
        pages.sort_by_key(|page| listed_machines(page).unwrap_or(0));
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
            let Some(machine) = self.machine_of_entry(page, &record, id, entry) else {
                let machine = id.clone();
                let cause = UnreadableCause::UnknownMachineKind { machine };
                return Err(UnreadableRecord::new(item, cause));
            };
            self.scheduler.machines.insert(id.clone(), machine);
        }
        Ok(())
    }

    /// Takes a page over with those of its machines that no page before listed, and returns them. A page that
    /// lists others too is to be written again without them.
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

    /// A machine as its page lists it; None if the page does not name its kind.
    fn machine_of_entry(
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

    /// When a machine was rented, from the seconds since 1970 that are on record; 0 if that was not known.
    fn rented_at(&self, time_of_day_s: u64) -> Instant {
        if time_of_day_s == 0 {
            return self.now;
        }
        self.recorded_instant(time_of_day_s)
    }

    /// A time of day on record, in seconds since 1970, on this process's steady clock; never in the future.
    pub(super) fn recorded_instant(&self, time_of_day_s: u64) -> Instant {
        let time_of_day = TimeSpan((time_of_day_s as i64).saturating_mul(1000));
        let leadership = &self.scheduler.leadership;
        leadership.monotonic_from_unix(time_of_day).min(self.now)
    }
}

/// How many machines a page lists, without reading them.
fn listed_machines(page: &KeyValue) -> Option<usize> {
    let machines = page.data.get("hosts")?.as_object()?;
    Some(machines.len())
}
