//! The autoscaler: how many machines there are, and of what kind.
//!
//! It owns the scale-out requests under way, the offers that were refused, the arrival rates of the job
//! classes, the warm pool and what the last forecast said. It decides what to rent and what to give back;
//! the machines themselves, and what runs on them, belong to the machine table and the ledger of task
//! attempts. A machine counts as gone only once the cloud has confirmed that it is terminated.

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

/// The share of the cloud's rate that scale-out and scale-in requests use; the machine list takes the rest.
const API_RATE_SHARE: f64 = 0.7;
/// The cloud allows bursts of so many seconds' worth of requests.
const API_BURST_SECS: f64 = 2.0;
/// What to give back is looked for this often.
const SCALE_IN_INTERVAL: TimeSpan = TimeSpan(500);

/// The state of the autoscaler.
#[derive(Debug)]
pub struct Autoscaler {
    /// Requests that the cloud has not answered yet.
    requests: ScaleOutRequests,
    /// Offers that were refused for want of capacity.
    offer_backoff: OfferBackoff,
    /// Idle machines that the last forecast had no use for.
    spare_machines: BTreeSet<MachineId>,
    /// A scale-in request failed: none is sent before.
    scale_in_not_before: Instant,
    /// Zones that seem to be cut off by the network.
    suspected_zones: SuspectedZones,
    /// Arrivals of each job class.
    arrivals: ArrivalRates,
    /// Machines held ready, each for a job class.
    warm_pool: WarmPool,
    /// When the last forecast was made.
    last_forecast_at: Instant,
    /// When it was last looked what to give back.
    last_scale_in_at: Instant,
    /// When the state of the cluster was last logged.
    last_logged_at: Instant,
    /// The cloud's rate, as far as it may be used.
    api_calls: TokenBucket,
}

impl Autoscaler {
    /// Nothing requested or seen yet; `cloud_rps` is the rate of requests that the cloud allows, per second.
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
            last_scale_in_at: Instant::LONG_AGO,
            last_logged_at: Instant::LONG_AGO,
            api_calls: TokenBucket::new(rate, burst),
        }
    }

    /// The machines held ready.
    pub(crate) fn warm_pool(&self) -> &WarmPool {
        &self.warm_pool
    }
}

impl Scheduler {
    /// Requests machines that are missing, and gives back those that are not needed or lost.
    pub(crate) fn autoscale(&mut self, now: Instant, unplaced: &[UnplacedTasks]) {
        let repeated = self.autoscaler.repeat_unclear_requests(now);
        self.effects.extend(repeated);
        self.scale_out(now, unplaced);
        if now - self.autoscaler.last_scale_in_at >= SCALE_IN_INTERVAL {
            self.autoscaler.last_scale_in_at = now;
            self.scale_in(now);
        }
    }
}
