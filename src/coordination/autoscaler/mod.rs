//! The autoscaler decides which machines to rent and which to terminate.
//!
//! It owns the scale-out requests in flight, the backoff of refused offers, the arrival rates of the job
//! classes, the warm pool and the result of the last forecast. The machines themselves, and the task attempts
//! on them, belong to the machine table and the ledger of task attempts. A machine is removed only once
//! the cloud has confirmed its termination.

pub mod arrivals;
mod forecast;
pub mod hints;
mod inventory;
mod offers;
mod report;
mod requests;
mod scale_in;
mod scale_out;
mod suspected_zones;
mod view;
mod warm_pool;

pub use offers::MachineOffer;

use crate::coordination::placement::UnplacedTasks;
use crate::coordination::Scheduler;
use crate::ids::MachineId;
use crate::time::{Instant, TimeSpan};
use crate::transport::token_bucket::TokenBucket;
use arrivals::ArrivalRates;
use offers::OfferBackoff;
use requests::ScaleOutRequests;
use std::collections::BTreeSet;
use suspected_zones::SuspectedZones;
use warm_pool::WarmPool;

/// Share of the cloud's rate limit for scale-out and scale-in requests; the rest is for the machine list.
const API_RATE_SHARE: f64 = 0.7;
/// Burst that the cloud's rate limit allows, in seconds' worth of requests.
const API_BURST_SECS: f64 = 2.0;
/// Interval between two checks for machines to terminate.
const SCALE_IN_INTERVAL: TimeSpan = TimeSpan(500);

/// The state of the autoscaler.
#[derive(Debug)]
pub struct Autoscaler {
    /// Requests that the cloud has not answered yet.
    requests: ScaleOutRequests,
    /// Backoff of offers that were refused for lack of capacity.
    offer_backoff: OfferBackoff,
    /// Idle machines to which the last forecast assigned no task.
    spare_machines: BTreeSet<MachineId>,
    /// No scale-in request is sent before this time; set when one fails.
    scale_in_not_before: Instant,
    /// Zones that are suspected of being cut off by a network failure.
    suspected_zones: SuspectedZones,
    /// Arrival rates of the job classes.
    arrivals: ArrivalRates,
    /// Machines kept ready, each for one job class.
    warm_pool: WarmPool,
    /// When the last forecast was made.
    last_forecast_at: Instant,
    /// The number of starts that the last forecast simulated.
    last_forecast_starts: usize,
    /// When machines were last checked for scale-in.
    last_scale_in_at: Instant,
    /// When the state of the cluster was last logged.
    last_logged_at: Instant,
    /// Rate limiter of scale-out and scale-in requests.
    api_calls: TokenBucket,
}

impl Autoscaler {
    /// Creates an autoscaler without requests or observations. `cloud_rps` is the cloud's rate limit, in requests
    /// per second.
    pub fn new(cloud_rps: f64) -> Autoscaler {
        let rate = cloud_rps * API_RATE_SHARE;
        let burst = cloud_rps * API_BURST_SECS * API_RATE_SHARE;
        Autoscaler {
            requests: ScaleOutRequests::default(),
            offer_backoff: OfferBackoff::default(),
            spare_machines: BTreeSet::new(),
            scale_in_not_before: Instant::ZERO,
            suspected_zones: SuspectedZones::default(),
            arrivals: ArrivalRates::default(),
            warm_pool: WarmPool::default(),
            last_forecast_at: Instant::LONG_AGO,
            last_forecast_starts: 0,
            last_scale_in_at: Instant::LONG_AGO,
            last_logged_at: Instant::LONG_AGO,
            api_calls: TokenBucket::new(rate, burst),
        }
    }

    pub(crate) fn warm_pool(&self) -> &WarmPool {
        &self.warm_pool
    }

    pub(super) fn last_forecast_starts(&self) -> usize {
        self.last_forecast_starts
    }
}

impl Scheduler {
    /// Rents missing machines, and terminates those that are lost or not needed.
    pub(crate) fn autoscale(&mut self, now: Instant, unplaced: &[UnplacedTasks]) {
        let retries = self.autoscaler.retry_unconfirmed_requests(now);
        self.effects.extend(retries);
        self.scale_out(now, unplaced);
        if now - self.autoscaler.last_scale_in_at >= SCALE_IN_INTERVAL {
            self.autoscaler.last_scale_in_at = now;
            self.scale_in(now);
        }
    }
}
