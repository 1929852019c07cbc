//! Ledgers in memory: jobs, machines, starts and what teams use.

use super::records::{DoneSet, IntentRecord};
use crate::ids::{HostId, JobId, Millis, PieceId, Rig, Site, Stamp, Tenure, Tick, Try};
use crate::protocol::users::{JobSpec, Shape};
use crate::protocol::workers::{Cause, PiecePhase};
use std::collections::{BTreeMap, BTreeSet};

/// An amount of machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amount {
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
}

/// Amounts are decimal numbers: sums are compared with a little give.
const GIVE: f64 = 1e-6;

impl Amount {
    /// What one task of a job takes.
    pub fn of(spec: &JobSpec) -> Amount {
        Amount {
            cpus: spec.cpus,
            gpus: spec.gpus,
            ram_gb: spec.ram_gb,
        }
    }
    /// `n` times as much.
    pub fn times(self, n: f64) -> Amount {
        Amount {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            ram_gb: self.ram_gb * n,
        }
    }
    /// Whether it fits into `room`.
    pub fn fits(&self, room: &Amount) -> bool {
        self.cpus <= room.cpus + GIVE
            && self.gpus <= room.gpus + GIVE
            && self.ram_gb <= room.ram_gb + GIVE
    }
    /// How many of it fit into `room`, at most `most`.
    pub fn count_in(&self, room: &Amount, most: u32) -> u32 {
        let one = |need: f64, have: f64| {
            if need <= GIVE {
                f64::from(most)
            } else {
                ((have + GIVE) / need).floor().max(0.0)
            }
        };
        one(self.cpus, room.cpus)
            .min(one(self.gpus, room.gpus))
            .min(one(self.ram_gb, room.ram_gb))
            .min(f64::from(most)) as u32
    }
    /// Adds.
    pub fn add(&mut self, o: &Amount) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.ram_gb += o.ram_gb;
    }
    /// Takes away.
    pub fn sub(&mut self, o: &Amount) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.ram_gb -= o.ram_gb;
    }
}

/// A bound in which 0 means none (as in the settings' teams).
pub fn within(need: f64, bound: f64) -> bool {
    bound <= 0.0 || need <= bound + GIVE
}

/// A job that the leader holds: open, or over but with starts not yet proven gone.
#[derive(Debug)]
pub struct Job {
    pub spec: JobSpec,
    /// Version of the open record: the guard of every write on the job's behalf.
    pub stamp: Stamp,
    /// When it was accepted, on our steady clock.
    pub submitted: Millis,
    /// Cancelled or finished: nothing may start, what runs is stopped.
    pub over: bool,
    /// Done tasks, and those whose being done isn't durable yet.
    pub done: DoneSet,
    pub unsaved: BTreeSet<u32>,
    /// Tasks that are neither done nor anywhere.
    pub pending: BTreeSet<u32>,
    /// Where tasks may be. More than one place only after taking over.
    pub places: BTreeMap<u32, Vec<HostId>>,
    /// No start before this: backs off after failures.
    pub not_before: Millis,
    pub failures: u32,
    /// Machines on which a task of this job ended in an error.
    pub failed_on: BTreeSet<HostId>,
}

impl Job {
    /// A job of which nothing has happened yet.
    pub fn new(spec: JobSpec, stamp: Stamp, submitted: Millis) -> Job {
        let n = spec.pieces;
        Job {
            stamp,
            submitted,
            over: false,
            done: DoneSet::new(n),
            unsaved: BTreeSet::new(),
            pending: (0..n).collect(),
            places: BTreeMap::new(),
            not_before: Millis(i64::MIN / 4),
            failures: 0,
            failed_on: BTreeSet::new(),
            spec,
        }
    }
    /// Whether every task is done.
    pub fn complete(&self) -> bool {
        self.spec.shape != Shape::Service && self.done.count() >= self.spec.pieces
    }
    /// Whether a task still has to run.
    pub fn wants(&self, index: u32) -> bool {
        !self.over && index < self.spec.pieces && !self.done.has(index)
    }
}

/// A launch sent to `/commands`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectCarrier {
    /// None under way.
    None,
    /// Sent, the answer is awaited.
    InFlight(u64),
    /// No answer came: it may execute at any time in this tenure.
    Lost(Tenure),
}

/// What a report said of a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    pub phase: PiecePhase,
    pub cause: Option<Cause>,
    pub stored: bool,
    /// Since when it has been in this phase, as far as we know.
    pub since: Millis,
}

/// A wish that a start end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopWish {
    pub grace_s: f64,
    /// Whether a direct command has carried it.
    pub sent_direct: bool,
}

/// One start (task and try) that may be on a machine.
#[derive(Clone, Debug)]
pub struct Start {
    pub piece: PieceId,
    pub attempt: Try,
    /// The intent is on the state service: only then may it be launched.
    pub durable: bool,
    /// The tick of the check-in whose answer carried the launch, until settled.
    pub checkin_carrier: Option<Tick>,
    pub direct: DirectCarrier,
    /// The tenure in which we launched it. None: never launched by us.
    pub launched_in: Option<Tenure>,
    /// Left by a former leader and not yet resolved by a report that carries our baton.
    pub inherited: bool,
    pub seen: Option<Seen>,
    pub stop: Option<StopWish>,
    /// Placed at.
    pub since: Millis,
    /// First seen running.
    pub running_since: Option<Millis>,
}

