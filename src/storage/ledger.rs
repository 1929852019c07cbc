//! Ledgers in memory: jobs, machines, starts and what teams use.

use super::records::DoneSet;
use crate::ids::{
    Attempt, HostId, Image, JobId, MachineType, Millis, PageNo, Session, Stamp, TaskId, TeamNo,
    Tick, Token, Zone,
};
use crate::protocol::users::{JobSpec, Shape};
use crate::protocol::workers::{Cause, TaskPhase};
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
    /// Its team, if the settings know it.
    pub team: Option<TeamNo>,
    /// Version of the open record: the guard of every write on the job's behalf.
    pub stamp: Stamp,
    /// When it was accepted, on our steady clock: deadlines count from here.
    pub submitted: Millis,
    /// Whether all jobs that it needs are done. Until then it counts for nothing but its deadline.
    pub released: bool,
    /// When it could first have run: when it was accepted, or the last job that it needs was done. All
    /// times but its deadline count from here.
    pub ready: Millis,
    /// A job that it needs, directly or through others, is cancelled: it is to be cancelled too.
    pub ancestor_cancelled: bool,
    /// Pages on the state service that name producers of it.
    pub edge_pages: u32,
    /// Cancelled or finished: nothing may start, what runs is stopped.
    pub over: bool,
    /// Done tasks, and those whose being done isn't durable yet.
    pub done: DoneSet,
    pub unsaved: BTreeSet<u32>,
    /// Tasks that are neither done nor anywhere.
    pub pending: BTreeSet<u32>,
    /// Where tasks may be. More than one place only after taking over.
    pub places: BTreeMap<u32, Vec<HostId>>,
    /// Starts of it in the ledger, and how many were seen running and have not ended since: kept in
    /// step by `starts.rs`.
    pub listed: u32,
    pub running: u32,
    /// How long its tasks that are done ran, in all and at most, and how many that were.
    pub ran_s: f64,
    pub ran_most_s: f64,
    pub ran: u32,
    /// A task of it has run, or may have under a former leader.
    pub begun: bool,
    /// A gang of whose last try a member gave up waiting for the others.
    pub incomplete: bool,
    /// Since when it has left room to jobs whose image is at hand.
    pub waits_since: Option<Millis>,
    /// No start before this: backs off after failures.
    pub not_before: Millis,
    pub failures: u32,
    /// Machines on which a task of this job ended in an error.
    pub failed_on: BTreeSet<HostId>,
}

impl Job {
    /// A job of which nothing has happened yet.
    pub fn new(spec: JobSpec, team: Option<TeamNo>, stamp: Stamp, submitted: Millis) -> Job {
        let n = spec.tasks;
        Job {
            team,
            stamp,
            submitted,
            released: false,
            ready: submitted,
            ancestor_cancelled: false,
            edge_pages: 0,
            over: false,
            done: DoneSet::new(n),
            unsaved: BTreeSet::new(),
            pending: (0..n).collect(),
            places: BTreeMap::new(),
            listed: 0,
            running: 0,
            ran_s: 0.0,
            ran_most_s: 0.0,
            ran: 0,
            begun: false,
            incomplete: false,
            waits_since: None,
            not_before: Millis(i64::MIN / 4),
            failures: 0,
            failed_on: BTreeSet::new(),
            spec,
        }
    }
    /// Whether every task is done.
    pub fn complete(&self) -> bool {
        self.spec.shape != Shape::Service && self.done.count() >= self.spec.tasks
    }
    /// Whether it has failed on several machines and never succeeded: most likely it fails on all.
    pub fn mistaken(&self) -> bool {
        self.failed_on.len() > 2 && self.done.count() == 0
    }
    /// Whether a task still has to run.
    pub fn wants(&self, index: u32) -> bool {
        !self.over && index < self.spec.tasks && !self.done.has(index)
    }
    /// What its unfinished tasks take together.
    pub fn left(&self) -> Amount {
        let left = self.spec.tasks - self.done.count().min(self.spec.tasks);
        Amount::of(&self.spec).times(f64::from(left))
    }
    /// A gang of more than one task of which none has completed: all of it runs, or nothing.
    pub fn stands_together(&self) -> bool {
        self.spec.shape == Shape::Gang && self.spec.tasks > 1 && self.done.count() == 0
    }
}

/// A launch sent to `/commands`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectCarrier {
    /// None under way.
    None,
    /// Sent, the answer is awaited.
    InFlight(u64),
    /// No answer came: it may execute at any time in this session, until the worker has seen a higher
    /// token than this.
    Lost(Session, Token),
}

