//! Resource amounts: the requests of tasks, the capacities of machines and the usage of teams.

use crate::protocol::users::JobSpec;

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub ram_gb: f64,
}

/// Tolerance for comparing sums of fractional amounts.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// Returns the resource request of one task of a job.
    pub fn of(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            ram_gb: spec.ram_gb,
        }
    }
    /// Returns the amount multiplied by `count`.
    pub fn times(self, count: f64) -> Resources {
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            ram_gb: self.ram_gb * count,
        }
    }
    /// Whether the amount fits into the `free` resources.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpus <= free.cpus + ROUNDING_TOLERANCE
            && self.gpus <= free.gpus + ROUNDING_TOLERANCE
            && self.ram_gb <= free.ram_gb + ROUNDING_TOLERANCE
    }
    /// Returns how many times the amount fits into the `free` resources, at most `max_count`.
    pub fn count_in(&self, free: &Resources, max_count: u32) -> u32 {
        let count_of_resource = |request: f64, free: f64| {
            if request <= ROUNDING_TOLERANCE {
                f64::from(max_count)
            } else {
                ((free + ROUNDING_TOLERANCE) / request).floor().max(0.0)
            }
        };
        count_of_resource(self.cpus, free.cpus)
            .min(count_of_resource(self.gpus, free.gpus))
            .min(count_of_resource(self.ram_gb, free.ram_gb))
            .min(f64::from(max_count)) as u32
    }
    /// Adds another amount to this one.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.ram_gb += other.ram_gb;
    }
    /// Subtracts another amount from this one.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.ram_gb -= other.ram_gb;
    }
}

/// Whether a request is within a team's limit; a limit of 0 means unlimited.
pub fn within_limit(request: f64, limit: f64) -> bool {
    limit <= 0.0 || request <= limit + ROUNDING_TOLERANCE
}
