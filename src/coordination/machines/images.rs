//! Where container images are cached, and how long they take to get to a machine.

use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::Scheduler;
use crate::ids::{Image, JobId, MachineId, MachineType};
use crate::protocol::users::JobSpec;
use crate::time::Instant;
use std::collections::BTreeMap;

impl Scheduler {
    /// Seconds that the image takes to fetch on the type of machine that is quickest at it.
    pub(crate) fn shortest_fetch_s(&self, spec: &JobSpec) -> f64 {
        self.machines
            .types
            .keys()
            .filter(|r| spec.machine_types.as_ref().is_none_or(|a| a.contains(r)))
            .map(|r| self.fetch_s(r, spec.image_gb))
            .fold(f64::INFINITY, f64::min)
    }

    /// Once a second: how much room there is, free or not, where each image is cached.
    pub(crate) fn recheck_images(&mut self) {
        let mut room: BTreeMap<Image, f64> = BTreeMap::new();
        for m in self.machines.values() {
            if m.state != MachineState::Up || m.draining || m.reclaim_at.is_some() {
                continue;
            }
            let gpus = self.machines.capacity(&m.machine_type).gpus;
            for (image, _) in &m.images {
                match room.get_mut(image) {
                    Some(r) => *r += gpus,
                    None => drop(room.insert(image.clone(), gpus)),
                }
            }
        }
        self.machines.gpus_by_cached_image = room;
    }

    /// Seconds until the image would be there: none if cached, the rest if being fetched.
    pub(crate) fn wait_for_image(&self, now: Instant, m: &Machine, spec: &JobSpec) -> f64 {
        if m.has_image(&spec.image) {
            return 0.0;
        }
        let whole = self.fetch_s(&m.machine_type, spec.image_gb);
        let fetching = |image: &Option<Image>| image.as_ref() == Some(&spec.image);
        let under_way = m
            .live_attempts()
            .filter(|s| s.running_since.is_none() && fetching(&s.image))
            .map(|s| s.since)
            .min();
        match under_way {
            Some(since) => (whole - (now - since).secs()).max(0.0),
            None => whole,
        }
    }

    /// Seconds that the machine takes to fetch the image of a job that is known.
    pub(crate) fn longest_fetch_s(&self, machine_id: &MachineId, job: &JobId) -> f64 {
        match (self.machines.get(machine_id), self.jobs.get(job)) {
            (Some(machine), Some(job)) => self.fetch_s(&machine.machine_type, job.spec().image_gb),
            _ => 0.0,
        }
    }

    /// Seconds that a machine of the type takes to fetch so much.
    pub(crate) fn fetch_s(&self, machine_type: &MachineType, gb: f64) -> f64 {
        let rate = self
            .machines
            .types
            .get(machine_type)
            .map_or(0.0, |r| r.fetch_gb_per_s);
        if rate > 0.0 {
            gb / rate
        } else {
            0.0
        }
    }
}
