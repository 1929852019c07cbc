//! Pages of machines.

use super::super::Core;
use super::draft::Draft;
use super::Work;
use crate::ids::{HostId, Image, MachineType, Millis, Zone};
use crate::protocol::state::Change;
use crate::storage::ledger::MachineState;
use crate::storage::records::{hosts_key, HostNote, HostsPage};
use std::collections::{BTreeMap, BTreeSet};

/// Hints about machines wait longer.
const STALE_HOSTS: Millis = Millis(15_000);
/// Images named for each machine: the most that fits.
const HOST_IMAGES: [usize; 4] = [16, 10, 6, 3];

impl Core {
    pub(super) fn draft_hosts(&self, now: Millis, lazy: bool, draft: &mut Draft) {
        for page in self.writer.hosts.due(now, STALE_HOSTS, lazy) {
            let (hosts, stamp) = self.writer.hosts.page(page);
            let key = hosts_key(page);
            let data = self.hosts_page(&hosts);
            let apply = vec![Change::put(key.clone(), data)];
            if !draft.add(vec![(key, stamp)], apply, Work::Hosts { page, hosts }) {
                return;
            }
        }
    }

    /// A page of machines as it is written: with hints about images, if they fit.
    pub(super) fn hosts_page(&self, hosts: &BTreeSet<HostId>) -> serde_json::Value {
        let most = self.writer.limits.value_bytes;
        for images in HOST_IMAGES {
            let page = self.hosts_page_with(hosts, images);
            if page.to_string().len() <= most {
                return page;
            }
        }
        self.hosts_page_with(hosts, 0)
    }

    pub(super) fn hosts_page_with(
        &self,
        hosts: &BTreeSet<HostId>,
        most_images: usize,
    ) -> serde_json::Value {
        let mut page = HostsPage::default();
        let mut kinds: BTreeMap<(MachineType, Zone, bool), usize> = BTreeMap::new();
        let mut images: BTreeMap<Image, usize> = BTreeMap::new();
        for m in hosts.iter().filter_map(|h| self.machines.get(h)) {
            let kind = (m.machine_type.clone(), m.zone.clone(), m.spot);
            let kind = *kinds.entry(kind.clone()).or_insert_with(|| {
                page.kinds.push(kind);
                page.kinds.len() - 1
            });
            let held = m.images.iter().rev().take(most_images).rev();
            let held = held
                .map(|(image, gb)| {
                    *images.entry(image.clone()).or_insert_with(|| {
                        page.images.push((image.clone(), *gb));
                        page.images.len() - 1
                    })
                })
                .collect();
            let rented_s = self.day_ms.saturating_add_signed(m.since.0) / 1000;
            let up = m.state != MachineState::Booting;
            page.hosts
                .insert(m.id.clone(), HostNote(kind, rented_s, up, held));
        }
        serde_json::to_value(&page).unwrap_or_default()
    }
}
