//! The fleet: what to rent, what to return, which machines are given up.

use super::placement::Unmet;
use super::{Core, Effect};
use crate::bookkeeping::ledger::{Amount, Machine, Standing, Start};
use crate::ids::{HostId, Image, Millis, Rig, Site};
use crate::protocol::cloud::{CloudHost, CloudPhase};
use crate::protocol::users::{JobSpec, Shape};
use crate::transport::budget::Budget;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// What can be rented: type, zone and whether spot.
pub type Kind = (Rig, Site, bool);

/// A rental under way.
#[derive(Debug, Clone)]
struct Hire {
    kind: Kind,
    count: u32,
    asked: Millis,
    /// None: an answer is awaited. Otherwise: asked again then, under the same name.
    again_at: Option<Millis>,
}

/// The fleet's memory.
#[derive(Debug)]
pub struct Fleet {
    hires: BTreeMap<String, Hire>,
    hired: u64,
    /// Refused for want of capacity: not asked again before, and the wait that led there.
    refused: BTreeMap<Kind, (Millis, Millis)>,
    /// Returns that failed: not tried again before.
    return_after: Millis,
    /// Zones taken to be cut off, until then.
    suspected: BTreeMap<Site, Millis>,
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
            return_after: Millis(0),
            suspected: BTreeMap::new(),
            looked: Millis(i64::MIN / 4),
            swept: Millis(i64::MIN / 4),
            logged: Millis(i64::MIN / 4),
            calls: Budget::new(cloud_rps * 0.6, cloud_rps * 0.6),
        }
    }
}

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
/// A booting machine counts as coming for this many boot times, and is given up after that many
/// (plus a fixed time, for types that boot in a moment).
const COMING_BOOTS: f64 = 2.0;
const DEAD_BOOTS: f64 = 4.0;
const DEAD_PLUS_S: f64 = 20.0;
/// A machine being emptied is returned after this even if something on it doesn't end.
const DRAIN_PATIENCE: Millis = Millis(20_000);
/// Estimates of what runs are doubted by this much, in favour of a machine whose boot time is known.
const DOUBT: f64 = 1.25;
/// The forecast is made at most this often, and less often the more machines there are: it costs
/// more than a placement does.
const LOOK_EVERY: Millis = Millis(400);
const LOOK_A_MACHINE: i64 = 1;
/// A line about the machines is logged this often.
const LOG_EVERY: Millis = Millis(10_000);
/// What to return is looked for this often.
const SWEEP_EVERY: Millis = Millis(500);
/// Machines rented in one look: their boot is seen before more are asked for.
const MOST_RENTED: usize = 400;

/// A machine in the forecast: there, coming, or one that might be rented.
struct Bin {
    kind: Kind,
    /// When it can take work at all.
    from_s: f64,
    room: Amount,
    /// Room that tasks give back, and when; soonest first.
    freed: Vec<(f64, Amount)>,
    /// Images that are there, or will be.
    images: Vec<Image>,
    /// Stands by for this class only.
    class: Option<String>,
}

impl Bin {
    /// The soonest time by which so much is free.
    fn soonest(&self, need: &Amount) -> f64 {
        let mut room = self.room;
        if need.fits(&room) {
            return self.from_s;
        }
        for (t, amount) in &self.freed {
            room.add(amount);
            if need.fits(&room) {
                return t.max(self.from_s);
            }
        }
        f64::INFINITY
    }

    /// Takes the room from then on, and gives it back when the task has run.
    fn take(&mut self, at: f64, need: &Amount, run_s: f64) {
        let due = self.freed.partition_point(|(t, _)| *t <= at);
        for (_, amount) in self.freed.drain(..due) {
            self.room.add(&amount);
        }
        self.room.sub(need);
        let end = at + run_s;
        let place = self.freed.partition_point(|(t, _)| *t <= end);
        self.freed.insert(place, (end, *need));
    }
}

/// A time in a heap, soonest first.
#[derive(PartialEq)]
struct Soon(f64);
impl Eq for Soon {}
impl PartialOrd for Soon {
    fn partial_cmp(&self, o: &Self) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Soon {
    fn cmp(&self, o: &Self) -> Ordering {
        self.0.total_cmp(&o.0)
    }
}

impl Core {
    fn boot_s(&self, rig: &Rig) -> f64 {
        self.rigs.get(rig).map_or(30.0, |r| r.boot_s)
    }

