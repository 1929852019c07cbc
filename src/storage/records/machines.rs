//! Machine pages: the machines that the cluster has rented.

use crate::ids::{Image, MachineId, MachineType, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The machine type, zone and pricing (spot or not) of a rented machine, stored as `[type, zone, spot]`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "StoredKind", into = "StoredKind")]
pub struct MachineKind {
    /// The machine type.
    pub machine_type: MachineType,
    /// The zone.
    pub zone: Zone,
    /// Whether the machine is a spot machine.
    pub spot: bool,
}

impl MachineKind {
    /// Returns the kind with these properties.
    pub fn new(machine_type: MachineType, zone: Zone, spot: bool) -> MachineKind {
        MachineKind {
            machine_type,
            zone,
            spot,
        }
    }
}

type StoredKind = (MachineType, Zone, bool);

impl From<StoredKind> for MachineKind {
    fn from((machine_type, zone, spot): StoredKind) -> MachineKind {
        MachineKind::new(machine_type, zone, spot)
    }
}

impl From<MachineKind> for StoredKind {
    fn from(kind: MachineKind) -> StoredKind {
        (kind.machine_type, kind.zone, kind.spot)
    }
}

/// A machine on its page, stored as `[kind, rented_s, has_reported, images]`. No safety property depends on any
/// field but `kind`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredMachine", into = "StoredMachine")]
pub struct MachineEntry {
    /// Index of the machine's kind in [`MachinePage::kinds`].
    pub kind: usize,
    /// Unix time at which the machine was rented, in seconds; 0 if unknown.
    pub rented_s: u64,
    /// Whether the machine's worker has sent a heartbeat.
    pub has_reported: bool,
    /// Indices in [`MachinePage::images`] of the images that should be in the machine's cache, least recently used
    /// first.
    pub images: Vec<usize>,
}

type StoredMachine = (usize, u64, bool, Vec<usize>);

impl From<StoredMachine> for MachineEntry {
    fn from((kind, rented_s, has_reported, images): StoredMachine) -> MachineEntry {
        MachineEntry {
            kind,
            rented_s,
            has_reported,
            images,
        }
    }
}

impl From<MachineEntry> for StoredMachine {
    fn from(entry: MachineEntry) -> StoredMachine {
        (entry.kind, entry.rented_s, entry.has_reported, entry.images)
    }
}

/// A machine page. Stored under [`machine_page_key`](super::machine_page_key).
///
/// Written by the leader before it launches anything on a machine of the page; read by a new leader. Each kind and
/// each image is listed once, and machines refer to it by index.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MachinePage {
    /// The kinds of machines on the page.
    pub kinds: Vec<MachineKind>,
    /// The images in the caches of the machines on the page, with their sizes in GB.
    pub images: Vec<(Image, f64)>,
    /// The machines on the page.
    #[serde(rename = "hosts")]
    pub machines: BTreeMap<MachineId, MachineEntry>,
}
