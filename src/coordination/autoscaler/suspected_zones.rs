//! Zones that are suspected of being cut off by a network failure.
//!
//! Guards against terminating a whole zone when only the network has failed: during a partition of 20 s
//! between two zones, every machine beyond it was terminated as soon as it had been silent for too long,
//! although its lease would have outlasted the partition. The suspicion therefore depends on how many machines
//! of a zone are silent now, not on how many have been silent for long enough to be terminated.

use crate::coordination::machines::machine::MachineState;
use crate::coordination::{ClusterView, Policy};
use crate::ids::Zone;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeMap;

/// Heartbeat intervals of silence after which a machine counts towards the suspicion of its zone.
const SILENT_HEARTBEATS: f64 = 2.0;
/// A zone with no more silent machines than this is not suspected.
const MAX_SILENT_MACHINES: f64 = 2.0;

/// The suspected zones, and until when each is suspected.
#[derive(Debug, Default)]
pub(super) struct SuspectedZones {
    until: BTreeMap<Zone, Instant>,
}

impl SuspectedZones {
    /// Marks zones as suspected until the given time, and drops expired suspicions.
    ///
    /// After a partition, machines send their heartbeats one after another: `until` has to allow for the last of
    /// them.
    pub(super) fn update(&mut self, now: Instant, zones: Vec<Zone>, until: Instant) {
        self.until
            .extend(zones.into_iter().map(|zone| (zone, until)));
        self.until.retain(|_, until| now < *until);
    }

    /// Whether the zone is suspected of being cut off.
    pub(super) fn contains(&self, zone: &Zone) -> bool {
        self.until.contains_key(zone)
    }
}

/// Returns the silence after which a machine counts towards the suspicion of its zone.
pub(super) fn zone_silence_timeout(policy: &Policy) -> TimeSpan {
    TimeSpan::from_secs(policy.facts.workers.heartbeat_interval_s * SILENT_HEARTBEATS)
}

/// The number of machines of a zone that should send heartbeats, and of those that are silent.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneSilence {
    machines: f64,
    silent: f64,
}

/// Returns the zones of which too many machines are silent.
pub(super) fn mostly_silent_zones(cluster: &ClusterView<'_>) -> Vec<Zone> {
    let max_share = cluster.policy.operator.max_silent_share;
    silence_by_zone(cluster)
        .into_iter()
        .filter(|(_, zone)| zone.silent > (zone.machines * max_share).max(MAX_SILENT_MACHINES))
        .map(|(zone, _)| zone)
        .collect()
}

fn silence_by_zone(cluster: &ClusterView<'_>) -> BTreeMap<Zone, ZoneSilence> {
    let now = cluster.now;
    let timeout = zone_silence_timeout(cluster.policy);
    let mut zones: BTreeMap<Zone, ZoneSilence> = BTreeMap::new();
    for machine in cluster.machines.values() {
        // A silent machine that is being terminated still counts as evidence of a network failure.
        let is_silent_terminating = machine.state == MachineState::Terminating
            && machine.last_message_at.is_none_or(|at| now - at > timeout);
        if machine.state == MachineState::Up || is_silent_terminating {
            let is_silent = is_silent_terminating || machine.is_silent(now, timeout);
            let zone = zones.entry(machine.zone.clone()).or_default();
            zone.machines += 1.0;
            zone.silent += f64::from(u8::from(is_silent));
        }
    }
    zones
}
