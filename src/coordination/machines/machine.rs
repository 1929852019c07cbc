//! A machine as the leader holds it.

use super::reachability::Reachability;
use super::reservation::Reservation;
use crate::coordination::attempts::ledger::{MachineAttempts, TaskAttempt};
use crate::ids::{Image, JobId, MachineId, MachineType, PageNumber, Session, Tick, Zone};
use crate::resources::Resources;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

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
    pub id: MachineId,
    pub endpoint: String,
    pub machine_type: MachineType,
    pub zone: Zone,
    pub spot: bool,
    pub state: MachineState,
    /// When we first knew of it.
    pub since: Instant,
    pub session: Session,
    pub tick: Tick,
    /// The last check-in: any with a place not above it is a copy.
    pub last_heartbeat: (Session, Tick),
    /// Known from our records, from a rental of ours, from the cloud, or by having shown our token: a
    /// late copy of a report alone proves nothing.
    pub verified: bool,
    /// A report with a token of this leadership has been seen.
    pub confirmed: bool,
    /// Whether it receives what it is answered.
    pub reachability: Reachability,
    /// Deliberately not answered any more, so that its lease runs out.
    pub lease_withheld: bool,
    /// When its last message arrived, of any kind, and its last check-in.
    pub last_message_at: Option<Instant>,
    pub last_heartbeat_at: Option<Instant>,
    /// When an entitled controller may last have answered it (our takeover, for former leaders).
    pub last_response_at: Instant,
    /// When its present session was first seen: its lease counts from no later than this, or than its
    /// last answer.
    pub session_first_seen_at: Instant,
    /// Every task attempt that may be on it, and what they leave free of it.
    pub attempts: MachineAttempts,
    /// The page on the state service that lists it, and whether that is written.
    pub page: Option<PageNumber>,
    pub is_recorded: bool,
    /// The cloud takes it away at this time.
    pub reclaim_at: Option<Instant>,
    /// No new work (sick, silent too often, or to be returned).
    pub draining: bool,
    pub draining_since: Option<Instant>,
    /// The job that it is kept for.
    pub(super) reservation: Option<Reservation>,
    /// Images that should be in its cache, least recently used first.
    pub images: Vec<(Image, f64)>,
    /// Idle since.
    pub idle_since: Option<Instant>,
    /// Jobs whose tasks failed here with no success between, and whether it is emptied for that.
    pub failed_jobs: BTreeSet<JobId>,
    pub quarantined: bool,
    /// The direct command under way, and no further one before this time.
    pub push_in_flight: Option<u64>,
    pub push_not_before: Instant,
    /// No new work before this time (refused a start for want of room).
    pub unschedulable_until: Instant,
    /// Listed by the cloud as failed; missing from its lists since.
    pub listed_as_failed: bool,
    pub unlisted_since: Option<Instant>,
}

impl Machine {
    /// A machine of which nothing is known but its name and kind, and what such a machine offers.
    pub fn new(
        id: MachineId,
        machine_type: MachineType,
        zone: Zone,
        spot: bool,
        whole: Resources,
        now: Instant,
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
            last_heartbeat: (Session(0), Tick(0)),
            verified: true,
            confirmed: false,
            reachability: Reachability::default(),
            lease_withheld: false,
            last_message_at: None,
            last_heartbeat_at: None,
            last_response_at: now,
            session_first_seen_at: Instant::LONG_AGO,
            attempts: MachineAttempts::new(whole),
            page: None,
            is_recorded: false,
            reclaim_at: None,
            draining: false,
            draining_since: None,
            reservation: None,
            images: Vec::new(),
            idle_since: None,
            failed_jobs: BTreeSet::new(),
            quarantined: false,
            push_in_flight: None,
            push_not_before: now,
            unschedulable_until: now,
            listed_as_failed: false,
            unlisted_since: None,
        }
    }

    /// What live task attempts leave free of it.
    pub fn free(&self) -> &Resources {
        self.attempts.free()
    }

    /// Task attempts that have not ended.
    pub fn live_attempts(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.attempts.live()
    }

    /// Notes since when it has had nothing to do.
    pub fn note_idle(&mut self, now: Instant) {
        if self.attempts.live_count() > 0 {
            self.idle_since = None;
        } else {
            self.idle_since.get_or_insert(now);
        }
    }

    /// Whether nothing that we say seems to reach it.
    pub fn is_unreachable(&self) -> bool {
        self.reachability.is_unreachable()
    }

    /// It has shown that it hears us.
    pub fn mark_reachable(&mut self) {
        self.reachability.mark_reachable();
    }

    /// Whether it may be given new work: it reports, our commands reach it, and nothing is known that speaks
    /// against it. After `silence` without a heartbeat it is suspected, and gets none.
    pub fn is_schedulable(&self, now: Instant, silence: TimeSpan) -> bool {
        self.state == MachineState::Up
            && self.verified
            && !self.is_unreachable()
            && !self.draining
            && self.reclaim_at.is_none()
            && self.unschedulable_until <= now
            && !self.silent(now, silence)
    }

    /// Takes it out of use.
    pub fn start_draining(&mut self, now: Instant) {
        self.draining = true;
        self.draining_since.get_or_insert(now);
    }

    /// Whether no check-in of it has come for longer than the given time. Answers to direct commands
    /// don't count: they renew no lease, so that a machine from which only they come is about to lose
    /// its tasks.
    pub fn silent(&self, now: Instant, bound: TimeSpan) -> bool {
        self.state == MachineState::Up && self.last_heartbeat_at.is_none_or(|h| now - h > bound)
    }

    /// A job has turned out to fail everywhere: what it did here says nothing of the machine.
    pub fn forget_failures_of(&mut self, job: &JobId, most: usize) {
        let removed = self.failed_jobs.remove(job);
        // One that is given up for another reason stays so.
        let in_use = self.state == MachineState::Up && !self.lease_withheld;
        if removed && self.quarantined && in_use && self.failed_jobs.len() < most {
            self.quarantined = false;
            self.draining = false;
            self.draining_since = None;
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
