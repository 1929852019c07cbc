//! A machine as the leader knows it: what it is, what its worker has said of itself, and why it may or may not
//! be given work.
//!
//! Its task attempts change through the ledger only.

use super::image_cache::ImageCache;
use super::reachability::Reachability;
use super::reservation::Reservation;
use crate::coordination::attempts::ledger::{MachineAttempts, TaskAttempt};
use crate::coordination::RequestId;
use crate::ids::{Image, JobId, MachineId, MachineType, PageNumber, SequenceNumber, Session, Zone};
use crate::resources::Resources;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// Where a machine is in its lifecycle, as far as the leader knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Rented; its worker has sent no heartbeat yet.
    Booting,
    /// Its worker has sent a heartbeat.
    Up,
    /// The cloud is asked to terminate it; never used again.
    Terminating,
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Its id, from the cloud.
    pub id: MachineId,
    /// Where its worker listens for pushes; empty if that is not known yet.
    pub endpoint: String,
    /// Its type.
    pub machine_type: MachineType,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Where it is in its lifecycle.
    pub state: MachineState,
    /// When it was rented, or the first we knew of it.
    pub first_known_at: Instant,
    /// Its worker's session, as last seen.
    pub session: Session,
    /// The tick of the newest message of that session.
    pub tick: SequenceNumber,
    /// The session and tick of the last heartbeat: any that is not above it is a duplicate.
    pub last_heartbeat: (Session, SequenceNumber),
    /// Known from our records, from a scale-out request of ours, from the cloud, or by having acknowledged our
    /// fencing token: a delayed duplicate of a status alone proves nothing.
    pub verified: bool,
    /// A status with a fencing token of this leadership term has been seen.
    pub confirmed: bool,
    /// Whether it receives what it is answered.
    pub reachability: Reachability,
    /// Deliberately not answered any more, so that its lease runs out.
    pub lease_withheld: bool,
    /// When its last message arrived, of any kind.
    pub last_message_at: Option<Instant>,
    /// When its last heartbeat arrived.
    pub last_heartbeat_at: Option<Instant>,
    /// When an entitled controller may last have answered it (our own failover, for former leaders).
    pub last_response_at: Instant,
    /// When its present session was first seen: its lease counts from no later than this, or than its
    /// last answer.
    pub session_first_seen_at: Instant,
    /// Every task attempt that may be on it, and what they leave free of it.
    pub attempts: MachineAttempts,
    /// The page of the state store that lists it.
    pub page: Option<PageNumber>,
    /// Whether that page is written: only then may launch intents name the machine.
    pub is_recorded: bool,
    /// A preemption notice: the cloud reclaims it at this time.
    pub reclaim_at: Option<Instant>,
    /// Given no new work: quarantined, silent for too long, or to be terminated.
    pub draining: bool,
    /// From when its drain timeout counts.
    pub draining_since: Option<Instant>,
    /// The job that it is kept for.
    pub(super) reservation: Option<Reservation>,
    /// Images that should be in its cache.
    pub(crate) images: ImageCache,
    /// Since when it has had no live task attempt; None if it has some.
    pub idle_since: Option<Instant>,
    /// Jobs whose tasks failed here with no success between.
    pub failed_jobs: BTreeSet<JobId>,
    /// Whether its worker has reported another type, zone or kind (spot or on-demand) than is on record.
    kind_contradicted: bool,
    /// Whether it is drained because of those failures.
    pub quarantined: bool,
    /// The push whose answer is awaited.
    pub push_in_flight: Option<RequestId>,
    /// No further push, or request to terminate it, before this time.
    pub push_not_before: Instant,
    /// Given no new work before this time: it refused a launch, or a task failed on it.
    pub unschedulable_until: Instant,
    /// The cloud's list named it as failed when it last named it.
    listed_as_failed: bool,
    /// Since when the cloud's list has not named it.
    unlisted_since: Option<Instant>,
}

impl Machine {
    /// A machine of which nothing is known but its id, its type, zone and spot flag, and what a machine of that type
    /// offers; known, or rented, at that moment.
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
            first_known_at: now,
            session: Session(0),
            tick: SequenceNumber(0),
            last_heartbeat: (Session(0), SequenceNumber(0)),
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
            images: ImageCache::default(),
            idle_since: None,
            failed_jobs: BTreeSet::new(),
            kind_contradicted: false,
            quarantined: false,
            push_in_flight: None,
            push_not_before: now,
            unschedulable_until: now,
            listed_as_failed: false,
            unlisted_since: None,
        }
    }

    /// The machine exists, as its rental or the cloud's list shows: it is on a page of the state store from now
    /// on, and may be given work.
    pub fn verify(&mut self, page: PageNumber) {
        self.verified = true;
        self.page = Some(page);
    }

    /// Its worker reports this kind. True if that contradicts the record for the first time: it is drained from
    /// then on, for nothing can be said of which jobs may run on it.
    pub fn check_reported_kind(
        &mut self,
        now: Instant,
        machine_type: &MachineType,
        zone: &Zone,
        spot: bool,
    ) -> bool {
        let agrees = *machine_type == self.machine_type && *zone == self.zone && spot == self.spot;
        if agrees || self.kind_contradicted {
            return false;
        }
        self.kind_contradicted = true;
        self.start_draining(now);
        true
    }

    /// The cloud's list names it, perhaps as failed.
    pub fn mark_listed(&mut self, is_failed: bool) {
        self.listed_as_failed = is_failed;
        self.unlisted_since = None;
    }

    /// The cloud's list does not name it; returns since when.
    pub fn mark_unlisted(&mut self, now: Instant) -> Instant {
        *self.unlisted_since.get_or_insert(now)
    }

    /// Whether the cloud's list named it as failed when it last named it.
    pub fn is_listed_as_failed(&self) -> bool {
        self.listed_as_failed
    }

    /// Whether no new work is for it because it is drained or will be reclaimed.
    pub fn is_draining_or_reclaimed(&self) -> bool {
        self.draining || self.reclaim_at.is_some()
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
    pub fn update_idle_since(&mut self, now: Instant) {
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
            && !self.is_draining_or_reclaimed()
            && self.unschedulable_until <= now
            && !self.is_silent(now, silence)
    }

    /// Takes it out of use: it is given no new work, and returned once it is empty. A machine that is drained
    /// already keeps the time from which its drain timeout counts.
    pub fn start_draining(&mut self, since: Instant) {
        self.draining = true;
        self.draining_since.get_or_insert(since);
    }

    /// Whether no heartbeat of it has come for longer than the given time. Responses to pushes don't count: they
    /// renew no lease, so that a machine from which only they come is about to lose its tasks.
    pub fn is_silent(&self, now: Instant, bound: TimeSpan) -> bool {
        self.state == MachineState::Up && self.last_heartbeat_at.is_none_or(|h| now - h > bound)
    }

    /// A job has turned out to fail everywhere: what it did here says nothing of the machine.
    pub fn clear_failures_of(&mut self, job: &JobId, most: usize) {
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
        self.images.contains(image)
    }

    /// Notes the use of an image; the least recently used make room.
    pub fn record_image_use(&mut self, image: &Image, gb: f64, cache_gb: f64) {
        self.images.record_use(image, gb, cache_gb);
    }
}
