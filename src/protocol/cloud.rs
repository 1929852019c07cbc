//! The wire between controllers and the cloud.
//!
//! The operators' words are in serde names, and nowhere else.

use crate::ids::{IdempotencyKey, MachineId, MachineType, Zone};
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeInfo {
    /// The name of the type.
    #[serde(rename = "sku")]
    pub name: MachineType,
    /// CPUs of a machine.
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "ramGb")]
    pub ram_gb: f64,
    /// Room for container images, in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// How fast a machine pulls images, in GB a second, give or take a third.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of a machine for an hour.
    #[serde(rename = "hourly", default)]
    pub price: f64,
    /// Price of a spot instance for an hour.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    /// The usual time from renting a machine until it is up, in seconds.
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    /// The zones in which the cloud offers the type.
    #[serde(rename = "sites")]
    pub zones: Vec<Zone>,
}

/// The response of `GET /machine_types`; also stored under one key of the state store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeList {
    /// All machine types.
    #[serde(rename = "rigs")]
    pub machine_types: Vec<MachineTypeInfo>,
}

/// A request to rent machines (scale out).
#[derive(Clone, Debug, Serialize)]
pub struct RentRequest {
    /// Never reused for another request: repeated with the same key, it rents nothing more.
    #[serde(rename = "hire")]
    pub idempotency_key: IdempotencyKey,
    /// The type of the machines.
    #[serde(rename = "rig")]
    pub machine_type: MachineType,
    /// Where they are to be.
    #[serde(rename = "site")]
    pub zone: Zone,
    /// Whether they may be spot instances, which the cloud can reclaim.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "number")]
    pub count: u32,
}

/// The machines rented.
#[derive(Clone, Debug, Deserialize)]
pub struct RentReply {
    /// The machines.
    #[serde(rename = "hosts")]
    pub machine_ids: Vec<MachineId>,
}

/// A request to return machines (scale in).
#[derive(Clone, Debug, Serialize)]
pub struct TerminateRequest {
    /// The machines.
    #[serde(rename = "hosts")]
    pub machine_ids: Vec<MachineId>,
}

/// How the cloud sees a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CloudPhase {
    /// Booting.
    Starting,
    /// It never came up, and never will.
    Failed,
    /// Up, as far as the cloud knows; also any phase not known.
    #[serde(other)]
    Running,
}

/// One line of the machine list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    /// The machine.
    #[serde(rename = "ref")]
    pub id: MachineId,
    /// Where its worker listens: address and port.
    #[serde(default)]
    pub endpoint: String,
    /// Its type.
    #[serde(rename = "rig")]
    pub machine_type: MachineType,
    /// Where it is.
    #[serde(rename = "site")]
    pub zone: Zone,
    /// Whether it is a spot instance.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// How the cloud sees it.
    pub phase: CloudPhase,
    /// How long ago it was rented, in seconds.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// One page of the machine list.
#[derive(Clone, Debug, Deserialize)]
pub struct MachineListPage {
    /// The machines on the page; the next page begins after the last of them.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are pages after this one.
    #[serde(rename = "hasNext", default)]
    pub has_more: bool,
}
