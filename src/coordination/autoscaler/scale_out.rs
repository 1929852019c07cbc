//! Scale-out: chooses the machines to rent, and handles the responses to the requests.

use super::forecast::{forecast, ForecastResult};
use super::{Autoscaler, MachineOffer, API_RATE_SHARE};
use crate::coordination::machines::machine::MachineState;
use crate::coordination::machines::table::MachineTable;
use crate::coordination::placement::UnplacedTasks;
use crate::coordination::{ClusterView, Effect, Policy, ScaleOutAnswer, Scheduler};
use crate::ids::{FencingToken, IdempotencyKey, MachineId, Zone};
use crate::protocol::cloud::MachineTypeInfo;
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeMap;

/// Most machines that one request may ask for, by the cloud's protocol.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// Shortest interval between two forecasts. It grows with the number of machines, since a forecast costs more
/// than a placement pass.
const FORECAST_INTERVAL: TimeSpan = TimeSpan(400);
/// Milliseconds that each machine adds to the interval between two forecasts.
const FORECAST_INTERVAL_MS_PER_MACHINE: i64 = 1;
/// One forecast rents no more machines than can be requested in this many seconds at the cloud's rate limit.
const REQUEST_SECS_PER_FORECAST: f64 = 2.0;
/// A new leader rents no machines while more than this share of the machines has not sent it a heartbeat yet.
const MAX_SHARE_WITHOUT_HEARTBEAT: f64 = 0.1;

impl Scheduler {
    /// Makes a forecast, if one is due, and rents the machines with which tasks start sooner.
    pub(super) fn scale_out(&mut self, now: Instant, unplaced: &[UnplacedTasks]) {
        let is_new_leader = self.leadership.age(now) <= self.policy.first_heartbeats_bound();
        if !self.autoscaler.is_forecast_due(now, self.machines.len())
            || (is_new_leader && awaits_first_heartbeats(&self.machines))
        {
            return;
        }
        let forecast = forecast(
            &self.autoscaler_view(now),
            unplaced,
            max_machines_per_forecast(&self.policy),
        );
        tracing::debug!(
            unplaced_jobs = unplaced.len(),
            unplaced_tasks = unplaced.iter().map(|tasks| tasks.count).sum::<u32>(),
            scale_out = forecast.scale_out.values().sum::<u32>(),
            spare = forecast.spare.len(),
            starts = forecast.starts,
            "forecast made"
        );
        let initial_token = self.initial_token();
        let requests = self.autoscaler.apply_forecast(now, initial_token, forecast);
        self.effects.extend(requests);
    }

    /// Handles the response to a scale-out request: inserts the granted machines into the machine table.
    pub(crate) fn scale_out_answered(
        &mut self,
        now: Instant,
        key: &IdempotencyKey,
        answer: ScaleOutAnswer,
    ) {
        let Some(granted) = self.autoscaler.close_scale_out(now, key, answer) else {
            return;
        };
        for id in granted.machine_ids {
            if !self.machines.terminated.contains(&id) {
                self.add_machine(now, &id, &granted.offer, granted.requested_at, true);
            }
        }
        self.placement.request_pass();
    }
}

/// Returns the most machines that one forecast may rent.
fn max_machines_per_forecast(policy: &Policy) -> usize {
    let rate = policy.facts.cloud.rps * API_RATE_SHARE;
    let requests = (rate * REQUEST_SECS_PER_FORECAST).max(1.0);
    requests as usize * MAX_MACHINES_PER_REQUEST as usize
}

/// Whether too many machines have not sent a new leader their first heartbeat.
///
/// Guards against renting machines that are not needed a moment later: each failover rented up to 180 machines.
/// Until a machine has sent a heartbeat, no task can be placed on it, and task attempts on it that ended during the
/// failover still seem to be running.
fn awaits_first_heartbeats(machines: &MachineTable) -> bool {
    let up = machines
        .values()
        .filter(|machine| machine.state == MachineState::Up);
    let (silent, all) = up.fold((0, 0), |(silent, all), machine| {
        let is_silent = machine.last_heartbeat_at.is_none();
        (silent + usize::from(is_silent), all + 1)
    });
    silent as f64 > all as f64 * MAX_SHARE_WITHOUT_HEARTBEAT
}

/// The machines that the cloud granted to a request.
struct GrantedMachines {
    machine_ids: Vec<MachineId>,
    /// The offer that the machines were rented under.
    offer: MachineOffer,
    /// When the machines were first requested.
    requested_at: Instant,
}

impl Autoscaler {
    fn is_forecast_due(&self, now: Instant, machines: usize) -> bool {
        let cluster_size_delay = TimeSpan(FORECAST_INTERVAL_MS_PER_MACHINE * machines as i64);
        now - self.last_forecast_at >= FORECAST_INTERVAL + cluster_size_delay
    }