/// What a report said of a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    pub phase: TaskPhase,
    pub cause: Option<Cause>,
    pub stored: bool,
    /// Since when it has been in this phase, as far as we know.
    pub since: Millis,
    /// The message that said so.
    pub at: (Session, Tick),
}

/// A wish that a start end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopRequest {
    pub grace_s: f64,
    /// Whether a direct command has carried it.
    pub sent_direct: bool,
}

/// One start (task and try) that may be on a machine.
#[derive(Clone, Debug)]
pub struct Start {
    pub task: TaskId,
    pub attempt: Attempt,
    /// What it takes of its machine and of its team, and the image it needs: kept here so that
    /// sums need no look at the job.
    pub need: Amount,
    pub team: Option<TeamNo>,
    pub image: Option<Image>,
    /// A member of a gang: seconds until its image was to be there when it was placed.
    pub image_s: Option<f64>,
    /// Whether its job was a latency job when it was placed.
    pub latency: bool,
    /// The page on the state service that holds the intent: only then may it be launched.
    pub page: Option<PageNo>,
    /// The tick of the check-in whose answer carried the launch, until settled.
    pub checkin_carrier: Option<Tick>,
    pub direct: DirectCarrier,
    /// The session in which we launched it. None: never launched by us.
    pub launched_in: Option<Session>,
    /// The highest token of a direct command that launched it.
    pub launched_with: Option<Token>,
    /// Left by a former leader and not yet resolved by a report that carries our token.
    pub inherited: bool,
    pub seen: Option<Seen>,
    pub stop: Option<StopRequest>,
    /// Placed at.
    pub since: Millis,
    /// First seen running.
    pub running_since: Option<Millis>,
}

impl Start {
    /// A start that is only planned. Without a job (over and forgotten) `need` stands for all that
    /// it might take.
    pub fn planned(
        task: TaskId,
        attempt: Attempt,
        job: Option<&Job>,
        need: Amount,
        now: Millis,
    ) -> Start {
        Start {
            task,
            attempt,
            need: job.map_or(need, |j| Amount::of(&j.spec)),
            team: job.and_then(|j| j.team),
            image: job.map(|j| j.spec.image.clone()),
            image_s: None,
            latency: false,
            page: None,
            checkin_carrier: None,
            direct: DirectCarrier::None,
            launched_in: None,
            launched_with: None,
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
        self.seen.is_some_and(|s| s.phase == TaskPhase::Ended)
    }
    /// Whether a launch of it can still arrive.
    pub fn in_flight(&self) -> bool {
        self.checkin_carrier.is_some() || self.direct != DirectCarrier::None
    }
    /// Never launched by anybody: may be dropped at will.
    pub fn untouched(&self) -> bool {
        !self.inherited && self.launched_in.is_none() && self.seen.is_none()
    }
    /// Seen running, and not ended since.
    pub fn runs(&self) -> bool {
        self.running_since.is_some() && !self.ended()
    }
}

/// Check-ins in a row that show nothing of what we answered before: the machine counts as deaf.
pub const DEAF_AFTER_REPLIES: u32 = 2;

/// Where a machine is in its life, as far as the leader knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
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
    pub machine_type: MachineType,
    pub zone: Zone,
    pub spot: bool,
    pub state: MachineState,
    /// When we first knew of it.
    pub since: Millis,
    pub session: Session,
    pub tick: Tick,
    /// The last check-in: any with a place not above it is a copy.
    pub checked_in: (Session, Tick),
    /// Known from our records, from a rental of ours, from the cloud, or by having shown our token: a
    /// late copy of a report alone proves nothing.
    pub verified: bool,
    /// A report with a token of this leadership has been seen.
    pub confirmed: bool,
    /// The highest token that we answered it with, and that it has shown.
    pub told: Token,
    pub shown: Token,
    /// Check-ins in a row that showed nothing of what we had answered, and since when it has counted
    /// as deaf.
    pub ignored_replies: u32,
    pub deaf_since: Option<Millis>,
    /// Deliberately not answered any more, so that its lease runs out.
    pub lease_withheld: bool,
    /// When its last message arrived, of any kind, and its last check-in.
    pub heard: Option<Millis>,
    pub reported: Option<Millis>,
    /// When an entitled controller may last have answered it (our takeover, for former leaders).
    pub answered: Millis,
    /// When its present session was first seen: its lease counts from no later than this, or than its
    /// last answer.
    pub session_seen: Millis,
    /// Every start that may be on it, tombstones included.
    pub starts: BTreeMap<(TaskId, Attempt), Start>,
    /// What is free on it, and how many starts have not ended: kept in step by `starts.rs`.
    pub free: Amount,
    pub live: u32,
    /// The page on the state service that lists it, and whether that is written.
    pub page: Option<PageNo>,
    pub noted: bool,
    /// The cloud takes it away at this time.
    pub recall_at: Option<Millis>,
    /// No new work (sick, silent too often, or to be returned).
    pub drain: bool,
    pub drain_since: Option<Millis>,
    /// Emptied for this job, which alone may use it until then.
    pub kept_for: Option<(JobId, Millis)>,
    /// Images that should be in its cache, least recently used first.
    pub images: Vec<(Image, f64)>,
    /// Idle since.
    pub idle_since: Option<Millis>,
    /// Jobs whose tasks failed here with no success between, and whether it is emptied for that.
    pub failed_jobs: BTreeSet<JobId>,
    pub sick: bool,
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
    /// A machine of which nothing is known but its name and kind, and what such a machine offers.
    pub fn new(
        id: HostId,
        machine_type: MachineType,
        zone: Zone,
        spot: bool,
        whole: Amount,
        now: Millis,
    ) -> Machine {
        Machine {
            id,
            endpoint: String::new(),
            machine_type,
            zone,
            spot,
            state: MachineState::Booting,
            since: now,
            session: Session(0),
            tick: Tick(0),
            checked_in: (Session(0), Tick(0)),
            verified: true,
            confirmed: false,
            told: Token(0),
            shown: Token(0),
            ignored_replies: 0,
            deaf_since: None,
            lease_withheld: false,
            heard: None,
            reported: None,
            answered: now,
            session_seen: Millis(i64::MIN / 4),
            starts: BTreeMap::new(),
            free: whole,
            live: 0,
            page: None,
            noted: false,
            recall_at: None,
            drain: false,
            drain_since: None,
            kept_for: None,
            images: Vec::new(),
            idle_since: None,
            failed_jobs: BTreeSet::new(),
            sick: false,
            direct_seq: None,
            direct_after: now,
            full_until: now,
            list_failed: false,
            missing_since: None,
        }
    }