    /// What it would take to have such a machine again: to boot it and fetch an image. Keeping it
    /// idle for as long costs at most twice what the best choice in hindsight would have.
    fn renewal_s(&self, m: &Machine) -> f64 {
        let gb = m.images.iter().map(|(_, gb)| *gb).fold(0.0, f64::max);
        self.boot_s(&m.rig) + self.fetch_s(&m.rig, gb)
    }

    /// Takes a machine into the ledger, unless it is there. `vouched` if more than a report speaks
    /// for it.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn enter_machine(
        &mut self,
        now: Millis,
        id: &HostId,
        rig: &Rig,
        site: &Site,
        spot: bool,
        since: Millis,
        vouched: bool,
    ) {
        if !self.machines.contains_key(id) {
            let whole = self.capacity(rig);
            let mut m = Machine::new(id.clone(), rig.clone(), site.clone(), spot, whole, since);
            m.answered = self.began;
            m.vouched = false;
            m.direct_after = now;
            self.machines.insert(id.clone(), m);
        }
        if vouched {
            self.vouch(id);
        }
    }

    /// The machine exists: it is put on record, and may be given work.
    pub(crate) fn vouch(&mut self, id: &HostId) {
        if let Some(m) = self.machines.get_mut(id).filter(|m| !m.vouched) {
            m.vouched = true;
            m.page = Some(self.writer.hosts.enter(id));
            self.dirty = true;
        }
    }