    /// Applies a forecast: stores its spare machines, and returns the effects that request its new machines, as far
    /// as the cloud's rate limit allows.
    #[must_use]
    fn apply_forecast(
        &mut self,
        now: Instant,
        initial_token: FencingToken,
        forecast: ForecastResult,
    ) -> Vec<Effect> {
        self.last_forecast_at = now;
        self.spare_machines = forecast.spare;
        self.last_forecast_starts = forecast.starts;
        let mut effects = Vec::new();
        for (offer, mut count) in forecast.scale_out {
            while count > 0 && self.api_calls.try_take(now, 1.0) {
                let batch_size = count.min(MAX_MACHINES_PER_REQUEST);
                let offer = offer.clone();
                effects.push(self.requests.open(now, initial_token, offer, batch_size));
                count -= batch_size;
            }
        }
        effects
    }

    /// Retries the requests whose outcome is unconfirmed, as far as the cloud's rate limit allows.
    #[must_use]
    pub(super) fn retry_unconfirmed_requests(&mut self, now: Instant) -> Vec<Effect> {
        self.requests.abandon_expired(now);
        let mut effects = Vec::new();
        for key in self.requests.due(now) {
            if !self.api_calls.try_take(now, 1.0) {
                break;
            }
            effects.extend(self.requests.retry(&key));
        }
        effects
    }

    /// Handles a scale-out request whose outcome is unconfirmed.
    pub(crate) fn scale_out_unconfirmed(&mut self, now: Instant, key: &IdempotencyKey) {
        self.requests.retry_later(now, key);
    }

    /// Closes a request with its answer; None if the request was abandoned or answered before.
    fn close_scale_out(
        &mut self,
        now: Instant,
        key: &IdempotencyKey,
        answer: ScaleOutAnswer,
    ) -> Option<GrantedMachines> {
        let request = self.requests.close(key)?;
        let machine_ids = match answer {
            ScaleOutAnswer::Granted(machine_ids) => machine_ids,
            ScaleOutAnswer::NoCapacity => Vec::new(),
        };
        let granted = machine_ids.len() as u32;
        if granted < request.count {
            tracing::debug!(
                idempotency_key = %key,
                granted,
                requested = request.count,
                "scale-out refused for want of capacity"
            );
            self.offer_backoff.record_refusal(&request.offer, now);
        } else {
            self.offer_backoff.record_grant(&request.offer);
        }
        Some(GrantedMachines {
            machine_ids,
            offer: request.offer,
            requested_at: request.requested_at,
        })
    }

    /// Returns the offer with the lowest price per task for `tasks` tasks of a job, among those not backing off.
    /// Ties go to the zone with the fewest machines.
    pub(crate) fn cheapest_offer(
        &self,
        cluster: &ClusterView<'_>,
        spec: &JobSpec,
        tasks: u32,
        machines_by_zone: &BTreeMap<Zone, usize>,
    ) -> Option<MachineOffer> {
        let request = Resources::of(spec);
        let mut best: Option<(OfferRank, MachineOffer)> = None;
        for machine_type in cluster.machines.types.values() {
            let capacity = cluster.machines.capacity(&machine_type.name);
            let tasks_per_machine = request.count_in(&capacity, tasks);
            if tasks_per_machine == 0 {
                continue;
            }
            for offer in offers_of(machine_type) {
                if !offer.is_allowed_by(spec)
                    || self.offer_backoff.is_backing_off(&offer, cluster.now)
                {
                    continue;
                }
                let price = price_of(machine_type, &offer);
                let rank = OfferRank {
                    price_per_task: price / f64::from(tasks_per_machine),
                    machines_in_zone: machines_by_zone.get(&offer.zone).copied().unwrap_or(0),
                };
                if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                    best = Some((rank, offer));
                }
            }
        }
        best.map(|(_, offer)| offer)
    }

    /// Whether a machine that can run the job's tasks is booting, requested or can be rented.
    pub(crate) fn may_scale_out_for(&self, cluster: &ClusterView<'_>, spec: &JobSpec) -> bool {
        let request = Resources::of(spec);
        let serves = |offer: &MachineOffer| {
            offer.is_allowed_by(spec)
                && request.fits(&cluster.machines.capacity(&offer.machine_type))
        };
        self.cheapest_offer(cluster, spec, 1, &BTreeMap::new())
            .is_some()
            || self.requests.iter().any(|request| serves(&request.offer))
            || cluster.machines.values().any(|machine| {
                machine.state == MachineState::Booting && serves(&MachineOffer::of(machine))
            })
    }
}

/// Rank of an offer; the lowest is preferred.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct OfferRank {
    /// The machine's price divided by the number of tasks that fit on it.
    price_per_task: f64,
    /// Number of machines in the zone; spreads machines over the zones if prices are equal.
    machines_in_zone: usize,
}

/// Returns the offers of a machine type: in each zone a spot machine, then an on-demand machine.
fn offers_of(machine_type: &MachineTypeInfo) -> impl Iterator<Item = MachineOffer> + '_ {
    machine_type.zones.iter().flat_map(|zone| {
        [true, false].map(|spot| MachineOffer {
            machine_type: machine_type.name.clone(),
            zone: zone.clone(),
            spot,
        })
    })
}

fn price_of(machine_type: &MachineTypeInfo, offer: &MachineOffer) -> f64 {
    if offer.spot {
        machine_type.spot_price
    } else {
        machine_type.price
    }
}
