//! Controllers -> cloud.

use crate::ids::{IdempotencyKey, MachineId, MachineType, Zone};
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeInfo {
    #[serde(rename = "sku")]
    pub name: MachineType,
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(rename = "ramGb")]
    pub ram_gb: f64,
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly", default)]
    pub price: f64,
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    #[serde(rename = "sites")]
    pub zones: Vec<Zone>,
}

/// The answer of `GET /machine_types`; also kept under one key on the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeList {
    #[serde(rename = "rigs")]
    pub machine_types: Vec<MachineTypeInfo>,
}

/// A request to rent; `idempotency_key` is never reused for anything else.
#[derive(Clone, Debug, Serialize)]
pub struct RentRequest {
    #[serde(rename = "hire")]
    pub idempotency_key: IdempotencyKey,
    #[serde(rename = "rig")]
    pub machine_type: MachineType,
    #[serde(rename = "site")]
    pub zone: Zone,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

/// The machines rented.
#[derive(Clone, Debug, Deserialize)]
pub struct RentReply {
    #[serde(rename = "hosts")]
    pub machine_ids: Vec<MachineId>,
}

/// A request to give machines back.
#[derive(Clone, Debug, Serialize)]
pub struct ReturnRequest {
    #[serde(rename = "hosts")]
    pub machine_ids: Vec<MachineId>,
}

/// How the cloud sees a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CloudPhase {
    Starting,
    Failed,
    #[serde(other)]
    Running,
}

/// One line of the machine list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "ref")]
    pub id: MachineId,
    #[serde(default)]
    pub endpoint: String,
    #[serde(rename = "rig")]
    pub machine_type: MachineType,
    #[serde(rename = "site")]
    pub zone: Zone,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    pub phase: CloudPhase,
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// One page of the machine list.
#[derive(Clone, Debug, Deserialize)]
pub struct MachineListPage {
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "hasNext", default)]
    pub more: bool,
}
