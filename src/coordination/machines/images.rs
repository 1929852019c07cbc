//! Image locality: which machines have an image cached, and how long an image fetch takes.
//!
//! Workers don't report their caches: the content is inferred from the tasks that ran on each machine.

use super::image_cache::CachedImage;
use super::machine::{Machine, MachineState};
use super::table::MachineTable;
use crate::coordination::Scheduler;
use crate::ids::{Image, JobId, MachineId, MachineType};
use crate::protocol::cloud::MachineTypeInfo;
use crate::protocol::users::JobSpec;
use crate::time::Instant;
use std::collections::BTreeMap;

impl MachineTable {
    /// Seconds that a machine of the type takes to fetch an image of `image_gb` gigabytes; 0 if its fetch rate
    /// is not known.
    ///
    /// No longer than it takes to fill the machine's cache. Guards against a mistaken size, in bytes for example, that
    /// keeps machines or makes jobs wait for as long as it says.
    pub(crate) fn image_fetch_s(&self, machine_type: &MachineType, image_gb: f64) -> f64 {
        let info = self.types.get(machine_type);
        info.filter(|info| info.fetch_gb_per_s > 0.0)
            .map_or(0.0, |info| {
                max_cached_gb(info, image_gb) / info.fetch_gb_per_s
            })
    }

    /// Whether a machine of the type can have an image of this size in its cache. If not, the size is a mistake.
    pub(crate) fn can_cache(&self, machine_type: &MachineType, image_gb: f64) -> bool {
        let info = self.types.get(machine_type);
        info.is_none_or(|info| image_gb <= max_cached_gb(info, image_gb))
    }

    /// The size with which an image counts in the cache of a machine, in gigabytes.
    pub(crate) fn cached_gb(&self, machine: &Machine, image_gb: f64) -> f64 {
        let info = self.types.get(&machine.machine_type);
        info.map_or(image_gb, |info| max_cached_gb(info, image_gb))
    }

    /// Seconds that fetching the job's image takes on the fastest machine type that the job allows; infinite if
    /// there is none.
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

    /// Seconds until the job's image is on the machine: 0 if it is cached, the rest of the fetch if one is in
    /// progress, else a whole fetch.
    pub(crate) fn image_wait_s(&self, now: Instant, machine: &Machine, spec: &JobSpec) -> f64 {
        if machine.has_image(&spec.image) {
            return 0.0;
        }
        let fetch_s = self.image_fetch_s(&machine.machine_type, spec.image_gb);
        let fetch_started_at = machine
            .live_attempts()
            .filter(|attempt| attempt.running_since.is_none())
            .filter(|attempt| attempt.image.as_ref() == Some(&spec.image))
            .map(|attempt| attempt.placed_at)
            .min();
        match fetch_started_at {
            Some(since) => (fetch_s - (now - since).secs()).max(0.0),
            None => fetch_s,
        }
    }

    /// The number of GPUs, free or not, on machines that have the image cached, as of the last
    /// [`MachineTable::recount_cached_images`].
    pub(crate) fn gpus_with_image_cached(&self, image: &Image) -> f64 {
        self.gpus_by_cached_image.get(image).copied().unwrap_or(0.0)
    }

    /// Recounts the GPUs on machines that have each image cached. Called once a second.
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

/// The size of an image, or that of the cache if the image is said to be larger. Types that state no cache have no limit.
fn max_cached_gb(info: &MachineTypeInfo, image_gb: f64) -> f64 {
    if info.cache_gb > 0.0 {
        image_gb.min(info.cache_gb)
    } else {
        image_gb
    }
}

impl Scheduler {
    /// Seconds that fetching the job's image takes on the machine; 0 if either is not known.
    pub(crate) fn image_fetch_s_on(&self, machine_id: &MachineId, job_id: &JobId) -> f64 {
        match (self.machines.get(machine_id), self.jobs.get(job_id)) {
            (Some(machine), Some(job)) => self
                .machines
                .image_fetch_s(&machine.machine_type, job.spec().image_gb),
            _ => 0.0,
        }
    }
}
