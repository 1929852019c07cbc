//! Where container images are cached, and how long it takes to have one on a machine.
//!
//! Workers report no caches: what is in them is inferred from what ran where.

use super::image_cache::CachedImage;
use super::machine::{Machine, MachineState};
use super::table::MachineTable;
use crate::coordination::Scheduler;
use crate::ids::{Image, JobId, MachineId, MachineType};
use crate::protocol::users::JobSpec;
use crate::time::Instant;
use std::collections::BTreeMap;

impl MachineTable {
    /// Seconds that a pull of so many gigabytes takes on a machine of the type; 0 if its rate is not known.
    pub(crate) fn image_fetch_s(&self, machine_type: &MachineType, image_gb: f64) -> f64 {
        let gb_per_s = self
            .types
            .get(machine_type)
            .map_or(0.0, |info| info.fetch_gb_per_s);
        if gb_per_s > 0.0 {
            image_gb / gb_per_s
        } else {
            0.0
        }
    }

    /// Seconds that a pull of the job's image takes on the machine type that is quickest at it, of those that
    /// the job may use; infinite if there is none.
    pub(crate) fn shortest_image_fetch_s(&self, spec: &JobSpec) -> f64 {
        self.types
            .keys()
            .filter(|machine_type| {
                let allowed = spec.machine_types.as_ref();
                allowed.is_none_or(|allowed| allowed.contains(machine_type))
            })
            .map(|machine_type| self.image_fetch_s(machine_type, spec.image_gb))
            .fold(f64::INFINITY, f64::min)
    }

    /// Seconds until the job's image would be on the machine: 0 if it is cached, the rest of the pull if one
    /// is in progress.
    pub(crate) fn image_wait_s(&self, now: Instant, machine: &Machine, spec: &JobSpec) -> f64 {
        if machine.has_image(&spec.image) {
            return 0.0;
        }
        let pull_s = self.image_fetch_s(&machine.machine_type, spec.image_gb);
        let pull_began_at = machine
            .live_attempts()
            .filter(|attempt| attempt.running_since.is_none())
            .filter(|attempt| attempt.image.as_ref() == Some(&spec.image))
            .map(|attempt| attempt.placed_at)
            .min();
        match pull_began_at {
            Some(since) => (pull_s - (now - since).secs()).max(0.0),
            None => pull_s,
        }
    }

    /// GPUs, free or not, of machines that have the image cached, as of the last recheck.
    pub(crate) fn gpus_caching(&self, image: &Image) -> f64 {
        self.gpus_by_cached_image.get(image).copied().unwrap_or(0.0)
    }

    /// Counts anew, once a second, the GPUs of machines that have each image cached.
    pub(crate) fn recount_cached_images(&mut self) {
        let mut gpus_by_image: BTreeMap<Image, f64> = BTreeMap::new();
        for machine in self.values() {
            if machine.state != MachineState::Up || machine.is_draining_or_reclaimed() {
                continue;
            }
            let gpus = self.capacity(&machine.machine_type).gpus;
            for CachedImage { image, .. } in machine.images.iter() {
                match gpus_by_image.get_mut(image) {
                    Some(sum) => *sum += gpus,
                    None => drop(gpus_by_image.insert(image.clone(), gpus)),
                }
            }
        }
        self.gpus_by_cached_image = gpus_by_image;
    }
}

impl Scheduler {
    /// Seconds that a pull of the job's image takes on the machine; 0 if either is not known.
    pub(crate) fn image_fetch_s_on(&self, machine_id: &MachineId, job_id: &JobId) -> f64 {
        match (self.machines.get(machine_id), self.jobs.get(job_id)) {
            (Some(machine), Some(job)) => self
                .machines
                .image_fetch_s(&machine.machine_type, job.spec().image_gb),
            _ => 0.0,
        }
    }
}