impl Start {
    /// A start that is only planned.
    pub fn planned(piece: PieceId, attempt: Try, now: Millis) -> Start {
        Start {
            piece,
            attempt,
            durable: false,
            checkin_carrier: None,
            direct: DirectCarrier::None,
            launched_in: None,
            inherited: false,
            seen: None,
            stop: None,
            since: now,
            running_since: None,
        }
    }
    /// Seen ended, and still listed by the worker: a tombstone, on which a late launch of the same
    /// try has no effect.
    pub fn ended(&self) -> bool {
        self.seen.is_some_and(|s| s.phase == PiecePhase::Ended)
    }
    /// Whether a launch of it can still arrive.
    pub fn in_flight(&self) -> bool {
        self.checkin_carrier.is_some() || self.direct != DirectCarrier::None
    }
    /// Never launched by anybody: may be dropped at will.
    pub fn untouched(&self) -> bool {
        !self.inherited && self.launched_in.is_none() && self.seen.is_none()
    }
}

/// How a machine stands with us.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Rented, its worker hasn't reported yet.
    Booting,
    /// Reports.
    Up,
    /// Being given back; never used again.
    Returning,
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    pub id: HostId,
    pub endpoint: String,
    pub rig: Rig,
    pub site: Site,
    pub spot: bool,
    pub standing: Standing,
    /// When we first knew of it.
    pub since: Millis,
    pub tenure: Tenure,
    pub tick: Tick,
    /// A report with our baton has been seen in this leadership.
    pub confirmed: bool,
    /// When its last message arrived.
    pub heard: Option<Millis>,
    /// When an entitled controller may last have answered it (our takeover, for former leaders).
    pub answered: Millis,
    /// Every start that may be on it, tombstones included.
    pub starts: BTreeMap<(PieceId, Try), Start>,
    /// The intents as last written (None: no record) and the record's version.
    pub saved: BTreeSet<(PieceId, Try)>,
    pub stamp: Stamp,
    /// Since when the record has held starts that are gone.
    pub stale_since: Option<Millis>,
    /// The cloud takes it away at this time.
    pub recall_at: Option<Millis>,
    /// No new work (sick, silent too often, or to be returned).
    pub drain: bool,
    pub drain_since: Option<Millis>,
    /// Emptied for this job, which alone may use it until then.
    pub kept_for: Option<(JobId, Millis)>,
    /// Images that should be in its cache, least recently used first.
    pub images: Vec<(String, f64)>,
    /// Idle since.
    pub idle_since: Option<Millis>,
    /// Jobs whose tasks failed here with no success between.
    pub failed_jobs: BTreeSet<JobId>,
    /// The direct command under way, and no further one before this time.
    pub direct_seq: Option<u64>,
    pub direct_after: Millis,
    /// No new work before this time (refused a start for want of room).
    pub full_until: Millis,
    /// Listed by the cloud as failed; missing from its lists since.
    pub list_failed: bool,
    pub missing_since: Option<Millis>,
}

impl Machine {
    /// A machine of which nothing is known but its name and kind.
    pub fn new(id: HostId, rig: Rig, site: Site, spot: bool, now: Millis) -> Machine {
        Machine {
            id,
            endpoint: String::new(),
            rig,
            site,
            spot,
            standing: Standing::Booting,
            since: now,
            tenure: Tenure(0),
            tick: Tick(0),
            confirmed: false,
            heard: None,
            answered: now,
            starts: BTreeMap::new(),
            saved: BTreeSet::new(),
            stamp: Stamp(0),
            stale_since: None,
            recall_at: None,
            drain: false,
            drain_since: None,
            kept_for: None,
            images: Vec::new(),
            idle_since: None,
            failed_jobs: BTreeSet::new(),
            direct_seq: None,
            direct_after: now,
            full_until: now,
            list_failed: false,
            missing_since: None,
        }
    }

    /// Starts that must stand in the record: all but tombstones.
    pub fn wanted_intents(&self) -> impl Iterator<Item = &Start> {
        self.starts.values().filter(|s| !s.ended())
    }

    /// The record for the given starts. `day_ms` is the time of day at our steady clock's zero.
    pub fn record<'a>(
        &self,
        day_ms: u64,
        starts: impl Iterator<Item = &'a (PieceId, Try)>,
    ) -> IntentRecord {
        let mut tasks: BTreeMap<JobId, Vec<(u32, Try)>> = BTreeMap::new();
        for (piece, attempt) in starts {
            tasks
                .entry(piece.job.clone())
                .or_default()
                .push((piece.index, *attempt));
        }
        IntentRecord {
            rig: self.rig.clone(),
            site: self.site.clone(),
            spot: self.spot,
            rented_ms: day_ms.saturating_add_signed(self.since.0),
            up: self.standing != Standing::Booting,
            images: self.images.clone(),
            tasks,
        }
    }

    /// Takes it out of use.
    pub fn start_drain(&mut self, now: Millis) {
        self.drain = true;
        self.drain_since.get_or_insert(now);
    }

    /// Whether it has kept silent for longer than the given time.
    pub fn silent(&self, now: Millis, bound: Millis) -> bool {
        self.standing == Standing::Up && self.heard.is_none_or(|h| now - h > bound)
    }

    /// Whether the image should be in the cache.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }

    /// Notes the use of an image; the least recently used make room.
    pub fn use_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(i, _)| i != image);
        self.images.push((image.to_string(), gb));
        let mut held: f64 = self.images.iter().map(|(_, g)| g).sum();
        while held > cache_gb && self.images.len() > 1 {
            held -= self.images.remove(0).1;
        }
    }
}
