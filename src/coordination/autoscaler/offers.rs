//! Kinds of machines that the cloud offers, and the backoff of those that it refused.

use crate::coordination::machines::machine::Machine;
use crate::coordination::placement::request::allows_machine_kind;
use crate::ids::{MachineType, Zone};
use crate::protocol::users::JobSpec;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeMap;

/// Backoff after the first refusal of an offer; each further refusal doubles it.
const MIN_REFUSAL_BACKOFF: TimeSpan = TimeSpan(8_000);
/// Longest backoff of an offer.
const MAX_REFUSAL_BACKOFF: TimeSpan = TimeSpan(40_000);

/// A kind of machine that can be rented. The derived order, by the fields in turn, is the order in which offers
/// are requested.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineOffer {
    /// The machine type.
    pub machine_type: MachineType,
    /// The zone that the machine is in.
    pub zone: Zone,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    pub spot: bool,
}

impl MachineOffer {
    /// Returns the offer that a machine was rented under.
    pub fn of(machine: &Machine) -> MachineOffer {
        MachineOffer {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        }
    }

    /// Whether the job's constraints allow this kind of machine. The machine's size is not considered.
    pub fn is_allowed_by(&self, spec: &JobSpec) -> bool {
        allows_machine_kind(spec, &self.machine_type, &self.zone, self.spot)
    }
}

/// Offers refused for lack of capacity, with exponential backoff.
#[derive(Debug, Default)]
pub(super) struct OfferBackoff {
    refusals: BTreeMap<MachineOffer, Refusal>,
}

/// The last refusal of an offer.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// The offer is not requested before this time.
    retry_at: Instant,
    /// The backoff that ends at `retry_at`.
    backoff: TimeSpan,
}

impl OfferBackoff {
    /// Whether the offer must not be requested yet.
    pub(super) fn is_backing_off(&self, offer: &MachineOffer, now: Instant) -> bool {
        let refusal = self.refusals.get(offer);
        refusal.is_some_and(|refusal| refusal.retry_at > now)
    }

    /// Records that the cloud granted fewer machines than requested.
    pub(super) fn record_refusal(&mut self, offer: &MachineOffer, now: Instant) {
        let backoff = self
            .refusals
            .get(offer)
            .map_or(MIN_REFUSAL_BACKOFF, |last| {
                TimeSpan(last.backoff.0 * 2).min(MAX_REFUSAL_BACKOFF)
            });
        let retry_at = now + backoff;
        self.refusals
            .insert(offer.clone(), Refusal { retry_at, backoff });
    }

    /// Records that the cloud granted all machines requested, which resets the backoff.
    pub(super) fn record_grant(&mut self, offer: &MachineOffer) {
        self.refusals.remove(offer);
    }
}
