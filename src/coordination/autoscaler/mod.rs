//! The fleet: what to rent, what to return, which machines are given up.

pub mod arrivals;
pub mod forecast;
mod scale_in;
mod scale_out;
pub mod warm_pool;

use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::placement::UnplacedTasks;
use crate::coordination::Scheduler;
use crate::ids::{MachineId, MachineType, Zone};
use crate::protocol::cloud::{CloudPhase, ListedMachine};
use crate::protocol::users::JobSpec;
use crate::time::{Instant, TimeSpan};
use crate::transport::budget::Budget;
use arrivals::ArrivalRate;
use std::collections::{BTreeMap, BTreeSet};

/// What can be rented: type, zone and whether spot.
pub type Kind = (MachineType, Zone, bool);

/// A rental under way.
#[derive(Debug, Clone)]
pub(crate) struct ScaleOutRequest {
    pub(crate) kind: Kind,
    pub(crate) count: u32,
    pub(crate) asked: Instant,
    /// None: an answer is awaited. Otherwise: asked again then, under the same name.
    again_at: Option<Instant>,
}

/// The fleet's memory.
#[derive(Debug)]
pub struct Autoscaler {
    pub(crate) scale_out_requests: BTreeMap<String, ScaleOutRequest>,
    hired: u64,
    /// Refused for want of capacity: not asked again before, and the wait that led there.
    refused: BTreeMap<Kind, (Instant, TimeSpan)>,
    /// Idle machines that the last forecast had no use for.
    spare: BTreeSet<MachineId>,
    /// Returns that failed: not tried again before.
    return_after: Instant,
    /// Zones taken to be cut off, until then.
    suspected: BTreeMap<Zone, Instant>,
    /// When the forecast was last made, and when it was last looked what to return.
    /// Arrivals of each job class.
    pub(crate) arrivals: BTreeMap<String, ArrivalRate>,
    /// Machines kept ready, each for a job class.
    pub(crate) warm_pool: BTreeMap<MachineId, String>,
    /// Tasks of each class for which machines are missing in the warm pool.
    pub(crate) warm_pool_missing: Vec<(JobSpec, u32)>,
    looked: Instant,
    swept: Instant,
    logged: Instant,
    calls: Budget,
}

impl Autoscaler {
    /// An empty memory; calls are kept within a part of the cloud's rate.
    pub fn new(cloud_rps: f64) -> Autoscaler {
        Autoscaler {
            scale_out_requests: BTreeMap::new(),
            hired: 0,
            refused: BTreeMap::new(),
            spare: BTreeSet::new(),
            return_after: Instant(0),
            suspected: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            warm_pool: BTreeMap::new(),
            warm_pool_missing: Vec::new(),
            looked: Instant::LONG_AGO,
            swept: Instant::LONG_AGO,
            logged: Instant::LONG_AGO,
            // The list takes the rest; the cloud allows bursts of two seconds' worth.
            calls: Budget::new(cloud_rps * CALLS, cloud_rps * 2.0 * CALLS),
        }
    }
}

/// The part of the cloud's rate that rentals and returns use.
const CALLS: f64 = 0.7;
/// The forecast is made at most this often, and less often the more machines there are: it costs
/// more than a placement does.
const LOOK_EVERY: TimeSpan = TimeSpan(400);
const LOOK_A_MACHINE: i64 = 1;
/// A line about the machines is logged this often.
const LOG_EVERY: TimeSpan = TimeSpan(10_000);
/// What to return is looked for this often.
const SWEEP_EVERY: TimeSpan = TimeSpan(500);
/// A new leader rents nothing while more than this part of the machines has yet to report to it.
const STILL_SILENT: f64 = 0.1;
/// Machines rented in one look: what can be asked for in so many seconds at the cloud's rate.
const LOOK_S: f64 = 2.0;

/// A machine being emptied is returned after this even if something on it doesn't end.
const DRAIN_PATIENCE: TimeSpan = TimeSpan(20_000);

impl Scheduler {
    pub(crate) fn boot_s(&self, machine_type: &MachineType) -> f64 {
        self.machines
            .types
            .get(machine_type)
            .map_or(30.0, |r| r.boot_s)
    }

    /// What it would take to have such a machine again: to boot it and fetch an image. Keeping it
    /// idle for as long costs at most twice what the best choice in hindsight would have.
    fn renewal_s(&self, m: &Machine) -> f64 {
        let gb = m.images.iter().map(|(_, gb)| *gb).fold(0.0, f64::max);
        self.boot_s(&m.machine_type) + self.fetch_s(&m.machine_type, gb)
    }

