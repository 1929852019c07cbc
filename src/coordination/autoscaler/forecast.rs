//! The forecast: on which machine each waiting task would start first, those included that are coming
//! or might be rented; and the same for tasks that have not arrived yet, going by the arrivals seen.
//! From it follows what to rent and which idle machines are of no use.
//!
//! Guards against renting for tasks that the machines there are will have taken long before a new one
//! is up (on a day of 58 rentals, 17 machines had never run a task), and against renting too late for
//! a burst, each of whose tasks by itself would not wait longer than for a new machine.

use crate::coordination::attempts::task_attempt::TaskAttempt;
use crate::coordination::autoscaler::MachineOffer;
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::placement::candidates::emptiness;
use crate::coordination::placement::UnplacedTasks;
use crate::coordination::Scheduler;
use crate::ids::{Image, MachineId, Zone};
use crate::protocol::users::{JobSpec, Shape};
use crate::resources::Resources;
use crate::time::Instant;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// What the forecast says.
pub(crate) struct ForecastResult {
    /// Machines to rent.
    pub scale_out: BTreeMap<MachineOffer, u32>,
    /// Idle machines that nothing was given to.
    pub spare: BTreeSet<MachineId>,
}

/// A machine in the forecast: there, coming, or one that might be rented.
struct Bin {
    offer: MachineOffer,
    /// The machine, if it is there and idle and nothing has been given to it.
    idle: Option<MachineId>,
    /// The part of it that is free: fuller ones are filled first.
    empty: f64,
    /// When it can take work at all.
    from_s: f64,
    room: Resources,
    /// Room that tasks give back, and when; soonest first.
    freed: Vec<(f64, Resources)>,
    /// Images that are there, or will be.
    images: Vec<Image>,
    /// Stands by for this class only.
    class: Option<String>,
}

impl Bin {
    /// The soonest time by which so much is free.
    fn soonest(&self, request: &Resources) -> f64 {
        let mut room = self.room;
        if request.fits(&room) {
            return self.from_s;
        }
        for (t, amount) in &self.freed {
            room.add(amount);
            if request.fits(&room) {
                return t.max(self.from_s);
            }
        }
        f64::INFINITY
    }

    /// Takes the room from then on, and gives it back when the task has run.
    fn take(&mut self, at: f64, request: &Resources, run_s: f64) {
        let due = self.freed.partition_point(|(t, _)| *t <= at);
        for (_, amount) in self.freed.drain(..due) {
            self.room.add(&amount);
        }
        self.room.sub(request);
        let end = at + run_s;
        let place = self.freed.partition_point(|(t, _)| *t <= end);
        self.freed.insert(place, (end, *request));
        self.idle = None;
    }
}

/// A time in a heap, soonest first; among like times, the fullest machine.
#[derive(PartialEq)]
struct Soon(f64, f64);
impl Eq for Soon {}
impl PartialOrd for Soon {
    fn partial_cmp(&self, o: &Self) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Soon {
    fn cmp(&self, o: &Self) -> Ordering {
        self.0.total_cmp(&o.0).then(self.1.total_cmp(&o.1))
    }
}

/// Like tasks to be given to machines.
struct Ask<'a> {
    spec: &'a JobSpec,
    n: u32,
    /// Only machines that are free or coming will do, not those that will be free some time.
    ready: bool,
    /// They have not arrived yet, but will then.
    from_s: Option<f64>,
}

/// The forecast under way.
struct ForecastFleet {
    bins: Vec<Bin>,
    /// Machines in each zone.
    zones: BTreeMap<Zone, usize>,
    /// No more bins than this.
    most: usize,
}

/// A booting machine counts as coming for this many boot times.
const COMING_BOOTS: f64 = 2.0;
/// Estimates of what runs are doubted by this much, in favour of a machine whose boot time is known.
const ESTIMATE_MARGIN: f64 = 1.25;
/// A task to come that would wait for less than this rents nothing.
const PATIENCE_S: f64 = 3.0;

impl Scheduler {
    /// Looks ahead with what waits, in queue order, and what is to come; at most so many machines are
    /// rented.
    pub(crate) fn look_ahead(
        &self,
        now: Instant,
        unplaced: &[UnplacedTasks],
        most: usize,
    ) -> ForecastResult {
        let mut zones: BTreeMap<Zone, usize> = BTreeMap::new();
        for m in self.machines.values() {
            *zones.entry(m.zone.clone()).or_default() += 1;
        }
        let bins = self.forecast(now);
        let coming = bins.len();
        let mut fleet = ForecastFleet {
            most: coming + most,
            bins,
            zones,
        };
        for (spec, n) in &self.autoscaler.warm_pool_missing {
            let ask = Ask {
                spec,
                n: *n,
                ready: true,
                from_s: None,
            };
            self.give(now, &mut fleet, &ask);
        }
        self.give_waiting(now, unplaced, &mut fleet);
        self.give_to_come(now, &mut fleet, true);
        fleet.most = 0;
        self.give_to_come(now, &mut fleet, false);
        let mut rent: BTreeMap<MachineOffer, u32> = BTreeMap::new();
        for b in fleet.bins.drain(coming..) {
            *rent.entry(b.offer).or_default() += 1;
        }
        let spare = fleet.bins.into_iter().filter_map(|b| b.idle).collect();
        ForecastResult {
            scale_out: rent,
            spare,
        }
    }

