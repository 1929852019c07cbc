//! A machine of the forecast, with its free capacity over time.

use crate::coordination::autoscaler::MachineOffer;
use crate::ids::{Image, MachineId};
use crate::protocol::users::JobSpec;
use crate::resources::Resources;

/// A machine in the forecast: there, coming, or one that might be rented. Times are seconds from the
/// moment of the forecast.
pub(super) struct MachineSlot {
    /// What kind of machine it is.
    pub(super) offer: MachineOffer,
    /// The machine, if it is there and idle and no task has been assigned to it.
    idle_machine: Option<MachineId>,
    /// The share of it that was free when the forecast began: fuller ones are filled first.
    free_share: f64,
    /// When it can take work at all.
    available_from_s: f64,
    /// What is free once it can.
    free: Resources,
    /// Capacity that tasks free, soonest first.
    releases: Vec<Release>,
    /// Images that are there, or will be.
    cached_images: Vec<Image>,
    /// Kept in the warm pool for this job class only.
    warm_pool_class: Option<String>,
}

/// Capacity that a task frees when it ends.
#[derive(Clone, Copy)]
pub(super) struct Release {
    /// When, in seconds from the moment of the forecast.
    pub(super) at_s: f64,
    /// How much.
    pub(super) resources: Resources,
}

/// What is known of a machine that is up, for the forecast.
pub(super) struct MachineInUse {
    pub(super) offer: MachineOffer,
    /// Its id, if nothing runs on it.
    pub(super) idle_machine: Option<MachineId>,
    pub(super) free_share: f64,
    pub(super) free: Resources,
    /// In any order.
    pub(super) releases: Vec<Release>,
    pub(super) cached_images: Vec<Image>,
    pub(super) warm_pool_class: Option<String>,
}

impl MachineSlot {
    /// A machine that is booting, requested or imagined: empty until then, without images.
    pub(super) fn coming(offer: MachineOffer, available_from_s: f64, capacity: Resources) -> Self {
        MachineSlot {
            offer,
            idle_machine: None,
            free_share: 1.0,
            available_from_s,
            free: capacity,
            releases: Vec::new(),
            cached_images: Vec::new(),
            warm_pool_class: None,
        }
    }

    /// A machine that is up.
    pub(super) fn in_use(machine: MachineInUse) -> Self {
        let mut releases = machine.releases;
        releases.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        MachineSlot {
            offer: machine.offer,
            idle_machine: machine.idle_machine,
            free_share: machine.free_share,
            available_from_s: 0.0,
            free: machine.free,
            releases,
            cached_images: machine.cached_images,
            warm_pool_class: machine.warm_pool_class,
        }
    }

    /// The soonest time by which so much is free; infinite if it never is.
    pub(super) fn earliest_fit_s(&self, request: &Resources) -> f64 {
        let mut free = self.free;
        if request.fits(&free) {
            return self.available_from_s;
        }
        for release in &self.releases {
            free.add(&release.resources);
            if request.fits(&free) {
                return release.at_s.max(self.available_from_s);
            }
        }
        f64::INFINITY
    }

    /// Takes so much from then on, and frees it when the task has run.
    pub(super) fn allocate(&mut self, at_s: f64, request: &Resources, run_s: f64) {
        let due = self.releases.partition_point(|r| r.at_s <= at_s);
        for release in self.releases.drain(..due) {
            self.free.add(&release.resources);
        }
        self.free.sub(request);
        let release = Release {
            at_s: at_s + run_s,
            resources: *request,
        };
        let place = self.releases.partition_point(|r| r.at_s <= release.at_s);
        self.releases.insert(place, release);
        self.idle_machine = None;
    }

    /// Whether so much is free as soon as it can take work.
    pub(super) fn has_free(&self, request: &Resources) -> bool {
        request.fits(&self.free)
    }

    /// How many tasks fit as soon as it can take work, at most `max`.
    pub(super) fn free_for(&self, request: &Resources, max: u32) -> u32 {
        request.count_in(&self.free, max)
    }

    /// Whether several tasks share it.
    pub(super) fn is_shared(&self) -> bool {
        self.releases.len() > 1
    }

    /// Whether a job's constraints allow the machine, and the warm pool does not keep it for another class.
    pub(super) fn is_allowed_by(&self, spec: &JobSpec) -> bool {
        let pool_class = self.warm_pool_class.as_ref();
        self.offer.is_allowed_by(spec) && pool_class.is_none_or(|class| *class == spec.class)
    }

    /// Whether the image is there, or will be.
    pub(super) fn has_image(&self, image: &Image) -> bool {
        self.cached_images.contains(image)
    }

    /// The image is fetched, unless it is there.
    pub(super) fn add_image(&mut self, image: &Image) {
        if !self.has_image(image) {
            self.cached_images.push(image.clone());
        }
    }

    /// The share of it that was free when the forecast began.
    pub(super) fn free_share(&self) -> f64 {
        self.free_share
    }

    /// The machine, if it is there and idle and no task was assigned to it.
    pub(super) fn into_spare(self) -> Option<MachineId> {
        self.idle_machine
    }
}
