//! What the cloud offers to rent, and which of it was refused lately.

use crate::coordination::machines::machine::Machine;
use crate::coordination::placement::request::allows_machine_kind;
use crate::ids::{MachineType, Zone};
use crate::protocol::users::JobSpec;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeMap;

/// How long an offer is left alone after its first refusal; each further one doubles it.
const MIN_REFUSAL_BACKOFF: TimeSpan = TimeSpan(8_000);
/// The longest that an offer is left alone after a refusal.
const MAX_REFUSAL_BACKOFF: TimeSpan = TimeSpan(40_000);

/// A kind of machine that can be rented. The order of the fields decides in which order offers are
/// asked for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineOffer {
    /// The machine type.
    pub machine_type: MachineType,
    /// Where the machine is.
    pub zone: Zone,
    /// Whether it is a spot instance, which the cloud may reclaim.
    pub spot: bool,
}

impl MachineOffer {
    /// What a machine was rented as.
    pub fn of(machine: &Machine) -> MachineOffer {
        MachineOffer {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        }
    }

    /// Whether the job's own constraints allow such a machine. Its size is not looked at.
    pub fn is_allowed_by(&self, spec: &JobSpec) -> bool {
        allows_machine_kind(spec, &self.machine_type, &self.zone, self.spot)
    }
}

/// Offers refused for want of capacity, with exponential back-off.
#[derive(Debug, Default)]
pub(super) struct OfferBackoff {
    refusals: BTreeMap<MachineOffer, Refusal>,
}

/// The last refusal of an offer.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// The offer is not asked for before.
    retry_at: Instant,
    /// The back-off that led there.
    backoff: TimeSpan,
}

impl OfferBackoff {
    /// Whether the offer is left alone for now.
    pub(super) fn is_backing_off(&self, offer: &MachineOffer, now: Instant) -> bool {
        let refusal = self.refusals.get(offer);
        refusal.is_some_and(|refusal| refusal.retry_at > now)
    }

    /// The cloud had not all that was asked for.
    pub(super) fn note_refused(&mut self, offer: &MachineOffer, now: Instant) {
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

    /// The cloud had all that was asked for: the next refusal starts over.
    pub(super) fn note_granted(&mut self, offer: &MachineOffer) {
        self.refusals.remove(offer);
    }
}
