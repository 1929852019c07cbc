//! A machine as the leader knows it: its type and zone, what its worker has reported, and whether new tasks may
//! be placed on it.
//!
//! Its task attempts change through the ledger only.

use super::image_cache::ImageCache;
use super::reachability::Reachability;
use super::reservation::Reservation;
use super::restarts::WorkerRestarts;
use crate::coordination::attempts::ledger::{MachineAttempts, TaskAttempt};
use crate::coordination::RequestId;
use crate::ids::{Image, JobId, MachineId, MachineType, PageNumber, SequenceNumber, Session, Zone};
use crate::resources::Resources;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// The lifecycle state of a machine, as far as the leader knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Rented; its worker has not sent a heartbeat yet.
    Booting,
    /// Its worker has sent a heartbeat.
    Up,
    /// Its termination has been requested from the cloud; it is never used again.
    Terminating,
}

/// A rented machine, or one that is believed to exist.
#[derive(Debug)]
pub struct Machine {
    /// The id assigned by the cloud.
    pub id: MachineId,
    /// The address at which its worker listens for pushes; empty if not known yet.
    pub endpoint: String,
    /// The machine type.
    pub machine_type: MachineType,
    /// The zone.
    pub zone: Zone,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// The lifecycle state.
    pub state: MachineState,
    /// When the machine was rented or, if that is not known, when the leader first learned of it.
    pub first_known_at: Instant,
    /// The newest session of its worker.
    pub session: Session,
    /// The sequence number of the newest message of that session.
    pub sequence_number: SequenceNumber,
    /// The session and sequence number of the last heartbeat: a heartbeat that is not newer is a duplicate.
    pub last_heartbeat: (Session, SequenceNumber),
    /// Whether the machine is known to exist, from the stored machine pages, a scale-out request or the cloud's
    /// list. A status alone doesn't prove it: it may be a delayed duplicate.
    pub verified: bool,
    /// Whether a status with a fencing token of this leadership term has arrived.
    pub confirmed: bool,
    /// Whether responses to its heartbeats reach the machine.
    pub reachability: Reachability,
    /// Whether its heartbeats are deliberately left unanswered, so that the lease of its worker expires.
    pub lease_withheld: bool,
    /// When the last message of any kind arrived.
    pub last_message_at: Option<Instant>,
    /// When the last heartbeat arrived.
    pub last_heartbeat_at: Option<Instant>,
    /// The latest time at which a leader may have answered the machine: this leader's last response or, for
    /// former leaders, the start of this leadership term.
    pub last_response_at: Instant,
    /// Signs that the worker was restarted without its state.
    pub restarts: WorkerRestarts,
    /// When the current session was first seen. The lease of the session started no later than this or
    /// `last_response_at`, whichever is later.
    pub session_first_seen_at: Instant,
    /// Every task attempt that may be on the machine, and the free capacity.
    pub attempts: MachineAttempts,
    /// The page of the state store that lists the machine.
    pub page: Option<PageNumber>,
    /// Whether the page that lists the machine is written: only then may launch intents name the machine.
    pub is_recorded: bool,
    /// When the cloud reclaims the machine, according to a preemption notice.
    pub reclaim_at: Option<Instant>,
    /// Whether the machine gets no new work because it is quarantined, was silent for too long or is to be
    /// terminated.
    pub draining: bool,
    /// The start of the drain timeout.
    pub draining_since: Option<Instant>,
    /// The job that the machine is reserved for.
    pub(super) reservation: Option<Reservation>,
    /// The images expected to be in its cache.
    pub(crate) images: ImageCache,
    /// Since when the machine has had no live task attempt; `None` if it has one.
    pub idle_since: Option<Instant>,
    /// Jobs with a task that failed on the machine since a task last succeeded on it.
    pub failed_jobs: BTreeSet<JobId>,
    /// Whether its worker has reported a type, zone or spot flag that differs from the record.
    kind_contradicted: bool,
    /// Whether the machine is drained because of `failed_jobs`.
    pub quarantined: bool,
    /// The push that has not been answered yet.
    pub push_in_flight: Option<RequestId>,
    /// The earliest time of the next push or termination request.
    pub push_not_before: Instant,
    /// The machine gets no new work before this time, because it refused a launch or a task failed on it.
    pub unschedulable_until: Instant,
    /// Whether the cloud's list gave the state of the machine as failed when it last contained the machine.
    listed_as_failed: bool,
    /// Since when the machine has been missing from the cloud's list.
    unlisted_since: Option<Instant>,
}