    fn give_waiting(&self, now: Instant, unplaced: &[UnplacedTasks], fleet: &mut ForecastFleet) {
        let mut used = self.team_usage.clone();
        for u in unplaced {
            let Some(job) = self.jobs.get(&u.job) else {
                continue;
            };
            let left = u.count.min(self.headroom(&job.spec, job.team, &used));
            if left == 0 || fleet.bins.len() >= fleet.most {
                continue;
            }
            let mut spec = job.spec.clone();
            if spec.together && job.is_all_or_nothing() && spec.zone.is_none() {
                spec.zone = self.zone_for(now, fleet, &spec);
            }
            let ask = Ask {
                spec: &spec,
                n: left,
                ready: false,
                from_s: None,
            };
            let given = self.give(now, fleet, &ask);
            if let Some(u) = job.team.and_then(|t| used.get_mut(t.0)) {
                u.add(&Resources::of(&job.spec).times(f64::from(given)));
            }
        }
    }

    /// What should arrive in the time that it takes to have another machine with an image.
    fn give_to_come(&self, now: Instant, fleet: &mut ForecastFleet, rent: bool) {
        for d in self.autoscaler.arrivals.values() {
            let jobs_per_s = d.jobs_per_s(now);
            let parts = d.last().len() as f64;
            for (i, like) in d.last().enumerate() {
                let Some(kind) =
                    self.autoscaler
                        .cheapest_offer(&self.view(now), like, u32::MAX, &fleet.zones)
                else {
                    continue;
                };
                let ahead = self.boot_s(&kind.machine_type)
                    + self.fetch_s(&kind.machine_type, like.image_gb);
                let jobs = jobs_per_s * ahead;
                // Machines are rented for what is to be expected, and kept for a little more.
                let jobs = if rent { jobs } else { jobs.sqrt().min(jobs) };
                let mut spec = like.clone();
                spec.shape = Shape::Array;
                spec.together = false;
                let ask = Ask {
                    spec: &spec,
                    n: (jobs * d.tasks_per_job() / parts).round() as u32,
                    ready: false,
                    from_s: Some(ahead * (i as f64 + 0.5) / parts),
                };
                self.give(now, fleet, &ask);
            }
        }
    }

    /// Seconds until a start that doesn't run yet has its image.
    fn rest_of_fetch(&self, now: Instant, m: &Machine, s: &TaskAttempt) -> f64 {
        let Some(spec) = self.jobs.get(&s.task.job).map(|j| &j.spec) else {
            return 0.0;
        };
        if m.has_image(&spec.image) {
            return 0.0;
        }
        (self.fetch_s(&m.machine_type, spec.image_gb) - (now - s.since).secs()).max(0.0)
    }

    /// The machines there are and that are coming, with the room they will have and when.
    fn forecast(&self, now: Instant) -> Vec<Bin> {
        let mut bins: Vec<Bin> = Vec::new();
        for m in self.machines.values() {
            let kind = MachineOffer::of(m);
            let bin = |from_s, room| Bin {
                offer: kind.clone(),
                idle: None,
                empty: 1.0,
                from_s,
                room,
                freed: Vec::new(),
                images: Vec::new(),
                class: None,
            };
            match m.state {
                MachineState::Booting if !m.draining => {
                    let age = (now - m.since).secs();
                    let boot = self.boot_s(&m.machine_type);
                    if age < boot * COMING_BOOTS {
                        let rest = (boot - age).max(boot * 0.1);
                        bins.push(bin(rest, self.machines.capacity(&m.machine_type)));
                    }
                }
                MachineState::Up if self.usable(m, now) => {
                    let mut b = bin(0.0, m.free);
                    b.idle = (m.live_count == 0).then(|| m.id.clone());
                    b.empty = emptiness(&m.free, &self.machines.capacity(&m.machine_type));
                    b.class = self.autoscaler.warm_pool.get(&m.id).cloned();
                    b.images = m.images.iter().map(|(i, _)| i.clone()).collect();
                    for s in m.live_attempts() {
                        let Some(job) = self.jobs.get(&s.task.job) else {
                            continue;
                        };
                        let rest = match s.running_since {
                            Some(t) => self.rest_s(job, (now - t).secs()),
                            None => self.estimate_of(job) + self.rest_of_fetch(now, m, s),
                        };
                        b.freed.push((rest * ESTIMATE_MARGIN, s.request));
                    }
                    b.freed.sort_by(|a, b| a.0.total_cmp(&b.0));
                    bins.push(b);
                }
                _ => {}
            }
        }
        for h in self.autoscaler.requests.iter() {
            let rest = self.boot_s(&h.offer.machine_type) - (now - h.requested_at).secs();
            for _ in 0..h.count {
                bins.push(Bin {
                    offer: h.offer.clone(),
                    idle: None,
                    empty: 1.0,
                    from_s: rest.max(1.0),
                    room: self.machines.capacity(&h.offer.machine_type),
                    freed: Vec::new(),
                    images: Vec::new(),
                    class: None,
                });
            }
        }
        bins
    }

