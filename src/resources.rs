//! Amounts of machine: what tasks take, what machines offer, what teams use.

use crate::protocol::users::JobSpec;

/// An amount of machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
}

/// Amounts are decimal numbers: sums are compared with a little give.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// What one task of a job takes.
    pub fn of(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            ram_gb: spec.ram_gb,
        }
    }
    /// `n` times as much.
    pub fn times(self, n: f64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            ram_gb: self.ram_gb * n,
        }
    }
    /// Whether it fits into `room`.
    pub fn fits(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus + ROUNDING_TOLERANCE
            && self.gpus <= room.gpus + ROUNDING_TOLERANCE
            && self.ram_gb <= room.ram_gb + ROUNDING_TOLERANCE
    }
    /// How many of it fit into `room`, at most `most`.
    pub fn count_in(&self, room: &Resources, most: u32) -> u32 {
        let one = |request: f64, have: f64| {
            if request <= ROUNDING_TOLERANCE {
                f64::from(most)
            } else {
                ((have + ROUNDING_TOLERANCE) / request).floor().max(0.0)
            }
        };
        one(self.cpus, room.cpus)
            .min(one(self.gpus, room.gpus))
            .min(one(self.ram_gb, room.ram_gb))
            .min(f64::from(most)) as u32
    }
    /// Adds.
    pub fn add(&mut self, o: &Resources) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.ram_gb += o.ram_gb;
    }
    /// Takes away.
    pub fn sub(&mut self, o: &Resources) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.ram_gb -= o.ram_gb;
    }
}

/// A bound in which 0 means none (as in the settings' teams).
pub fn within_limit(request: f64, bound: f64) -> bool {
    bound <= 0.0 || request <= bound + ROUNDING_TOLERANCE
}
