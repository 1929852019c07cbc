//! Zone constraints: affinity (all tasks in one zone) and anti-affinity (tasks spread over zones).

use super::pass::PlacementPass;
use super::request::allows_machine;
use super::view::PlacementView;
use crate::coordination::jobs::job::Job;
use crate::ids::Zone;
use crate::resources::Resources;
use std::collections::BTreeMap;

/// The zones that machines are chosen from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ZoneChoice {
    /// All zones at once.
    Any,
    /// One zone alone.
    Only(Zone),
}

impl ZoneChoice {
    /// Whether machines of that zone may be chosen.
    pub(super) fn includes(&self, zone: &Zone) -> bool {
        match self {
            ZoneChoice::Any => true,
            ZoneChoice::Only(chosen) => chosen == zone,
        }
    }
}

impl PlacementView<'_> {
    /// How many tasks of the job may be in each zone, those that are about to end included.
    pub(super) fn tasks_by_zone(&self, job: &Job) -> BTreeMap<Zone, u32> {
        let mut tasks_by_zone = BTreeMap::new();
        for machine_id in job.placements().values().flatten() {
            if let Some(machine) = self.machines().get(machine_id) {
                *tasks_by_zone.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        tasks_by_zone
    }
}

impl PlacementPass<'_> {
    /// The zones to try in turn for a job. With affinity: the one where its tasks are, or all zones, the
    /// one with room for most tasks first.
    pub(super) fn zone_choices(&self, job: &Job) -> Vec<ZoneChoice> {
        let spec = job.spec();
        if let Some(zone) = &spec.zone {
            return vec![ZoneChoice::Only(zone.clone())];
        }
        if !spec.together || spec.tasks == 1 {
            return vec![ZoneChoice::Any];
        }
        if let Some(zone) = self.view.tasks_by_zone(job).into_keys().next() {
            return vec![ZoneChoice::Only(zone)];
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

    /// For how many tasks of the job each zone has room.
    fn room_by_zone(&self, job: &Job) -> BTreeMap<Zone, u32> {
        let spec = job.spec();
        let request = Resources::of(spec);
        let mut room_by_zone: BTreeMap<Zone, u32> = BTreeMap::new();
        for machine in self.view.machines().with_room_for(spec) {
            if self.view.is_usable(machine)
                && allows_machine(spec, machine)
                && !self.state.is_reserved(&machine.id)
            {
                *room_by_zone.entry(machine.zone.clone()).or_default() +=
                    request.count_in(machine.free(), spec.tasks);
            }
        }
        room_by_zone
    }
}

/// How the tasks of a job with anti-affinity are spread: at most half of them in one zone.
#[derive(Debug)]
pub(super) struct ZoneSpread {
    tasks_by_zone: BTreeMap<Zone, u32>,
    max_tasks_per_zone: u32,
}

impl ZoneSpread {
    /// The spread of a job with anti-affinity as it is; `None` for any other job.
    pub(super) fn of(view: &PlacementView<'_>, job: &Job) -> Option<ZoneSpread> {
        job.spec().scatter.then(|| ZoneSpread {
            tasks_by_zone: view.tasks_by_zone(job),
            max_tasks_per_zone: job.spec().tasks.div_ceil(2),
        })
    }

    /// Whether the zone can take no more tasks of the job. It stays so as tasks are added.
    pub(super) fn is_full(&self, zone: &Zone) -> bool {
        let tasks = self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        tasks >= self.max_tasks_per_zone
    }

    /// Counts one more task in the zone.
    pub(super) fn add(&mut self, zone: &Zone) {
        *self.tasks_by_zone.entry(zone.clone()).or_default() += 1;
    }
}
