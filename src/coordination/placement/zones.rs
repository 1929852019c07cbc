//! The zones in which machines are searched for a job, and their order. Whether a start is allowed in a zone is
//! checked by [`start_check`](super::start_check).

use super::pass::PlacementPass;
use super::request::allows_machine;
use crate::coordination::jobs::job::Job;
use crate::ids::Zone;
use crate::resources::Resources;
use std::collections::BTreeMap;

/// The zones that machines are chosen from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ZoneChoice {
    /// All zones at once.
    Any,
    /// One zone.
    Only(Zone),
}

impl ZoneChoice {
    /// Whether machines of the zone may be chosen.
    pub(super) fn includes(&self, zone: &Zone) -> bool {
        match self {
            ZoneChoice::Any => true,
            ZoneChoice::Only(chosen) => chosen == zone,
        }
    }
}

impl PlacementPass<'_> {
    /// Returns the zones to try in turn for a job. With affinity, that is the zone where its tasks are or, if
    /// there are none, every zone with free capacity, the one with room for most tasks first.
    pub(super) fn zone_choices(&self, job: &Job) -> Vec<ZoneChoice> {
        let spec = job.spec();
        if let Some(zone) = &spec.zone {
            return vec![ZoneChoice::Only(zone.clone())];
        }
        if !job.has_affinity() {
            return vec![ZoneChoice::Any];
        }
        // If its tasks may be in several zones, no task may start (`PlacementPass::startable`).
        if let Some(zone) = job.tasks_by_zone().zones().next() {
            return vec![ZoneChoice::Only(zone.clone())];
        }
        let mut zones: Vec<(Zone, u32)> = self.room_by_zone(job).into_iter().collect();
        zones.sort_by(|(left_zone, left_room), (right_zone, right_room)| {
            right_room
                .cmp(left_room)
                .then_with(|| right_zone.cmp(left_zone))
        });
        zones
            .into_iter()
            .map(|(zone, _)| ZoneChoice::Only(zone))
            .collect()
    }

    /// The number of tasks of the job that each zone has room for.
    fn room_by_zone(&self, job: &Job) -> BTreeMap<Zone, u32> {
        let spec = job.spec();
        let request = Resources::of(spec);
        let mut room_by_zone: BTreeMap<Zone, u32> = BTreeMap::new();
        for machine in self.view.machines().with_free_capacity_for(spec) {
            if self.view.is_schedulable(machine)
                && allows_machine(spec, machine)
                && !self.state.is_reserved(&machine.id)
            {
                let room = room_by_zone.entry(machine.zone.clone()).or_default();
                *room = room.saturating_add(request.count_in(machine.free(), spec.tasks));
            }
        }
        room_by_zone
    }
}