    /// The zone for a gang that must stay together: where most of it could start soon, if the rest
    /// can be rented there; among equals the one with least machines.
    fn zone_for(&self, now: Instant, fleet: &ForecastFleet, spec: &JobSpec) -> Option<Zone> {
        let request = Resources::of(spec);
        let zones: BTreeSet<&Zone> = self
            .machines
            .types
            .values()
            .flat_map(|r| &r.zones)
            .collect();
        let rank = |zone: &Zone| {
            let there = fleet
                .bins
                .iter()
                .filter(|b| b.offer.zone == *zone && b.offer.is_allowed_by(spec))
                .filter(|b| b.class.as_ref().is_none_or(|c| *c == spec.class))
                .map(|b| request.count_in(&b.room, spec.tasks))
                .sum::<u32>()
                .min(spec.tasks);
            let mut here = spec.clone();
            here.zone = Some(zone.clone());
            let rest = there >= spec.tasks
                || self
                    .autoscaler
                    .cheapest_offer(&self.view(now), &here, 1, &fleet.zones)
                    .is_some();
            let machines = fleet.zones.get(zone).copied().unwrap_or(0);
            (rest, there, Reverse(machines))
        };
        zones.into_iter().max_by_key(|s| rank(s)).cloned()
    }

    /// Gives like tasks, one by one, to the machine of the forecast on which each starts first; a new
    /// one joins the forecast if it would be sooner. Says how many were given.
    fn give(&self, now: Instant, fleet: &mut ForecastFleet, ask: &Ask) -> u32 {
        let spec = ask.spec;
        let request = Resources::of(spec);
        // Tasks of a gang run at once: none can follow another on the same room.
        let run = if spec.shape == Shape::Gang && ask.n > 1 {
            f64::INFINITY
        } else {
            self.estimate_s(spec)
        };
        let bulk = self.bulk(spec);
        let fetch = |b: &Bin| {
            if b.images.contains(&spec.image) {
                0.0
            } else {
                self.fetch_s(&b.offer.machine_type, spec.image_gb)
            }
        };
        let when = |b: &Bin| {
            let t = b.soonest(&request).max(ask.from_s.unwrap_or(0.0));
            Soon(t + fetch(b), b.empty)
        };
        let serves = |b: &Bin| {
            // Small tasks will fill the gaps of a machine shared by several: a large task can't
            // count on all of them ending.
            b.offer.is_allowed_by(spec)
                && b.class.as_ref().is_none_or(|c| *c == spec.class)
                && (!ask.ready || request.fits(&b.room))
                && (!bulk || b.freed.len() <= 1)
        };
        let mut soonest: BinaryHeap<Reverse<(Soon, usize)>> = fleet
            .bins
            .iter()
            .enumerate()
            .filter(|(_, b)| serves(b))
            .map(|(i, b)| Reverse((when(b), i)))
            .collect();
        let choose = |left: u32, zones: &BTreeMap<Zone, usize>| {
            self.autoscaler
                .cheapest_offer(&self.view(now), spec, left, zones)
        };
        let mut given = 0;
        let mut new = choose(ask.n, &fleet.zones);
        while given < ask.n {
            if fleet.bins.len() >= fleet.most {
                new = None;
            }
            let best = soonest.pop().map(|Reverse(b)| b);
            let sooner = new.as_ref().map(|kind| {
                let boot = self.boot_s(&kind.machine_type);
                let from = ask.from_s.map_or(0.0, |t| t + PATIENCE_S);
                boot.max(from) + self.fetch_s(&kind.machine_type, spec.image_gb)
            });
            let (at, i) = match (best, sooner) {
                (Some((Soon(t, _), i)), Some(sooner)) if t <= sooner => (t, i),
                (Some((Soon(t, _), i)), None) if t.is_finite() => (t, i),
                (back, Some(t)) => {
                    soonest.extend(back.map(Reverse));
                    let Some(kind) = new.take() else { break };
                    *fleet.zones.entry(kind.zone.clone()).or_default() += 1;
                    new = choose(ask.n - given, &fleet.zones);
                    fleet.bins.push(Bin {
                        room: self.machines.capacity(&kind.machine_type),
                        idle: None,
                        empty: 1.0,
                        from_s: self.boot_s(&kind.machine_type),
                        offer: kind,
                        freed: Vec::new(),
                        images: vec![spec.image.clone()],
                        class: None,
                    });
                    (t, fleet.bins.len() - 1)
                }
                _ => break,
            };
            let b = &mut fleet.bins[i];
            if !b.images.contains(&spec.image) {
                b.images.push(spec.image.clone());
            }
            b.take(at, &request, run);
            if serves(b) {
                soonest.push(Reverse((when(b), i)));
            }
            given += 1;
        }
        given
    }
}
