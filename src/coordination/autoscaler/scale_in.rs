//! Returning machines: those given up, and those that are idle for too long.

use crate::coordination::machines::machine::MachineState;
use crate::coordination::{Effect, Scheduler};
use crate::ids::{MachineId, Zone};
use crate::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet};

/// The most names in one return, by the protocol.
const MOST_PER_RETURN: usize = 100;
/// A booting machine is given up after this many boot times (plus a fixed time, for types that boot
/// in a moment).
const DEAD_BOOTS: f64 = 4.0;
const DEAD_PLUS_S: f64 = 20.0;
/// An idle machine is kept for so many times what it would take to have it again, if the forecast has
/// no use for it and if it has.
const SPARE: f64 = 0.6;
const WANTED: f64 = 3.0;
/// The same when nothing waits and nothing is to be expected.
const NO_USE: f64 = 0.1;

/// A draining machine is given back after this even if something on it does not end.
pub(super) const DRAIN_TIMEOUT: TimeSpan = TimeSpan(20_000);

impl Scheduler {
    /// Silent machines that are returned rather than waited for.
    ///
    /// Guards against giving a whole zone away when it is the network that is silent: on a day with
    /// a cut of 20 s between two zones every machine beyond it was returned, one by one as each
    /// crossed the bound, though their leases would have outlasted it. So what counts is how many
    /// of a zone have fallen quiet by now, not how many have been silent for long enough.
    ///
    /// When a cut ends, machines report one after the other: the zone stays suspected for as long as
    /// the last of them may take.
    pub(crate) fn given_up(&mut self, now: Instant) -> BTreeSet<MachineId> {
        let silence = self.policy.silence();
        if self.leadership.age(now) <= silence {
            return BTreeSet::new();
        }
        let quiet = TimeSpan::from_secs(self.policy.facts.workers.report_s * 2.0);
        let mut zones: BTreeMap<Zone, (f64, f64)> = BTreeMap::new();
        for m in self.machines.values() {
            let lost = m.state == MachineState::Returning
                && m.last_message_at.is_none_or(|h| now - h > quiet);
            if m.state == MachineState::Up || lost {
                let z = zones.entry(m.zone.clone()).or_default();
                z.0 += 1.0;
                z.1 += f64::from(u8::from(lost || m.silent(now, quiet)));
            }
        }
        let share = self.policy.operator.give_up_share;
        for (zone, (up, lost)) in zones {
            if lost > (up * share).max(2.0) {
                self.autoscaler.suspected_zones.insert(zone, now + quiet);
            }
        }
        self.autoscaler
            .suspected_zones
            .retain(|_, until| now < *until);
        self.machines
            .values()
            .filter(|m| m.silent(now, silence))
            .filter(|m| !self.autoscaler.suspected_zones.contains_key(&m.zone))
            .map(|m| m.id.clone())
            .collect()
    }

    /// Whether any job waits that idle machines may be kept for.
    ///
    /// Guards against idle machines that are kept for jobs submitted with a mistake: on the recorded day
    /// a974 some 120 of them stayed for 100 s after the last arrival, until two such jobs were cancelled.
    pub(crate) fn work_waits(&self) -> bool {
        let waiting = self.jobs.index.pending.iter();
        let mut jobs = waiting.filter_map(|id| self.jobs.get(id));
        jobs.any(|job| !job.fails_everywhere())
    }

    pub(crate) fn return_machines(&mut self, now: Instant) {
        let mut back: BTreeSet<MachineId> = self.given_up(now);
        let ebbed = !self.work_waits() && self.ebbed(now);
        for m in self.machines.values() {
            if m.state == MachineState::Returning {
                continue;
            }
            let busy = m.live_count > 0;
            let age = now - m.since;
            let dead_boot = m.state == MachineState::Booting
                && age.secs() > self.boot_s(&m.machine_type) * DEAD_BOOTS + DEAD_PLUS_S;
            // Idle and spare: returned soon. Otherwise kept for as long as it may be of use.
            let spare = self.autoscaler.spare_machines.contains(&m.id);
            let keep_s = self.renewal_s(m)
                * self.policy.operator.idle_boots
                * match (spare, ebbed) {
                    (_, true) => NO_USE,
                    (true, _) => SPARE,
                    (false, _) => WANTED,
                };
            let idle = m.state == MachineState::Up
                && !self.autoscaler.warm_pool.contains_key(&m.id)
                && m.idle_since.is_some_and(|t| (now - t).secs() > keep_s);
            let stuck = m.draining_since.is_some_and(|t| now - t > DRAIN_TIMEOUT);
            if dead_boot
                || m.listed_as_failed
                || (idle && !busy)
                || (m.draining && (!busy || stuck))
            {
                back.insert(m.id.clone());
            }
        }
        let again: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.state == MachineState::Returning && m.push_not_before <= now)
            .map(|m| m.id.clone())
            .collect();
        back.extend(again);
        if back.is_empty()
            || now < self.autoscaler.scale_in_not_before
            || !self.autoscaler.api_calls.take(now, 1.0)
        {
            return;
        }
        let machine_ids: Vec<MachineId> = back.into_iter().take(MOST_PER_RETURN).collect();
        for h in &machine_ids {
            if let Some(m) = self.machines.get_mut(h) {
                tracing::debug!(machine = %h, draining = m.draining, failed = m.listed_as_failed, last_message_at = ?m.last_message_at, "returning");
                m.state = MachineState::Returning;
                // Not asked again while the answer is awaited.
                m.push_not_before = now + TimeSpan(10_000);
            }
            self.machines.reindex(h);
        }
        self.effects.push(Effect::ScaleIn { machine_ids });
    }

    pub(crate) fn machines_terminated(&mut self, now: Instant, machine_ids: &[MachineId]) {
        for h in machine_ids {
            // Proof 4: the cloud's 200 to returning the machine.
            self.empty_machine(now, h);
            self.machines.terminated.insert(h.clone());
            if let Some(m) = self.machines.remove(h) {
                if m.push_in_flight.is_some() {
                    self.outbox.pushes_in_flight = self.outbox.pushes_in_flight.saturating_sub(1);
                }
                if let Some(page) = m.page {
                    self.writer.machine_pages.leave(now, page, h);
                }
            }
            self.machines.reindex(h);
        }
        self.placement.due = true;
    }

    pub(crate) fn scale_in_failed(&mut self, now: Instant, machine_ids: &[MachineId]) {
        self.autoscaler.scale_in_not_before = now + TimeSpan(1_000);
        for h in machine_ids {
            if let Some(m) = self.machines.get_mut(h) {
                m.push_not_before = now + TimeSpan(2_000);
            }
        }
    }
}
