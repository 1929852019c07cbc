//! A machine of the simulated cluster, with its free capacity over time.

use crate::coordination::autoscaler::MachineOffer;
use crate::ids::{Image, MachineId};
use crate::protocol::users::JobSpec;
use crate::resources::Resources;

/// A machine of the simulated cluster: up, starting, or one that could be rented. Times are in seconds from the
/// forecast.
pub(super) struct SimulatedMachine {
    /// The kind of machine.
    pub(super) offer: MachineOffer,
    /// The id of the machine, if it is up and idle and no task has been assigned to it.
    idle_machine: Option<MachineId>,
    /// Share of the machine that was free when the forecast started; fuller machines are filled first.
    free_share: f64,
    /// When the machine can start tasks.
    available_from_s: f64,
    /// Capacity that is free from that time on.
    free: Resources,
    /// Capacity that tasks release, earliest first.
    releases: Vec<Release>,
    /// Images that are cached, or will be.
    cached_images: Vec<Image>,
    /// The job class for which the warm pool keeps the machine, if any.
    warm_pool_class: Option<String>,
}

/// Capacity that tasks release when they end at the same time.
#[derive(Clone, Copy)]
pub(super) struct Release {
    /// When the tasks end, in seconds from the forecast.
    pub(super) at_s: f64,
    /// The capacity released by all of them.
    pub(super) resources: Resources,
    /// The number of tasks.
    pub(super) tasks: u32,
}

/// The state of a machine that is up, as the forecast needs it.
pub(super) struct UpMachine {
    pub(super) offer: MachineOffer,
    /// The id of the machine, if nothing runs on it.
    pub(super) idle_machine: Option<MachineId>,
    pub(super) free_share: f64,
    pub(super) free: Resources,
    /// In any order.
    pub(super) releases: Vec<Release>,
    pub(super) cached_images: Vec<Image>,
    pub(super) warm_pool_class: Option<String>,
}

impl SimulatedMachine {
    /// Creates a machine that is booting, requested or could be rented: empty, and without images.
    pub(super) fn starting(
        offer: MachineOffer,
        available_from_s: f64,
        capacity: Resources,
    ) -> Self {
        SimulatedMachine {
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

    /// Creates a machine that is up.
    pub(super) fn up(machine: UpMachine) -> Self {
        let mut releases = machine.releases;
        releases.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        SimulatedMachine {
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

    /// Returns the earliest time, in seconds, at which the request fits; infinite if it never does.
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

    /// Allocates the request of each of `tasks` tasks from `at_s` on, and releases it after `run_s` seconds.
    pub(super) fn allocate(&mut self, at_s: f64, request: &Resources, run_s: f64, tasks: u32) {
        let due = self.releases.partition_point(|r| r.at_s <= at_s);
        for release in self.releases.drain(..due) {
            self.free.add(&release.resources);
        }
        let resources = request.times(f64::from(tasks));
        self.free.sub(&resources);
        let release = Release {
            at_s: at_s + run_s,
            resources,
            tasks,
        };
        let index = self.releases.partition_point(|r| r.at_s <= release.at_s);
        self.releases.insert(index, release);
        self.idle_machine = None;
    }

    /// Whether the request fits as soon as the machine can start tasks.
    pub(super) fn has_capacity_for(&self, request: &Resources) -> bool {
        request.fits(&self.free)
    }

    /// Returns how many tasks fit as soon as the machine can start tasks, at most `max`.
    pub(super) fn task_capacity(&self, request: &Resources, max: u32) -> u32 {
        request.count_in(&self.free, max)
    }

    /// Whether several tasks share the machine.
    pub(super) fn is_shared(&self) -> bool {
        match self.releases.as_slice() {
            [] => false,
            [only] => only.tasks > 1,
            _ => true,
        }
    }

    /// Whether a job's constraints allow the machine, and the warm pool does not keep it for another class.
    pub(super) fn is_allowed_by(&self, spec: &JobSpec) -> bool {
        let pool_class = self.warm_pool_class.as_ref();
        self.offer.is_allowed_by(spec) && pool_class.is_none_or(|class| *class == spec.class)
    }

    /// Whether the image is cached, or will be.
    pub(super) fn has_image(&self, image: &Image) -> bool {
        self.cached_images.contains(image)
    }

    /// Adds an image that will be fetched, unless it is cached.
    pub(super) fn add_image(&mut self, image: &Image) {
        if !self.has_image(image) {
            self.cached_images.push(image.clone());
        }
    }

    /// Returns the share of the machine that was free when the forecast started.
    pub(super) fn free_share(&self) -> f64 {
        self.free_share
    }

    /// Returns the id of the machine, if it is up and idle and no task was assigned to it.
    pub(super) fn into_spare(self) -> Option<MachineId> {
        self.idle_machine
    }
}
