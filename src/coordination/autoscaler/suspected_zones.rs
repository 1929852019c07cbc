//! Zones that seem to be cut off by the network.
//!
//! Guards against giving a whole zone away when it is the network that is silent: on a day with
//! a cut of 20 s between two zones every machine beyond it was terminated, one by one as each
//! crossed the bound, though their leases would have outlasted it. So what counts is how many
//! of a zone have fallen silent by now, not how many have been silent for long enough.

use crate::coordination::machines::machine::MachineState;
use crate::coordination::{ClusterView, Policy};
use crate::ids::Zone;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeMap;

/// A machine counts towards the suspicion of its zone after so many heartbeat intervals of silence.
const SILENT_HEARTBEATS: f64 = 2.0;
/// So many silent machines of a zone are no reason to suspect it.
const MAX_LOST_MACHINES: f64 = 2.0;

/// The zones that are suspected to be cut off, and until when.
#[derive(Debug, Default)]
pub(super) struct SuspectedZones {
    until: BTreeMap<Zone, Instant>,
}

impl SuspectedZones {
    /// Suspects zones until then, and drops suspicions that are over.
    ///
    /// When a cut ends, machines send heartbeats one after the other: `until` has to leave time for the
    /// last of them.
    pub(super) fn update(&mut self, now: Instant, zones: Vec<Zone>, until: Instant) {
        self.until
            .extend(zones.into_iter().map(|zone| (zone, until)));
        self.until.retain(|_, until| now < *until);
    }

    /// Whether the zone is suspected to be cut off.
    pub(super) fn contains(&self, zone: &Zone) -> bool {
        self.until.contains_key(zone)
    }
}

/// The silence after which a machine counts towards the suspicion of its zone.
pub(super) fn zone_silence_bound(policy: &Policy) -> TimeSpan {
    TimeSpan::from_secs(policy.facts.workers.heartbeat_interval_s * SILENT_HEARTBEATS)
}

/// How many machines of a zone should send heartbeats, and how many of them are silent.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneSilence {
    machines: f64,
    silent: f64,
}

/// The zones of which too many machines are silent.
pub(super) fn mostly_silent_zones(cluster: &ClusterView<'_>) -> Vec<Zone> {
    let max_share = cluster.policy.operator.max_silent_share;
    silence_by_zone(cluster)
        .into_iter()
        .filter(|(_, zone)| zone.silent > (zone.machines * max_share).max(MAX_LOST_MACHINES))
        .map(|(zone, _)| zone)
        .collect()
}

fn silence_by_zone(cluster: &ClusterView<'_>) -> BTreeMap<Zone, ZoneSilence> {
    let now = cluster.now;
    let bound = zone_silence_bound(cluster.policy);
    let mut zones: BTreeMap<Zone, ZoneSilence> = BTreeMap::new();
    for machine in cluster.machines.values() {
        // One that was given back because it was silent still speaks for a cut.
        let is_lost = machine.state == MachineState::Terminating
            && machine.last_message_at.is_none_or(|at| now - at > bound);
        if machine.state == MachineState::Up || is_lost {
            let is_silent = is_lost || machine.is_silent(now, bound);
            let zone = zones.entry(machine.zone.clone()).or_default();
            zone.machines += 1.0;
            zone.silent += f64::from(u8::from(is_silent));
        }
    }
    zones
}