    /// Takes a machine into the ledger, unless it is there. `verified` if more than a report speaks
    /// for it.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn enter_machine(
        &mut self,
        now: Instant,
        id: &MachineId,
        machine_type: &MachineType,
        zone: &Zone,
        spot: bool,
        since: Instant,
        verified: bool,
    ) {
        if !self.machines.contains_key(id) {
            let whole = self.machines.capacity(machine_type);
            let mut m = Machine::new(
                id.clone(),
                machine_type.clone(),
                zone.clone(),
                spot,
                whole,
                since,
            );
            m.last_response_at = self.leadership.began_at();
            m.verified = false;
            m.push_not_before = now;
            self.machines.insert(id.clone(), m);
        }
        if verified {
            self.verify_machine(id);
        }
    }

    /// The machine exists: it is put on record, and may be given work.
    pub(crate) fn verify_machine(&mut self, id: &MachineId) {
        if let Some(m) = self.machines.get_mut(id).filter(|m| !m.verified) {
            m.verified = true;
            m.page = Some(self.writer.machine_pages.enter(id));
            self.placement.due = true;
        }
    }

    /// Returns what isn't needed or is given up, rents what is missing.
    pub(crate) fn size_fleet(&mut self, now: Instant, unplaced: Vec<UnplacedTasks>) {
        self.repeat_hires(now);
        self.rent(now, &unplaced);
        if now - self.autoscaler.swept >= SWEEP_EVERY {
            self.autoscaler.swept = now;
            self.return_machines(now);
        }
    }

    /// A line about what the machines are doing, every so often: where the money goes.
    pub(crate) fn log_state(&mut self, now: Instant) {
        if now - self.autoscaler.logged < LOG_EVERY {
            return;
        }
        self.autoscaler.logged = now;
        let (mut booting, mut up, mut idle, mut spot, mut drained) = (0, 0, 0, 0, 0);
        let mut gpus = [0.0; 4];
        for m in self.machines.values() {
            booting += u32::from(m.state == MachineState::Booting);
            spot += u32::from(m.spot);
            drained += u32::from(m.draining || m.reclaim_at.is_some());
            if m.state != MachineState::Up {
                continue;
            }
            up += 1;
            idle += u32::from(m.attempts.live_count() == 0);
            gpus[0] += self.machines.capacity(&m.machine_type).gpus;
            gpus[1] += m.free().gpus.max(0.0);
            for s in m.live_attempts() {
                let runs = s.running_since.is_some();
                gpus[if runs { 2 } else { 3 }] += s.request.gpus;
            }
        }
        let waiting: usize = self
            .jobs
            .index
            .pending
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
            warm_pool = self.autoscaler.warm_pool.len(),
            scale_out_requests = self.autoscaler.scale_out_requests.len(),
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

    /// The cloud's list. It lags, so it never proves a machine absent; a machine that was listed
    /// and no longer is, is asked to be returned, and the answer to that is the proof.
    pub(crate) fn machines_listed(
        &mut self,
        now: Instant,
        asked: Instant,
        listed_machines: Vec<ListedMachine>,
    ) {
        let lag = TimeSpan::from_secs(self.policy.facts.cloud.list_lag_s * 2.0 + 2.0);
        let listed: BTreeSet<MachineId> = listed_machines.iter().map(|h| h.id.clone()).collect();
        for h in listed_machines {
            if self.machines.terminated.contains(&h.id) {
                continue;
            }
            if !self.machines.contains_key(&h.id) {
                tracing::info!(machine = %h.id, machine_type = %h.machine_type, "listed, but not known: taken on");
            }
            let since = asked - TimeSpan::from_secs(h.age_s);
            self.enter_machine(now, &h.id, &h.machine_type, &h.zone, h.spot, since, true);
            let Some(m) = self.machines.get_mut(&h.id) else {
                continue;
            };
            if m.endpoint.is_empty() {
                m.endpoint = h.endpoint;
            }
            m.listed_as_failed = h.phase == CloudPhase::Failed;
            m.unlisted_since = None;
        }
        for m in self.machines.values_mut() {
            if listed.contains(&m.id) || m.state == MachineState::Returning {
                continue;
            }
            let known_long = now - m.since.max(self.leadership.began_at()) > lag;
            let missing = *m.unlisted_since.get_or_insert(now);
            let quiet = m.last_message_at.is_none_or(|h| now - h > lag);
            if known_long && quiet && now - missing > lag {
                tracing::debug!(machine = %m.id, "no longer listed and not heard of");
                m.draining = true;
                m.draining_since = Some(m.draining_since.unwrap_or(now - DRAIN_PATIENCE));
            }
        }
        self.placement.due = true;
    }
}