    /// Returns what isn't needed or is given up, rents what is missing.
    pub(crate) fn size_fleet(&mut self, now: Millis, unmet: Vec<Unmet>) {
        self.repeat_hires(now);
        let wanted = self.rent(now, &unmet);
        if now - self.fleet.swept >= SWEEP_EVERY {
            self.fleet.swept = now;
            self.return_machines(now, wanted);
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
            booting += u32::from(m.standing == Standing::Booting);
            spot += u32::from(m.spot);
            drained += u32::from(m.drain || m.recall_at.is_some());
            if m.standing != Standing::Up {
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

    /// Seconds until a start that doesn't run yet has its image.
    fn rest_of_fetch(&self, now: Millis, m: &Machine, s: &Start) -> f64 {
        let Some(spec) = self.jobs.get(&s.piece.job).map(|j| &j.spec) else {
            return 0.0;
        };
        if m.has_image(&spec.image) {
            return 0.0;
        }
        (self.fetch_s(&m.rig, spec.image_gb) - (now - s.since).secs()).max(0.0)
    }

    /// The machines there are and that are coming, with the room they will have and when.
    fn forecast(&self, now: Millis) -> Vec<Bin> {
        let mut bins: Vec<Bin> = Vec::new();
        for m in self.machines.values() {
            let kind = (m.rig.clone(), m.site.clone(), m.spot);
            let bin = |from_s, room| Bin {
                kind: kind.clone(),
                from_s,
                room,
                freed: Vec::new(),
                images: Vec::new(),
                class: None,
            };
            match m.standing {
                Standing::Booting if !m.drain => {
                    let age = (now - m.since).secs();
                    let boot = self.boot_s(&m.rig);
                    if age < boot * COMING_BOOTS {
                        let rest = (boot - age).max(boot * 0.1);
                        bins.push(bin(rest, self.capacity(&m.rig)));
                    }
                }
                Standing::Up if self.usable(m, now) => {
                    let mut b = bin(0.0, m.free);
                    b.class = self.reserved.get(&m.id).cloned();
                    b.images = m.images.iter().map(|(i, _)| i.clone()).collect();
                    for s in m.going() {
                        let Some(job) = self.jobs.get(&s.piece.job) else {
                            continue;
                        };
                        let rest = match s.running_since {
                            Some(t) => self.rest_s(job, (now - t).secs()),
                            None => self.estimate_of(job) + self.rest_of_fetch(now, m, s),
                        };
                        b.freed.push((rest * DOUBT, s.need));
                    }
                    b.freed.sort_by(|a, b| a.0.total_cmp(&b.0));
                    bins.push(b);
                }
                _ => {}
            }
        }
        for h in self.fleet.hires.values() {
            let rest = self.boot_s(&h.kind.0) - (now - h.asked).secs();
            for _ in 0..h.count {
                bins.push(Bin {
                    kind: h.kind.clone(),
                    from_s: rest.max(1.0),
                    room: self.capacity(&h.kind.0),
                    freed: Vec::new(),
                    images: Vec::new(),
                    class: None,
                });
            }
        }
        bins
    }

    /// Rents what makes waiting tasks start sooner: each task is given, in queue order, to the
    /// machine on which it could start first, a new one included. True if something waits.
    ///
    /// Guards against renting for tasks that the machines there are will have taken long before a
    /// new one is up: on a day of 58 rentals, 17 machines had never run a task.
    fn rent(&mut self, now: Millis, unmet: &[Unmet]) -> bool {
        if unmet.is_empty() && self.standby_missing.is_empty() {
            return false;
        }
        let pause = LOOK_EVERY + Millis(LOOK_A_MACHINE * self.machines.len() as i64);
        if now - self.fleet.looked < pause {
            return !unmet.is_empty();
        }
        self.fleet.looked = now;
        let mut zones: BTreeMap<Site, usize> = BTreeMap::new();
        for m in self.machines.values() {
            *zones.entry(m.site.clone()).or_default() += 1;
        }
        let mut bins = self.forecast(now);
        let coming = bins.len();
        let most = coming + MOST_RENTED;
        let mut used = self.used.clone();
        for (spec, n) in &self.standby_missing {
            self.give(now, &mut bins, &mut zones, spec, *n, true, most);
        }
        let mut any = false;
        for u in unmet {
            let Some(job) = self.jobs.get(&u.job) else {
                continue;
            };
            let left = u.count.min(self.headroom(&job.spec, job.team, &used));
            if left == 0 || bins.len() >= most {
                continue;
            }
            any = true;
            let mut spec = job.spec.clone();
            if spec.together && job.stands_together() && spec.site.is_none() {
                spec.site = self.zone_for(now, &bins, &zones, &spec);
            }
            let given = self.give(now, &mut bins, &mut zones, &spec, left, false, most);
            if let Some(u) = job.team.and_then(|t| used.get_mut(t.0)) {
                u.add(&Amount::of(&job.spec).times(f64::from(given)));
            }
        }
        tracing::debug!(
            unmet = unmet.len(),
            tasks = unmet.iter().map(|u| u.count).sum::<u32>(),
            bins = coming,
            new = bins.len() - coming,
            "forecast"
        );
        let mut wanted: BTreeMap<Kind, u32> = BTreeMap::new();
        for b in bins.drain(coming..) {
            *wanted.entry(b.kind).or_default() += 1;
        }
        for (kind, mut count) in wanted {
            while count > 0 && self.fleet.calls.take(now, 1.0) {
                let part = count.min(MOST_PER_HIRE);
                self.hire(now, kind.clone(), part);
                count -= part;
            }
        }
        any
    }

    /// The zone for a gang that must stay together: where most of it could start soon, if the rest
    /// can be rented there; among equals the one with least machines.
    fn zone_for(
        &self,
        now: Millis,
        bins: &[Bin],
        zones: &BTreeMap<Site, usize>,
        spec: &JobSpec,
    ) -> Option<Site> {
        let need = Amount::of(spec);
        let sites: BTreeSet<&Site> = self.rigs.values().flat_map(|r| &r.sites).collect();
        let rank = |site: &Site| {
            let there = bins
                .iter()
                .filter(|b| b.kind.1 == *site && Self::kind_allowed(spec, &b.kind))
                .filter(|b| b.class.as_ref().is_none_or(|c| *c == spec.class))
                .map(|b| need.count_in(&b.room, spec.pieces))
                .sum::<u32>()
                .min(spec.pieces);
            let mut here = spec.clone();
            here.site = Some(site.clone());
            let rest = there >= spec.pieces || self.choose_kind(now, &here, 1, zones).is_some();
            let machines = zones.get(site).copied().unwrap_or(0);
            (rest, there, Reverse(machines))
        };
        sites.into_iter().max_by_key(|s| rank(s)).cloned()
    }

    /// Gives `n` like tasks, one by one, to the machine of the forecast on which each starts first; a
    /// new one joins the forecast if it would be sooner, as long as there are fewer than `most`. Says
    /// how many were given. `ready` asks for a machine that is free or coming, not for one that will
    /// be free some time.
    #[allow(clippy::too_many_arguments)]
    fn give(
        &self,
        now: Millis,
        bins: &mut Vec<Bin>,
        zones: &mut BTreeMap<Site, usize>,
        spec: &JobSpec,
        n: u32,
        ready: bool,
        most: usize,
    ) -> u32 {
        let need = Amount::of(spec);
        // Tasks of a gang run at once: none can follow another on the same room.
        let run = if spec.shape == Shape::Gang && n > 1 {
            f64::INFINITY
        } else {
            self.estimate_s(spec)
        };
        let bulk = self.bulk(spec);
        let when = |b: &Bin| {
            let cached = b.images.contains(&spec.image);
            let wait = if cached {
                0.0
            } else {
                self.fetch_s(&b.kind.0, spec.image_gb)
            };
            b.soonest(&need) + wait
        };
        let serves = |b: &Bin| {
            // Small tasks will fill the gaps of a machine shared by several: a large task can't
            // count on all of them ending.
            Self::kind_allowed(spec, &b.kind)
                && b.class.as_ref().is_none_or(|c| *c == spec.class)
                && (!ready || need.fits(&b.room))
                && (!bulk || b.freed.len() <= 1)
        };
        let mut soonest: BinaryHeap<Reverse<(Soon, usize)>> = bins
            .iter()
            .enumerate()
            .filter(|(_, b)| serves(b))
            .map(|(i, b)| Reverse((Soon(when(b)), i)))
            .collect();
        let choose = |left: u32, zones: &BTreeMap<Site, usize>| {
            self.choose_kind(now, spec, left, zones).map(|kind| {
                let boot = self.boot_s(&kind.0);
                (boot + self.fetch_s(&kind.0, spec.image_gb), boot, kind)
            })
        };
        let mut given = 0;
        let mut new = choose(n, zones);
        while given < n {
            if bins.len() >= most {
                new = None;
            }
            let best = soonest.pop().map(|Reverse((Soon(t), i))| (t, i));
            let (at, i) = match (best, &new) {
                (Some((t, i)), Some((sooner, ..))) if t <= *sooner => (t, i),
                (back, Some((t, boot, kind))) => {
                    let (t, boot, kind) = (*t, *boot, kind.clone());
                    soonest.extend(back.map(|(t, i)| Reverse((Soon(t), i))));
                    *zones.entry(kind.1.clone()).or_default() += 1;
                    new = choose(n - given, zones);
                    bins.push(Bin {
                        room: self.capacity(&kind.0),
                        kind,
                        from_s: boot,
                        freed: Vec::new(),
                        images: vec![spec.image.clone()],
                        class: None,
                    });
                    (t, bins.len() - 1)
                }
                (Some((t, i)), None) if t.is_finite() => (t, i),
                _ => break,
            };
            if !bins[i].images.contains(&spec.image) {
                bins[i].images.push(spec.image.clone());
            }
            bins[i].take(at, &need, run);
            if serves(&bins[i]) {
                soonest.push(Reverse((Soon(when(&bins[i])), i)));
            }
            given += 1;
        }
        given
    }

    fn hire(&mut self, now: Millis, kind: Kind, count: u32) {
        // Unique for ever: batons are, and so is the count within one.
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
    fn choose_kind(
        &self,
        now: Millis,
        spec: &JobSpec,
        left: u32,
        zones: &BTreeMap<Site, usize>,
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
                m.standing == Standing::Booting && serves(&(m.rig.clone(), m.site.clone(), m.spot))
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
        let mut zones: BTreeMap<Site, (f64, f64)> = BTreeMap::new();
        for m in self.machines.values() {
            let lost = m.standing == Standing::Returning && m.heard.is_none_or(|h| now - h > quiet);
            if m.standing == Standing::Up || lost {
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

    fn return_machines(&mut self, now: Millis, wanted: bool) {
        let mut back: BTreeSet<HostId> = self.given_up(now);
        for m in self.machines.values() {
            if m.standing == Standing::Returning {
                continue;
            }
            let busy = m.live > 0;
            let age = now - m.since;
            let dead_boot = m.standing == Standing::Booting
                && age.secs() > self.boot_s(&m.rig) * DEAD_BOOTS + DEAD_PLUS_S;
            let idle_s = self.renewal_s(m) * self.policy.operator.idle_boots;
            let idle = m.standing == Standing::Up
                && !wanted
                && !self.reserved.contains_key(&m.id)
                && m.idle_since.is_some_and(|t| (now - t).secs() > idle_s);
            let stuck = m.drain_since.is_some_and(|t| now - t > DRAIN_PATIENCE);
            if dead_boot || m.list_failed || (idle && !busy) || (m.drain && (!busy || stuck)) {
                back.insert(m.id.clone());
            }
        }
        let again: Vec<HostId> = self
            .machines
            .values()
            .filter(|m| m.standing == Standing::Returning && m.direct_after <= now)
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
                m.standing = Standing::Returning;
                self.indexes.spacious.remove(h);
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
            if listed.contains(&m.id) || m.standing == Standing::Returning {
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