    /// Starts that have not ended.
    pub fn going(&self) -> impl Iterator<Item = &Start> {
        self.starts.values().filter(|s| !s.ended())
    }

    /// Whether nothing that we say seems to reach it.
    pub fn deaf(&self) -> bool {
        self.ignored_replies >= DEAF_AFTER_REPLIES
    }

    /// It has shown that it hears us.
    pub fn mark_responsive(&mut self) {
        self.ignored_replies = 0;
        self.deaf_since = None;
    }

    /// Takes it out of use.
    pub fn start_drain(&mut self, now: Millis) {
        self.drain = true;
        self.drain_since.get_or_insert(now);
    }

    /// Whether no check-in of it has come for longer than the given time. Answers to direct commands
    /// don't count: they renew no lease, so that a machine from which only they come is about to lose
    /// its tasks.
    pub fn silent(&self, now: Millis, bound: Millis) -> bool {
        self.state == MachineState::Up && self.reported.is_none_or(|h| now - h > bound)
    }

    /// The latest moment from which the lease that a start lives by can count.
    ///
    /// Guards against a machine that reaches no controller while direct commands reach it: a session
    /// that began after its last answer has a lease of its own, and what was launched in it was taken
    /// for gone with the session before, and started elsewhere. What a former leader launched is in a
    /// session that had begun when we took over, unless it is seen in a later one.
    pub fn lease_from(&self, s: &Start) -> Millis {
        let here =
            s.launched_in == Some(self.session) || s.seen.is_some_and(|x| x.at.0 == self.session);
        if here {
            self.answered.max(self.session_seen)
        } else {
            self.answered
        }
    }

    /// A job has turned out to fail everywhere: what it did here says nothing of the machine.
    pub fn forget_failures_of(&mut self, job: &JobId, most: usize) {
        let removed = self.failed_jobs.remove(job);
        // One that is given up for another reason stays so.
        let in_use = self.state == MachineState::Up && !self.lease_withheld;
        if removed && self.sick && in_use && self.failed_jobs.len() < most {
            self.sick = false;
            self.drain = false;
            self.drain_since = None;
        }
    }

    /// Whether the image should be in the cache.
    pub fn has_image(&self, image: &Image) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }

    /// Notes the use of an image; the least recently used make room.
    pub fn use_image(&mut self, image: &Image, gb: f64, cache_gb: f64) {
        self.images.retain(|(i, _)| i != image);
        self.images.push((image.clone(), gb));
        let mut held: f64 = self.images.iter().map(|(_, g)| g).sum();
        while held > cache_gb && self.images.len() > 1 {
            held -= self.images.remove(0).1;
        }
    }
}
