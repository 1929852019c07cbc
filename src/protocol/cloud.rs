//! Messages between controllers and the cloud.
//!
//! Wire names that differ from the code's terms are given as serde names.

use crate::ids::{IdempotencyKey, MachineId, MachineType, Zone};
use serde::{Deserialize, Serialize};

/// A machine type, as the cloud offers it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeInfo {
    /// The name of the type.
    #[serde(rename = "sku")]
    pub name: MachineType,
    /// CPUs per machine.
    pub cpus: f64,
    /// GPUs per machine.
    #[serde(default)]
    pub gpus: f64,
    /// Memory per machine, in GB.
    #[serde(rename = "ramGb")]
    pub ram_gb: f64,
    /// Capacity of the container image cache, in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Typical image fetch rate of a machine, in GB per second; the actual rate varies by up to a third.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price per machine and hour.
    #[serde(rename = "hourly", default)]
    pub price: f64,
    /// Price per spot machine and hour.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    /// Typical time from renting a machine until it is up, in seconds.
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
    /// Unique per request: the cloud rents nothing more when a request is retried with the same key.
    #[serde(rename = "hire")]
    pub idempotency_key: IdempotencyKey,
    /// The machine type to rent.
    #[serde(rename = "rig")]
    pub machine_type: MachineType,
    /// The zone to rent in.
    #[serde(rename = "site")]
    pub zone: Zone,
    /// Whether to rent spot machines, which the cloud may reclaim.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The number of machines to rent.
    #[serde(rename = "number")]
    pub count: u32,
}

/// The response to a [`RentRequest`].
#[derive(Clone, Debug, Deserialize)]
pub struct RentReply {
    /// The rented machines.
    #[serde(rename = "hosts")]
    pub machine_ids: Vec<MachineId>,
}

/// A request to terminate machines (scale in).
#[derive(Clone, Debug, Serialize)]
pub struct TerminateRequest {
    /// The machines to terminate.
    #[serde(rename = "hosts")]
    pub machine_ids: Vec<MachineId>,
}

/// The phase of a machine in the cloud's machine list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CloudPhase {
    /// The machine is booting.
    Starting,
    /// The boot failed; the machine will never be up.
    Failed,
    /// The machine is up as far as the cloud knows. Unknown phases are read as this one.
    #[serde(other)]
    Running,
}

/// One entry of the machine list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    /// The machine's id.
    #[serde(rename = "ref")]
    pub id: MachineId,
    /// Listen address and port of the machine's worker.
    #[serde(default)]
    pub endpoint: String,
    /// The machine's type.
    #[serde(rename = "rig")]
    pub machine_type: MachineType,
    /// The machine's zone.
    #[serde(rename = "site")]
    pub zone: Zone,
    /// Whether the machine is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The machine's phase.
    pub phase: CloudPhase,
    /// Time since the machine was rented, in seconds.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// One page of the machine list.
#[derive(Clone, Debug, Deserialize)]
pub struct MachineListPage {
    /// The machines on the page; the next page starts after the last one.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are pages after this one.
    #[serde(rename = "hasNext", default)]
    pub has_more: bool,
}
