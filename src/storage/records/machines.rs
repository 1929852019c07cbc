//! Pages of machines: what the cluster has rented.

use crate::ids::{Image, MachineId, MachineType, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What machines are rented as, stored as `[type, zone, spot]`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "StoredKind", into = "StoredKind")]
pub struct MachineKind {
    /// The machine type.
    pub machine_type: MachineType,
    /// The zone.
    pub zone: Zone,
    /// Whether it is a spot instance.
    pub spot: bool,
}

impl MachineKind {
    /// A kind of machine.
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

/// A machine on its page, stored as `[kind, rented_s, has_reported, images]`. Only the kind matters for safety.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredMachine", into = "StoredMachine")]
pub struct MachineEntry {
    /// Its kind, by its place in [`MachinePage::kinds`].
    pub kind: usize,
    /// The time of day at which it was rented, in seconds since 1970; 0 if that isn't known.
    pub rented_s: u64,
    /// Whether its worker has sent a heartbeat.
    pub has_reported: bool,
    /// Images that should be in its cache, by their place in [`MachinePage::images`], least recently used first.
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

/// A page of machines. Stored under [`machine_page_key`](super::machine_page_key).
///
/// Written by the leader before anything is launched on a machine that is on it; read by a new leader. Kinds and
/// images are named once and then by number.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MachinePage {
    /// The kinds of machines on the page.
    pub kinds: Vec<MachineKind>,
    /// The images named on the page, and their sizes in GB.
    pub images: Vec<(Image, f64)>,
    /// The machines.
    #[serde(rename = "hosts")]
    pub machines: BTreeMap<MachineId, MachineEntry>,
}
