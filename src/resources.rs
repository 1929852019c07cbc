//! Resources: what tasks request, what machines have, what teams use.

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

/// Amounts are decimal fractions: sums are compared with this tolerance.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// What one task of a job requests.
    pub fn of(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            ram_gb: spec.ram_gb,
        }
    }
    /// `count` times as much.
    pub fn times(self, count: f64) -> Resources {
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            ram_gb: self.ram_gb * count,
        }
    }
    /// Whether it fits into the `free` resources.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpus <= free.cpus + ROUNDING_TOLERANCE
            && self.gpus <= free.gpus + ROUNDING_TOLERANCE
            && self.ram_gb <= free.ram_gb + ROUNDING_TOLERANCE
    }
    /// How many of it fit into the `free` resources together, at most `max_count`.
    pub fn count_in(&self, free: &Resources, max_count: u32) -> u32 {
        let count_of_one = |request: f64, free: f64| {
            if request <= ROUNDING_TOLERANCE {
                f64::from(max_count)
            } else {
                ((free + ROUNDING_TOLERANCE) / request).floor().max(0.0)
            }
        };
        count_of_one(self.cpus, free.cpus)
            .min(count_of_one(self.gpus, free.gpus))
            .min(count_of_one(self.ram_gb, free.ram_gb))
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

/// Whether a request is within a limit in which 0 means none (as in the settings' teams).
pub fn within_limit(request: f64, limit: f64) -> bool {
    limit <= 0.0 || request <= limit + ROUNDING_TOLERANCE
}
