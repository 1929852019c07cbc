//! The fleet: what to rent, what to return, which machines are given up.

use super::placement::Unmet;
use super::{Core, Effect};
use crate::ids::{HostId, MachineType, Millis, Zone};
use crate::protocol::cloud::{CloudHost, CloudPhase};
use crate::protocol::users::JobSpec;
use crate::storage::ledger::{Amount, Machine, MachineState};
use crate::transport::budget::Budget;
use std::collections::{BTreeMap, BTreeSet};

/// What can be rented: type, zone and whether spot.
pub type Kind = (MachineType, Zone, bool);

/// A rental under way.
#[derive(Debug, Clone)]
pub(super) struct Hire {
    pub(super) kind: Kind,
    pub(super) count: u32,
    pub(super) asked: Millis,
    /// None: an answer is awaited. Otherwise: asked again then, under the same name.
    again_at: Option<Millis>,
}

/// The fleet's memory.
#[derive(Debug)]
pub struct Fleet {
    pub(super) hires: BTreeMap<String, Hire>,
    hired: u64,
    /// Refused for want of capacity: not asked again before, and the wait that led there.
    refused: BTreeMap<Kind, (Millis, Millis)>,
    /// Idle machines that the last forecast had no use for.
    spare: BTreeSet<HostId>,
    /// Returns that failed: not tried again before.
    return_after: Millis,
    /// Zones taken to be cut off, until then.
    suspected: BTreeMap<Zone, Millis>,
    /// When the forecast was last made, and when it was last looked what to return.
    looked: Millis,
    swept: Millis,
    logged: Millis,
    calls: Budget,
}

impl Fleet {
    /// An empty memory; calls are kept within a part of the cloud's rate.
    pub fn new(cloud_rps: f64) -> Fleet {
        Fleet {
            hires: BTreeMap::new(),
            hired: 0,
            refused: BTreeMap::new(),
            spare: BTreeSet::new(),
            return_after: Millis(0),
            suspected: BTreeMap::new(),
            looked: Millis(i64::MIN / 4),
            swept: Millis(i64::MIN / 4),
            logged: Millis(i64::MIN / 4),
            // The list takes the rest; the cloud allows bursts of two seconds' worth.
            calls: Budget::new(cloud_rps * CALLS, cloud_rps * 2.0 * CALLS),
        }
    }
}

/// The part of the cloud's rate that rentals and returns use.
const CALLS: f64 = 0.7;
/// The most one rental may ask for, by the protocol.
const MOST_PER_HIRE: u32 = 50;
/// The most names in one return, by the protocol.
const MOST_PER_RETURN: usize = 100;
/// Waits after a refusal.
const REFUSED: (Millis, Millis) = (Millis(8_000), Millis(40_000));
/// An unclear rental is asked again after this, and given up after that: its machines, if any,
/// show up in the list and in their workers' reports.
const HIRE_AGAIN: Millis = Millis(1_500);
const HIRE_GIVEN_UP: Millis = Millis(90_000);
/// A booting machine is given up after this many boot times (plus a fixed time, for types that boot
/// in a moment).
const DEAD_BOOTS: f64 = 4.0;
const DEAD_PLUS_S: f64 = 20.0;
/// A machine being emptied is returned after this even if something on it doesn't end.
const DRAIN_PATIENCE: Millis = Millis(20_000);
/// An idle machine is kept for so many times what it would take to have it again, if the forecast has
/// no use for it and if it has.
const SPARE: f64 = 0.6;
const WANTED: f64 = 3.0;
/// The same when nothing waits and nothing is to be expected.
const NO_USE: f64 = 0.1;
/// The forecast is made at most this often, and less often the more machines there are: it costs
/// more than a placement does.
const LOOK_EVERY: Millis = Millis(400);
const LOOK_A_MACHINE: i64 = 1;
/// A line about the machines is logged this often.
const LOG_EVERY: Millis = Millis(10_000);
/// What to return is looked for this often.
const SWEEP_EVERY: Millis = Millis(500);
/// A new leader rents nothing while more than this part of the machines has yet to report to it.
const STILL_SILENT: f64 = 0.1;
/// Machines rented in one look: what can be asked for in so many seconds at the cloud's rate.
const LOOK_S: f64 = 2.0;

