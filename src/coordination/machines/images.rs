//! Where images are, and which jobs go there: Parrot's preference for sharing, as far as it concerns
//! waiting for it.

use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::placement::{Pass, ResourceRequest};
use crate::coordination::Scheduler;
use crate::ids::{Image, JobId, MachineId, MachineType};
use crate::protocol::users::{JobSpec, Shape};
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeMap;

/// A job waits for machines that have its image for this part of the time that a fetch takes.
const WAIT_PART: f64 = 0.5;

/// All that is left of it should find such machines within so many fetches.
const MOST_WAIT: f64 = 2.0;

impl Scheduler {
    /// Whether a job leaves the room there is to jobs behind it that need not fetch their image, for
    /// machines that have its own should come free soon. It does so for no longer than a part of the
    /// fetch that it spares itself, counted from when it could first have taken something.
    ///
    /// Guards against every image being fetched to every machine while there is too much to do: what
    /// came free was taken at once by the first job in the queue, and half of all starts fetched.
    pub(crate) fn waits_for_image(&mut self, now: Instant, id: &JobId, pass: &Pass) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let spec = &job.spec;
        if spec.shape != Shape::Array || job.pending.is_empty() || self.aged(job, now) {
            return false;
        }
        let request = ResourceRequest::of(spec);
        if pass.full.iter().any(|f| request.covers(f)) {
            return false;
        }
        let fetch_s = self.shortest_fetch_s(spec);
        let slots = self
            .machines
            .gpus_by_cached_image
            .get(&spec.image)
            .copied()
            .unwrap_or(0.0)
            / spec.gpus.max(0.1);
        let soon_s = job.pending.len() as f64 * self.estimate_of(job) / slots.max(1e-9);
        let limit = TimeSpan::from_secs(fetch_s * WAIT_PART);
        let over = job.waits_since.is_some_and(|t| now - t > limit);
        if over || soon_s > fetch_s * MOST_WAIT {
            return false;
        }
        let first: Vec<u32> = job.pending.iter().take(1).copied().collect();
        if pass.used.headroom(&self.policy, job.team, spec) == 0
            || self.plan(now, id, spec, &first, None, pass).is_empty()
        {
            return false;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.waits_since.get_or_insert(now);
        }
        true
    }

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
            (Some(machine), Some(job)) => self.fetch_s(&machine.machine_type, job.spec.image_gb),
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
