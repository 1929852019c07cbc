//! The machine type in tests that run only the scheduler.

use chalklug::ids::{MachineType, Zone};
use chalklug::protocol::cloud::MachineTypeInfo;

/// Returns a machine type with the given number of GPUs.
pub fn machine_type(gpus: f64) -> MachineTypeInfo {
    MachineTypeInfo {
        name: MachineType::from("box"),
        cpus: 64.0,
        gpus,
        ram_gb: 256.0,
        cache_gb: 150.0,
        fetch_gb_per_s: 1.0,
        price: 10.0,
        spot_price: 4.0,
        boot_s: 25.0,
        zones: vec![Zone::from("a"), Zone::from("b")],
    }
}