impl Core {
    pub(crate) fn boot_s(&self, rig: &MachineType) -> f64 {
        self.rigs.get(rig).map_or(30.0, |r| r.boot_s)
    }

    /// What it would take to have such a machine again: to boot it and fetch an image. Keeping it
    /// idle for as long costs at most twice what the best choice in hindsight would have.
    fn renewal_s(&self, m: &Machine) -> f64 {
        let gb = m.images.iter().map(|(_, gb)| *gb).fold(0.0, f64::max);
        self.boot_s(&m.rig) + self.fetch_s(&m.rig, gb)
    }

    /// Takes a machine into the ledger, unless it is there. `verified` if more than a report speaks
    /// for it.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn enter_machine(
        &mut self,
        now: Millis,
        id: &HostId,
        rig: &MachineType,
        site: &Zone,
        spot: bool,
        since: Millis,
        verified: bool,
    ) {
        if !self.machines.contains_key(id) {
            let whole = self.capacity(rig);
            let mut m = Machine::new(id.clone(), rig.clone(), site.clone(), spot, whole, since);
            m.answered = self.began;
            m.verified = false;
            m.direct_after = now;
            self.machines.insert(id.clone(), m);
        }
        if verified {
            self.verify_machine(id);
        }
    }

    /// The machine exists: it is put on record, and may be given work.
    pub(crate) fn verify_machine(&mut self, id: &HostId) {
        if let Some(m) = self.machines.get_mut(id).filter(|m| !m.verified) {
            m.verified = true;
            m.page = Some(self.writer.hosts.enter(id));
            self.dirty = true;
        }
    }

    /// Returns what isn't needed or is given up, rents what is missing.
    pub(crate) fn size_fleet(&mut self, now: Millis, unmet: Vec<Unmet>) {
        self.repeat_hires(now);
        self.rent(now, &unmet);
        if now - self.fleet.swept >= SWEEP_EVERY {
            self.fleet.swept = now;
            self.return_machines(now);
        }
    }

    /// A line about what the machines are doing, every so often: where the money goes.
    pub(crate) fn log_state(&mut self, now: Millis) {
        if now - self.fleet.logged < LOG_EVERY {
            return;
        }
        self.fleet.logged = now;
        let (mut booting, mut up, mut idle, mut spot, mut drained) = (0, 0, 0, 0, 0);
        let mut gpus = [0.0; 4];
        for m in self.machines.values() {
            booting += u32::from(m.state == MachineState::Booting);
            spot += u32::from(m.spot);
            drained += u32::from(m.drain || m.recall_at.is_some());
            if m.state != MachineState::Up {
                continue;
            }
            up += 1;
            idle += u32::from(m.live == 0);
            gpus[0] += self.capacity(&m.rig).gpus;
            gpus[1] += m.free.gpus.max(0.0);
            for s in m.going() {
                let runs = s.running_since.is_some();
                gpus[if runs { 2 } else { 3 }] += s.need.gpus;
            }
        }
        let waiting: usize = self
            .indexes
            .waiting
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .map(|j| j.pending.len())
            .sum();
        tracing::info!(
            up,
            booting,
            idle,
            spot,
            drained,
            reserved = self.reserved.len(),
            hires = self.fleet.hires.len(),
            gpus = gpus[0],
            free = gpus[1],
            running = gpus[2],
            starting = gpus[3],
            jobs = self.jobs.len(),
            waiting,
            pages = self.writer.intents.sizes().0,
            unwritten = self.writer.intents.sizes().1,
            "state"
        );
        self.log_waiting(now);
    }

    fn repeat_hires(&mut self, now: Millis) {
        self.fleet
            .hires
            .retain(|_, h| now - h.asked < HIRE_GIVEN_UP);
        let due: Vec<String> = self
            .fleet
            .hires
            .iter()
            .filter(|(_, h)| h.again_at.is_some_and(|t| t <= now))
            .map(|(n, _)| n.clone())
            .collect();
        for name in due {
            if !self.fleet.calls.take(now, 1.0) {
                return;
            }
            if let Some(h) = self.fleet.hires.get_mut(&name) {
                h.again_at = None;
                let (rig, site, spot) = h.kind.clone();
                self.effects.push(Effect::Rent {
                    hire: name,
                    rig,
                    site,
                    spot,
                    count: h.count,
                });
            }
        }
    }

    /// Rents what makes waiting tasks start sooner, as the forecast says.
    fn rent(&mut self, now: Millis, unmet: &[Unmet]) {
        let pause = LOOK_EVERY + Millis(LOOK_A_MACHINE * self.machines.len() as i64);
        if now - self.fleet.looked < pause || self.awaits_reports(now) {
            return;
        }
        self.fleet.looked = now;
        let calls = (self.policy.facts.cloud.rps * CALLS * LOOK_S).max(1.0);
        let seen = self.look_ahead(now, unmet, calls as usize * MOST_PER_HIRE as usize);
        tracing::debug!(
            unmet = unmet.len(),
            tasks = unmet.iter().map(|u| u.count).sum::<u32>(),
            new = seen.rent.values().sum::<u32>(),
            spare = seen.spare.len(),
            "forecast"
        );
        self.fleet.spare = seen.spare;
        for (kind, mut count) in seen.rent {
            while count > 0 && self.fleet.calls.take(now, 1.0) {
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
    fn awaits_reports(&self, now: Millis) -> bool {
        if now - self.began > self.policy.first_reports() {
            return false;
        }
        let up = self
            .machines
            .values()
            .filter(|m| m.state == MachineState::Up);
        let (silent, all) = up.fold((0, 0), |(silent, all), m| {
            (silent + usize::from(m.reported.is_none()), all + 1)
        });
        silent as f64 > all as f64 * STILL_SILENT
    }

    fn hire(&mut self, now: Millis, kind: Kind, count: u32) {
        // Unique for ever: tokens are, and so is the count within one.
        self.fleet.hired += 1;
        let name = format!("r-{}-{}", self.lead.first, self.fleet.hired);
        tracing::debug!(hire = %name, rig = %kind.0, site = %kind.1, spot = kind.2, count, "renting");
        let (rig, site, spot) = kind.clone();
        self.fleet.hires.insert(
            name.clone(),
            Hire {
                kind,
                count,
                asked: now,
                again_at: None,
            },
        );
        self.effects.push(Effect::Rent {
            hire: name,
            rig,
            site,
            spot,
            count,
        });
    }

    pub(crate) fn kind_allowed(spec: &JobSpec, kind: &Kind) -> bool {
        (spec.spot || !kind.2)
            && spec.site.as_ref().is_none_or(|s| *s == kind.1)
            && spec.rigs.as_ref().is_none_or(|r| r.contains(&kind.0))
    }

    /// The cheapest kind for `left` tasks of the job, among those not refused lately; among equals
    /// the zone with least machines.
    pub(super) fn choose_kind(
        &self,
        now: Millis,
        spec: &JobSpec,
        left: u32,
        zones: &BTreeMap<Zone, usize>,
    ) -> Option<Kind> {
        let need = Amount::of(spec);
        let mut best: Option<((f64, usize), Kind)> = None;
        for rig in self.rigs.values() {
            let n = need.count_in(&self.capacity(&rig.name), left);
            if n == 0 {
                continue;
            }
            for site in &rig.sites {
                for spot in [true, false] {
                    let kind = (rig.name.clone(), site.clone(), spot);
                    let refused = self.fleet.refused.get(&kind);
                    if !Self::kind_allowed(spec, &kind) || refused.is_some_and(|r| r.0 > now) {
                        continue;
                    }
                    let price = if spot { rig.spot_price } else { rig.price };
                    let here = zones.get(site).copied().unwrap_or(0);
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
    pub(crate) fn may_rent(&self, now: Millis, spec: &JobSpec) -> bool {
        let need = Amount::of(spec);
        let serves =
            |kind: &Kind| Self::kind_allowed(spec, kind) && need.fits(&self.capacity(&kind.0));
        self.choose_kind(now, spec, 1, &BTreeMap::new()).is_some()
            || self.fleet.hires.values().any(|h| serves(&h.kind))
            || self.machines.values().any(|m| {
                m.state == MachineState::Booting && serves(&(m.rig.clone(), m.site.clone(), m.spot))
            })
    }

    /// Silent machines that are returned rather than waited for.
    ///
    /// Guards against giving a whole zone away when it is the network that is silent: on a day with
    /// a cut of 20 s between two zones every machine beyond it was returned, one by one as each
    /// crossed the bound, though their leases would have outlasted it. So what counts is how many
    /// of a zone have fallen quiet by now, not how many have been silent for long enough.
    ///
    /// When a cut ends, machines report one after the other: the zone stays suspected for as long as
    /// the last of them may take.
    fn given_up(&mut self, now: Millis) -> BTreeSet<HostId> {
        let silence = self.policy.silence();
        if now - self.began <= silence {
            return BTreeSet::new();
        }
        let quiet = Millis::from_secs(self.policy.facts.workers.report_s * 2.0);
        let mut zones: BTreeMap<Zone, (f64, f64)> = BTreeMap::new();
        for m in self.machines.values() {
            let lost =
                m.state == MachineState::Returning && m.heard.is_none_or(|h| now - h > quiet);
            if m.state == MachineState::Up || lost {
                let z = zones.entry(m.site.clone()).or_default();
                z.0 += 1.0;
                z.1 += f64::from(u8::from(lost || m.silent(now, quiet)));
            }
        }
        let share = self.policy.operator.give_up_share;
        for (site, (up, lost)) in zones {
            if lost > (up * share).max(2.0) {
                self.fleet.suspected.insert(site, now + quiet);
            }
        }
        self.fleet.suspected.retain(|_, until| now < *until);
        self.machines
            .values()
            .filter(|m| m.silent(now, silence))
            .filter(|m| !self.fleet.suspected.contains_key(&m.site))
            .map(|m| m.id.clone())
            .collect()
    }

    /// Whether any job waits that idle machines may be kept for.
    ///
    /// Guards against idle machines that are kept for jobs submitted with a mistake: on the recorded day
    /// a974 some 120 of them stayed for 100 s after the last arrival, until two such jobs were cancelled.
    fn work_waits(&self) -> bool {
        let waiting = self.indexes.waiting.iter();
        let mut jobs = waiting.filter_map(|id| self.jobs.get(id));
        jobs.any(|job| !job.mistaken())
    }

    fn return_machines(&mut self, now: Millis) {
        let mut back: BTreeSet<HostId> = self.given_up(now);
        let ebbed = !self.work_waits() && self.ebbed(now);
        for m in self.machines.values() {
            if m.state == MachineState::Returning {
                continue;
            }
            let busy = m.live > 0;
            let age = now - m.since;
            let dead_boot = m.state == MachineState::Booting
                && age.secs() > self.boot_s(&m.rig) * DEAD_BOOTS + DEAD_PLUS_S;
            // Idle and spare: returned soon. Otherwise kept for as long as it may be of use.
            let spare = self.fleet.spare.contains(&m.id);
            let keep_s = self.renewal_s(m)
                * self.policy.operator.idle_boots
                * match (spare, ebbed) {
                    (_, true) => NO_USE,
                    (true, _) => SPARE,
                    (false, _) => WANTED,
                };
            let idle = m.state == MachineState::Up
                && !self.reserved.contains_key(&m.id)
                && m.idle_since.is_some_and(|t| (now - t).secs() > keep_s);
            let stuck = m.drain_since.is_some_and(|t| now - t > DRAIN_PATIENCE);
            if dead_boot || m.list_failed || (idle && !busy) || (m.drain && (!busy || stuck)) {
                back.insert(m.id.clone());
            }
        }
        let again: Vec<HostId> = self
            .machines
            .values()
            .filter(|m| m.state == MachineState::Returning && m.direct_after <= now)
            .map(|m| m.id.clone())
            .collect();
        back.extend(again);
        if back.is_empty() || now < self.fleet.return_after || !self.fleet.calls.take(now, 1.0) {
            return;
        }
        let hosts: Vec<HostId> = back.into_iter().take(MOST_PER_RETURN).collect();
        for h in &hosts {
            if let Some(m) = self.machines.get_mut(h) {
                tracing::debug!(host = %h, drain = m.drain, failed = m.list_failed, heard = ?m.heard, "returning");
                m.state = MachineState::Returning;
                self.indexes.spacious.remove(h);
                self.indexes.cpus_left.remove(h);
                // Not asked again while the answer is awaited.
                m.direct_after = now + Millis(10_000);
            }
        }
        self.effects.push(Effect::Return { hosts });
    }

    pub(crate) fn rented(&mut self, now: Millis, hire: &str, hosts: Option<Vec<HostId>>) {
        let Some(h) = self.fleet.hires.remove(hire) else {
            return;
        };
        let got = hosts.as_ref().map_or(0, Vec::len) as u32;
        if got < h.count {
            let wait = self
                .fleet
                .refused
                .get(&h.kind)
                .map_or(REFUSED.0, |r| Millis(r.1 .0 * 2).min(REFUSED.1));
            tracing::debug!(hire, got, asked = h.count, "refused for want of capacity");
            self.fleet
                .refused
                .insert(h.kind.clone(), (now + wait, wait));
        } else {
            self.fleet.refused.remove(&h.kind);
        }
        let (rig, site, spot) = h.kind;
        for id in hosts.into_iter().flatten() {
            if !self.gone.contains(&id) {
                self.enter_machine(now, &id, &rig, &site, spot, h.asked, true);
            }
        }
        self.dirty = true;
    }

    pub(crate) fn rent_unclear(&mut self, now: Millis, hire: &str) {
        if let Some(h) = self.fleet.hires.get_mut(hire) {
            h.again_at = Some(now + HIRE_AGAIN);
        }
    }

    /// The cloud's list. It lags, so it never proves a machine absent; a machine that was listed
    /// and no longer is, is asked to be returned, and the answer to that is the proof.
    pub(crate) fn hosts_listed(&mut self, now: Millis, asked: Millis, hosts: Vec<CloudHost>) {
        let lag = Millis::from_secs(self.policy.facts.cloud.list_lag_s * 2.0 + 2.0);
        let listed: BTreeSet<HostId> = hosts.iter().map(|h| h.id.clone()).collect();
        for h in hosts {
            if self.gone.contains(&h.id) {
                continue;
            }
            if !self.machines.contains_key(&h.id) {
                tracing::info!(host = %h.id, rig = %h.rig, "listed, but not known: taken on");
            }
            let since = asked - Millis::from_secs(h.age_s);
            self.enter_machine(now, &h.id, &h.rig, &h.site, h.spot, since, true);
            let Some(m) = self.machines.get_mut(&h.id) else {
                continue;
            };
            if m.endpoint.is_empty() {
                m.endpoint = h.endpoint;
            }
            m.list_failed = h.phase == CloudPhase::Failed;
            m.missing_since = None;
        }
        for m in self.machines.values_mut() {
            if listed.contains(&m.id) || m.state == MachineState::Returning {
                continue;
            }
            let known_long = now - m.since.max(self.began) > lag;
            let missing = *m.missing_since.get_or_insert(now);
            let quiet = m.heard.is_none_or(|h| now - h > lag);
            if known_long && quiet && now - missing > lag {
                tracing::debug!(host = %m.id, "no longer listed and not heard of");
                m.drain = true;
                m.drain_since = Some(m.drain_since.unwrap_or(now - DRAIN_PATIENCE));
            }
        }
        self.dirty = true;
    }

    pub(crate) fn returned(&mut self, now: Millis, hosts: &[HostId]) {
        for h in hosts {
            // Proof 4: the cloud's 200 to returning the machine.
            self.empty_machine(now, h);
            self.gone.insert(h.clone());
            if let Some(m) = self.machines.remove(h) {
                if m.direct_seq.is_some() {
                    self.directs = self.directs.saturating_sub(1);
                }
                if let Some(page) = m.page {
                    self.writer.hosts.leave(now, page, h);
                }
            }
            self.index_machine(h);
        }
        self.dirty = true;
    }

    pub(crate) fn return_failed(&mut self, now: Millis, hosts: &[HostId]) {
        self.fleet.return_after = now + Millis(1_000);
        for h in hosts {
            if let Some(m) = self.machines.get_mut(h) {
                m.direct_after = now + Millis(2_000);
            }
        }
    }
}
