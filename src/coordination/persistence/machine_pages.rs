//! Pages of machines.

use super::draft::Draft;
use super::Work;
use crate::coordination::machines::machine::MachineState;
use crate::coordination::machines::CachedImage;
use crate::coordination::Scheduler;
use crate::ids::{Image, MachineId};
use crate::protocol::state::Change;
use crate::storage::records::{machine_page_key, MachineEntry, MachineKind, MachinePage};
use crate::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet};

/// Hints about machines wait longer.
const STALE_MACHINE_PAGE: TimeSpan = TimeSpan(15_000);
/// Images named for each machine: the most that fits.
const IMAGES_PER_MACHINE: [usize; 4] = [16, 10, 6, 3];

impl Scheduler {
    pub(crate) fn draft_machine_pages(&self, now: Instant, lazy: bool, draft: &mut Draft) {
        for page in self.writer.machine_pages.due(now, STALE_MACHINE_PAGE, lazy) {
            let (machine_ids, revision) = self.writer.machine_pages.page(page);
            let key = machine_page_key(page);
            let data = self.machine_page(&machine_ids);
            let changes = vec![Change::put(key.clone(), data)];
            if !draft.add(
                vec![(key, revision)],
                changes,
                Work::MachinePage { page, machine_ids },
            ) {
                return;
            }
        }
    }

    /// A page of machines as it is written: with hints about images, if they fit.
    pub(crate) fn machine_page(&self, machine_ids: &BTreeSet<MachineId>) -> serde_json::Value {
        let most = self.writer.limits.value_bytes;
        for images in IMAGES_PER_MACHINE {
            let page = self.machine_page_with(machine_ids, images);
            if page.to_string().len() <= most {
                return page;
            }
        }
        self.machine_page_with(machine_ids, 0)
    }

    pub(crate) fn machine_page_with(
        &self,
        machine_ids: &BTreeSet<MachineId>,
        most_images: usize,
    ) -> serde_json::Value {
        let mut page = MachinePage::default();
        let mut kinds: BTreeMap<MachineKind, usize> = BTreeMap::new();
        let mut images: BTreeMap<Image, usize> = BTreeMap::new();
        for m in machine_ids.iter().filter_map(|h| self.machines.get(h)) {
            let kind = MachineKind::new(m.machine_type.clone(), m.zone.clone(), m.spot);
            let kind = *kinds.entry(kind.clone()).or_insert_with(|| {
                page.kinds.push(kind);
                page.kinds.len() - 1
            });
            let held = m.images.iter().rev().take(most_images).rev();
            let held = held
                .map(|CachedImage { image, size_gb }| {
                    *images.entry(image.clone()).or_insert_with(|| {
                        page.images.push((image.clone(), *size_gb));
                        page.images.len() - 1
                    })
                })
                .collect();
            let rented_s = self.leadership.time_of_day_ms(m.first_known_at) / 1000;
            let entry = MachineEntry {
                kind,
                rented_s,
                has_reported: m.state != MachineState::Booting,
                images: held,
            };
            page.machines.insert(m.id.clone(), entry);
        }
        serde_json::to_value(&page).unwrap_or_default()
    }
}
