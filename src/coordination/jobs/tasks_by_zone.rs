//! How many tasks of a job may be in each zone.

use crate::ids::Zone;
use std::collections::BTreeMap;

/// How many tasks of a job may be in each zone: those on machines, those about to end, and those that are only
/// planned. A task that may be on two machines counts on each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TasksByZone {
    by_zone: BTreeMap<Zone, u32>,
}

impl TasksByZone {
    /// One more task may be in the zone.
    pub fn add(&mut self, zone: &Zone) {
        *self.by_zone.entry(zone.clone()).or_default() += 1;
    }

    /// One task less may be in the zone.
    pub fn remove(&mut self, zone: &Zone) {
        let Some(tasks) = self.by_zone.get_mut(zone) else {
            return;
        };
        *tasks -= 1;
        if *tasks == 0 {
            self.by_zone.remove(zone);
        }
    }

    /// How many tasks may be in the zone.
    pub fn count_in(&self, zone: &Zone) -> u32 {
        self.by_zone.get(zone).copied().unwrap_or(0)
    }

    /// Whether a task may be in any other zone than this one.
    pub fn any_outside(&self, zone: &Zone) -> bool {
        self.by_zone.keys().any(|other| other != zone)
    }

    /// The zones in which tasks may be, by name.
    pub fn zones(&self) -> impl ExactSizeIterator<Item = &Zone> {
        self.by_zone.keys()
    }
}
