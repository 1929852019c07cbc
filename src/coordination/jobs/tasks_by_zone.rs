//! The number of a job's tasks in each zone.

use crate::ids::Zone;
use std::collections::BTreeMap;

/// The number of tasks of a job that may be in each zone: running, stopping or planned to start. A task that may be
/// on two machines is counted for each of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TasksByZone {
    by_zone: BTreeMap<Zone, u32>,
}

impl TasksByZone {
    /// Adds a task to the zone's count.
    pub fn add(&mut self, zone: &Zone) {
        *self.by_zone.entry(zone.clone()).or_default() += 1;
    }

    /// Removes a task from the zone's count.
    pub fn remove(&mut self, zone: &Zone) {
        let Some(tasks) = self.by_zone.get_mut(zone) else {
            return;
        };
        *tasks -= 1;
        if *tasks == 0 {
            self.by_zone.remove(zone);
        }
    }

    /// Returns the number of tasks that may be in the zone.
    pub fn count_in(&self, zone: &Zone) -> u32 {
        self.by_zone.get(zone).copied().unwrap_or(0)
    }

    /// Whether a task may be in any other zone.
    pub fn any_outside(&self, zone: &Zone) -> bool {
        self.by_zone.keys().any(|other| other != zone)
    }

    /// Returns the zones in which tasks may be, ordered by name.
    pub fn zones(&self) -> impl ExactSizeIterator<Item = &Zone> {
        self.by_zone.keys()
    }
}
