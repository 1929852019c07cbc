//! Renting machines: what, how many, and what became of each request.

use super::{Kind, ScaleOutRequest, CALLS, LOOK_A_MACHINE, LOOK_EVERY, LOOK_S, STILL_SILENT};
use crate::coordination::machines::machine::MachineState;
use crate::coordination::placement::UnplacedTasks;
use crate::coordination::{Effect, Scheduler};
use crate::ids::{MachineId, Zone};
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeMap;

/// The most one rental may ask for, by the protocol.
const MOST_PER_HIRE: u32 = 50;
/// Waits after a refusal.
const REFUSED: (TimeSpan, TimeSpan) = (TimeSpan(8_000), TimeSpan(40_000));
/// An unclear rental is asked again after this, and given up after that: its machines, if any,
/// show up in the list and in their workers' reports.
const HIRE_AGAIN: TimeSpan = TimeSpan(1_500);
const HIRE_GIVEN_UP: TimeSpan = TimeSpan(90_000);

impl Scheduler {
    pub(crate) fn repeat_hires(&mut self, now: Instant) {
        self.autoscaler
            .scale_out_requests
            .retain(|_, h| now - h.asked < HIRE_GIVEN_UP);
        let due: Vec<String> = self
            .autoscaler
            .scale_out_requests
            .iter()
            .filter(|(_, h)| h.again_at.is_some_and(|t| t <= now))
            .map(|(n, _)| n.clone())
            .collect();
        for name in due {
            if !self.autoscaler.calls.take(now, 1.0) {
                return;
            }
            if let Some(h) = self.autoscaler.scale_out_requests.get_mut(&name) {
                h.again_at = None;
                let (machine_type, zone, spot) = h.kind.clone();
                self.effects.push(Effect::ScaleOut {
                    idempotency_key: name,
                    machine_type,
                    zone,
                    spot,
                    count: h.count,
                });
            }
        }
    }

    /// Rents what makes waiting tasks start sooner, as the forecast says.
    pub(crate) fn rent(&mut self, now: Instant, unplaced: &[UnplacedTasks]) {
        let pause = LOOK_EVERY + TimeSpan(LOOK_A_MACHINE * self.machines.len() as i64);
        if now - self.autoscaler.looked < pause || self.awaits_reports(now) {
            return;
        }
        self.autoscaler.looked = now;
        let calls = (self.policy.facts.cloud.rps * CALLS * LOOK_S).max(1.0);
        let seen = self.look_ahead(now, unplaced, calls as usize * MOST_PER_HIRE as usize);
        tracing::debug!(
            unplaced = unplaced.len(),
            tasks = unplaced.iter().map(|u| u.count).sum::<u32>(),
            new = seen.rent.values().sum::<u32>(),
            spare = seen.spare.len(),
            "forecast"
        );
        self.autoscaler.spare = seen.spare;
        for (kind, mut count) in seen.rent {
            while count > 0 && self.autoscaler.calls.take(now, 1.0) {
                let part = count.min(MOST_PER_HIRE);
                self.hire(now, kind.clone(), part);
                count -= part;
            }
        }
    }

    /// Whether a new leader still waits for the first reports of most of its machines.
    ///
    /// Guards against rentals for which there is no use a moment later: each change of leaders rented up to
    /// 180 machines on the recorded day a974. Until a machine has reported it can't be given work, and what
    /// ended on it while nobody led still seems to be there.
    pub(crate) fn awaits_reports(&self, now: Instant) -> bool {
        if self.leadership.age(now) > self.policy.first_reports() {
            return false;
        }
        let up = self
            .machines
            .values()
            .filter(|m| m.state == MachineState::Up);
        let (silent, all) = up.fold((0, 0), |(silent, all), m| {
            (silent + usize::from(m.last_heartbeat_at.is_none()), all + 1)
        });
        silent as f64 > all as f64 * STILL_SILENT
    }