impl Machine {
    /// Creates a booting machine with no task attempts that was rented, or first known, at `now`.
    pub fn new(
        id: MachineId,
        machine_type: MachineType,
        zone: Zone,
        spot: bool,
        capacity: Resources,
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
            sequence_number: SequenceNumber(0),
            last_heartbeat: (Session(0), SequenceNumber(0)),
            verified: true,
            confirmed: false,
            reachability: Reachability::default(),
            lease_withheld: false,
            last_message_at: None,
            last_heartbeat_at: None,
            last_response_at: now,
            restarts: WorkerRestarts::default(),
            session_first_seen_at: Instant::LONG_AGO,
            attempts: MachineAttempts::new(capacity),
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

    /// Records that the machine exists, as shown by its rental or the cloud's list: it is listed on a page of
    /// the state store from now on, and may be given work.
    pub fn verify(&mut self, page: PageNumber) {
        self.verified = true;
        self.page = Some(page);
    }

    /// Drains the machine if its worker reports a type, zone or spot flag that contradicts the record, since it
    /// is then unknown which jobs may run on it. Returns whether this is the first contradiction.
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

    /// Records that the cloud's list contains the machine, and whether as failed.
    pub fn mark_listed(&mut self, is_failed: bool) {
        self.listed_as_failed = is_failed;
        self.unlisted_since = None;
    }

    /// Records that the cloud's list does not contain the machine; returns since when.
    pub fn mark_unlisted(&mut self, now: Instant) -> Instant {
        *self.unlisted_since.get_or_insert(now)
    }

    /// Whether the cloud's list gave the state of the machine as failed when it last contained the machine.
    pub fn is_listed_as_failed(&self) -> bool {
        self.listed_as_failed
    }

    /// Whether the machine is being drained or will be reclaimed by the cloud, and so gets no new work.
    pub fn is_draining_or_reclaimed(&self) -> bool {
        self.draining || self.reclaim_at.is_some()
    }

    /// The capacity that is not taken by live task attempts.
    pub fn free(&self) -> &Resources {
        self.attempts.free()
    }

    /// The task attempts that have not ended.
    pub fn live_attempts(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.attempts.live()
    }

    /// Updates `idle_since` after a change of the task attempts.
    pub fn update_idle_since(&mut self, now: Instant) {
        if self.attempts.live_count() > 0 {
            self.idle_since = None;
        } else {
            self.idle_since.get_or_insert(now);
        }
    }

    /// Whether responses seem not to reach the machine.
    pub fn is_unreachable(&self) -> bool {
        self.reachability.is_unreachable()
    }

    /// Records that something sent to the machine has reached it.
    pub fn mark_reachable(&mut self) {
        self.reachability.mark_reachable();
    }

    /// Whether the machine may be given new work. A machine without a heartbeat for longer than
    /// `heartbeat_timeout` is suspected and gets none.
    pub fn is_schedulable(&self, now: Instant, heartbeat_timeout: TimeSpan) -> bool {
        self.state == MachineState::Up
            && self.verified
            && !self.is_unreachable()
            && !self.is_draining_or_reclaimed()
            && self.unschedulable_until <= now
            && !self.is_silent(now, heartbeat_timeout)
    }

    /// Starts draining the machine: it gets no new work, and is terminated once it is empty. The drain timeout
    /// of a machine that is draining already is not restarted.
    pub fn start_draining(&mut self, since: Instant) {
        self.draining = true;
        self.draining_since.get_or_insert(since);
    }

    /// Whether the machine is up but no heartbeat has arrived for longer than `timeout`. Responses to pushes
    /// don't count: they renew no lease, so a machine that only sends those is about to lose its tasks.
    pub fn is_silent(&self, now: Instant, timeout: TimeSpan) -> bool {
        self.state == MachineState::Up && self.last_heartbeat_at.is_none_or(|h| now - h > timeout)
    }

    /// Removes a job that fails on every machine from the failed jobs, since its failures say nothing about
    /// this machine. Ends the quarantine if fewer than `quarantine_threshold` failed jobs are left.
    pub fn clear_failures_of(&mut self, job: &JobId, quarantine_threshold: usize) {
        let removed = self.failed_jobs.remove(job);
        // A machine that is being terminated or whose lease is withheld stays drained.
        let in_use = self.state == MachineState::Up && !self.lease_withheld;
        if removed && self.quarantined && in_use && self.failed_jobs.len() < quarantine_threshold {
            self.quarantined = false;
            self.draining = false;
            self.draining_since = None;
        }
    }

    /// Whether the image is expected to be in the cache.
    pub fn has_image(&self, image: &Image) -> bool {
        self.images.contains(image)
    }

    /// Records the use of an image of `size_gb` gigabytes, evicting the least recently used images from a cache
    /// of `cache_gb` gigabytes.
    pub fn record_image_use(&mut self, image: &Image, size_gb: f64, cache_gb: f64) {
        self.images.record_use(image, size_gb, cache_gb);
    }
}
