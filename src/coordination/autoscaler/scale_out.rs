//! Scale-out: which machines are rented, how many, and what becomes of each request.

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

/// The most machines that one request may ask for, by the cloud's protocol.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// The forecast is made at most this often, and less often the more machines there are: it costs
/// more than a placement does.
const FORECAST_INTERVAL: TimeSpan = TimeSpan(400);
/// Milliseconds by which each machine known lengthens the interval between forecasts.
const FORECAST_INTERVAL_MS_PER_MACHINE: i64 = 1;
/// One forecast asks for no more than can be requested in so many seconds at the cloud's rate.
const REQUEST_SECS_PER_FORECAST: f64 = 2.0;
/// A new leader rents nothing while more than this share of the machines has yet to send it a heartbeat.
const MAX_SHARE_WITHOUT_HEARTBEAT: f64 = 0.1;

impl Scheduler {
    /// Rents what makes waiting tasks start sooner, as the forecast says.
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
            "forecast made"
        );
        let initial_token = self.initial_token();
        let requests = self.autoscaler.apply_forecast(now, initial_token, forecast);
        self.effects.extend(requests);
    }

    /// The cloud answered a scale-out request: the machines granted are known from now on.
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

/// How many machines can be requested between two forecasts, at the cloud's rate.
fn max_machines_per_forecast(policy: &Policy) -> usize {
    let rate = policy.facts.cloud.rps * API_RATE_SHARE;
    let requests = (rate * REQUEST_SECS_PER_FORECAST).max(1.0);
    requests as usize * MAX_MACHINES_PER_REQUEST as usize
}

/// Whether a new leader still waits for the first heartbeats of some of its machines.
///
/// Guards against rentals for which there is no use a moment later: each change of leaders rented up to
/// 180 machines on the recorded day a974. Until a machine has sent a heartbeat it can't be given work, and
/// what ended on it while nobody led still seems to be there.
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

/// The machines that a request brought.
struct GrantedMachines {
    machine_ids: Vec<MachineId>,
    /// What they were rented as.
    offer: MachineOffer,
    /// When they were first requested.
    requested_at: Instant,
}

impl Autoscaler {
    fn is_forecast_due(&self, now: Instant, machines: usize) -> bool {
        let for_machines = TimeSpan(FORECAST_INTERVAL_MS_PER_MACHINE * machines as i64);
        now - self.last_forecast_at >= FORECAST_INTERVAL + for_machines
    }

    /// Takes over what a forecast says; the effects request the machines, as far as the cloud's rate allows.
    #[must_use]
    fn apply_forecast(
        &mut self,
        now: Instant,
        initial_token: FencingToken,
        forecast: ForecastResult,
    ) -> Vec<Effect> {
        self.last_forecast_at = now;
        self.spare_machines = forecast.spare;
        let mut effects = Vec::new();
        for (offer, mut count) in forecast.scale_out {
            while count > 0 && self.api_calls.try_take(now, 1.0) {
                let part = count.min(MAX_MACHINES_PER_REQUEST);
                let offer = offer.clone();
                effects.push(self.requests.open(now, initial_token, offer, part));
                count -= part;
            }
        }
        effects
    }

    /// Repeats the requests whose outcome is unclear, as far as the cloud's rate allows.
    #[must_use]
    pub(super) fn repeat_unclear_requests(&mut self, now: Instant) -> Vec<Effect> {
        self.requests.abandon_expired(now);
        let mut effects = Vec::new();
        for key in self.requests.due(now) {
            if !self.api_calls.try_take(now, 1.0) {
                break;
            }
            effects.extend(self.requests.repeat(&key));
        }
        effects
    }

    /// Whether the cloud executed a scale-out request is not known.
    pub(crate) fn scale_out_unconfirmed(&mut self, now: Instant, key: &IdempotencyKey) {
        self.requests.retry_later(now, key);
    }

    /// Notes the answer to a request; None if the request was abandoned or answered before.
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
            self.offer_backoff.note_refused(&request.offer, now);
        } else {
            self.offer_backoff.note_granted(&request.offer);
        }
        Some(GrantedMachines {
            machine_ids,
            offer: request.offer,
            requested_at: request.requested_at,
        })
    }

    /// The cheapest offer for so many tasks of a job, among those not refused lately; among equals in
    /// the zone with the fewest machines.
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

    /// Whether a machine for the job is coming or may yet be rented.
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

/// How good an offer is; the least one is taken.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct OfferRank {
    /// The machine's price divided by the number of tasks that fit on it.
    price_per_task: f64,
    /// Among equally cheap offers machines are spread over the zones.
    machines_in_zone: usize,
}

/// What the cloud offers of a machine type: in each zone as a spot instance, then as an ordinary one.
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