    pub(crate) fn hire(&mut self, now: Instant, kind: Kind, count: u32) {
        // Unique for ever: tokens are, and so is the count within one.
        self.autoscaler.hired += 1;
        let name = format!(
            "r-{}-{}",
            self.leadership.initial_token(),
            self.autoscaler.hired
        );
        tracing::debug!(idempotency_key = %name, machine_type = %kind.0, zone = %kind.1, spot = kind.2, count, "renting");
        let (machine_type, zone, spot) = kind.clone();
        self.autoscaler.scale_out_requests.insert(
            name.clone(),
            ScaleOutRequest {
                kind,
                count,
                asked: now,
                again_at: None,
            },
        );
        self.effects.push(Effect::ScaleOut {
            idempotency_key: name,
            machine_type,
            zone,
            spot,
            count,
        });
    }

    pub(crate) fn kind_allowed(spec: &JobSpec, kind: &Kind) -> bool {
        (spec.spot || !kind.2)
            && spec.zone.as_ref().is_none_or(|s| *s == kind.1)
            && spec
                .machine_types
                .as_ref()
                .is_none_or(|r| r.contains(&kind.0))
    }

    /// The cheapest kind for `left` tasks of the job, among those not refused lately; among equals
    /// the zone with least machines.
    pub(crate) fn choose_kind(
        &self,
        now: Instant,
        spec: &JobSpec,
        left: u32,
        zones: &BTreeMap<Zone, usize>,
    ) -> Option<Kind> {
        let request = Resources::of(spec);
        let mut best: Option<((f64, usize), Kind)> = None;
        for machine_type in self.machines.types.values() {
            let n = request.count_in(&self.machines.capacity(&machine_type.name), left);
            if n == 0 {
                continue;
            }
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let kind = (machine_type.name.clone(), zone.clone(), spot);
                    let refused = self.autoscaler.refused.get(&kind);
                    if !Self::kind_allowed(spec, &kind) || refused.is_some_and(|r| r.0 > now) {
                        continue;
                    }
                    let price = if spot {
                        machine_type.spot_price
                    } else {
                        machine_type.price
                    };
                    let here = zones.get(zone).copied().unwrap_or(0);
                    let rank = (price / f64::from(n), here);
                    if best.as_ref().is_none_or(|(b, _)| rank < *b) {
                        best = Some((rank, kind));
                    }
                }
            }
        }
        best.map(|(_, k)| k)
    }

    /// Whether a machine for the job is coming or may yet be rented.
    pub(crate) fn may_rent(&self, now: Instant, spec: &JobSpec) -> bool {
        let request = Resources::of(spec);
        let serves = |kind: &Kind| {
            Self::kind_allowed(spec, kind) && request.fits(&self.machines.capacity(&kind.0))
        };
        self.choose_kind(now, spec, 1, &BTreeMap::new()).is_some()
            || self
                .autoscaler
                .scale_out_requests
                .values()
                .any(|h| serves(&h.kind))
            || self.machines.values().any(|m| {
                m.state == MachineState::Booting
                    && serves(&(m.machine_type.clone(), m.zone.clone(), m.spot))
            })
    }

    pub(crate) fn rented(
        &mut self,
        now: Instant,
        idempotency_key: &str,
        machine_ids: Option<Vec<MachineId>>,
    ) {
        let Some(h) = self.autoscaler.scale_out_requests.remove(idempotency_key) else {
            return;
        };
        let got = machine_ids.as_ref().map_or(0, Vec::len) as u32;
        if got < h.count {
            let wait = self
                .autoscaler
                .refused
                .get(&h.kind)
                .map_or(REFUSED.0, |r| TimeSpan(r.1 .0 * 2).min(REFUSED.1));
            tracing::debug!(
                idempotency_key,
                got,
                asked = h.count,
                "refused for want of capacity"
            );
            self.autoscaler
                .refused
                .insert(h.kind.clone(), (now + wait, wait));
        } else {
            self.autoscaler.refused.remove(&h.kind);
        }
        let (machine_type, zone, spot) = h.kind;
        for id in machine_ids.into_iter().flatten() {
            if !self.machines.terminated.contains(&id) {
                self.enter_machine(now, &id, &machine_type, &zone, spot, h.asked, true);
            }
        }
        self.placement.due = true;
    }

    pub(crate) fn rent_unclear(&mut self, now: Instant, idempotency_key: &str) {
        if let Some(h) = self.autoscaler.scale_out_requests.get_mut(idempotency_key) {
            h.again_at = Some(now + HIRE_AGAIN);
        }
    }
}
