//! Machine pages in their stored form.

use super::{Draft, DraftContext, RecordUpdate};
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::machines::CachedImage;
use crate::coordination::persistence::machine_pages::WriteUrgency;
use crate::ids::{Image, MachineId};
use crate::protocol::state::Change;
use crate::storage::records::{machine_page_key, MachineEntry, MachineKind, MachinePage};
use crate::time::TimeSpan;
use std::collections::{BTreeMap, BTreeSet};

/// Deferrable pages are written once they have been outdated for longer than this.
const OUTDATED_MACHINE_PAGE_DELAY: TimeSpan = TimeSpan(15_000);
/// Maximum number of cached images to list for each machine, in the order in which the numbers are tried until the
/// page fits.
const IMAGES_PER_MACHINE: [usize; 4] = [16, 10, 6, 3];

impl DraftContext<'_> {
    /// Drafts the pages of the given urgency that are due.
    pub fn draft_machine_pages(&self, urgency: WriteUrgency, draft: &mut Draft) {
        let pages = &self.writer.machine_pages;
        let now = self.cluster.now;
        for page in pages.due(now, OUTDATED_MACHINE_PAGE_DELAY, urgency) {
            let (machine_ids, revision) = pages.contents(page);
            let key = machine_page_key(page);
            let data = self.machine_page(&machine_ids, draft.limits().max_value_bytes);
            let changes = vec![Change::put(key.clone(), data)];
            let update = RecordUpdate::MachinePage { page, machine_ids };
            if !draft.add(vec![(key, revision)], changes, update) {
                return;
            }
        }
    }

    /// Encodes a page with as many cached images as fit, or without any.
    fn machine_page(
        &self,
        machine_ids: &BTreeSet<MachineId>,
        max_bytes: usize,
    ) -> serde_json::Value {
        for max_images in IMAGES_PER_MACHINE {
            let page = self.machine_page_with(machine_ids, max_images);
            if page.to_string().len() <= max_bytes {
                return page;
            }
        }
        self.machine_page_with(machine_ids, 0)
    }

    fn machine_page_with(
        &self,
        machine_ids: &BTreeSet<MachineId>,
        max_images: usize,
    ) -> serde_json::Value {
        let mut builder = MachinePageBuilder::default();
        let machines = machine_ids.iter();
        for machine in machines.filter_map(|id| self.cluster.machines.get(id)) {
            let rented_s = self.leadership.unix_time_ms(machine.first_known_at) / 1000;
            builder.add(machine, rented_s, max_images);
        }
        serde_json::to_value(&builder.page).unwrap_or_default()
    }
}

/// A page under construction, with the indices of the kinds and images that it lists so far.
#[derive(Default)]
struct MachinePageBuilder {
    page: MachinePage,
    kind_indices: BTreeMap<MachineKind, usize>,
    image_indices: BTreeMap<Image, usize>,
}

impl MachinePageBuilder {
    /// Adds a machine with at most `max_images` of its cached images, the most recently used ones.
    fn add(&mut self, machine: &Machine, rented_s: u64, max_images: usize) {
        let images = machine.images.iter().rev().take(max_images).rev();
        let entry = MachineEntry {
            kind: self.kind_index(machine),
            rented_s,
            has_reported: machine.state != MachineState::Booting,
            images: images
                .map(|CachedImage { image, size_gb }| self.image_index(image, *size_gb))
                .collect(),
        };
        self.page.machines.insert(machine.id.clone(), entry);
    }

    fn kind_index(&mut self, machine: &Machine) -> usize {
        let machine_type = machine.machine_type.clone();
        let kind = MachineKind::new(machine_type, machine.zone.clone(), machine.spot);
        let kinds = &mut self.page.kinds;
        *self.kind_indices.entry(kind).or_insert_with_key(|kind| {
            kinds.push(kind.clone());
            kinds.len() - 1
        })
    }

    fn image_index(&mut self, image: &Image, gb: f64) -> usize {
        let images = &mut self.page.images;
        let indices = &mut self.image_indices;
        *indices.entry(image.clone()).or_insert_with_key(|image| {
            images.push((image.clone(), gb));
            images.len() - 1
        })
    }
}
