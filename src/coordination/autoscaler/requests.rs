//! Scale-out requests that the cloud has not answered yet.

use super::MachineOffer;
use crate::coordination::Effect;
use crate::ids::{FencingToken, IdempotencyKey};
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeMap;

/// Delay before a request with an unconfirmed outcome is retried.
const RETRY_DELAY: TimeSpan = TimeSpan(1_500);
/// Age at which an unanswered request is abandoned. If the cloud executed it, its machines show up in the
/// cloud's list and by their heartbeats.
const REQUEST_EXPIRY: TimeSpan = TimeSpan(90_000);

/// A request for machines.
#[derive(Debug, Clone)]
pub(crate) struct ScaleOutRequest {
    /// The kind of machine.
    pub(crate) offer: MachineOffer,
    /// The number of machines.
    pub(crate) count: u32,
    /// When the request was first sent.
    pub(crate) requested_at: Instant,
    state: RequestState,
}

/// Whether a request is in flight or waits for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// The request was sent, and its response is awaited.
    InFlight,
    /// The outcome is unconfirmed: the request is retried at this time, with the same idempotency key.
    RetryAt(Instant),
}

/// All requests in flight or unconfirmed, by idempotency key. A key is never reused for another request.
#[derive(Debug, Default)]
pub(super) struct ScaleOutRequests {
    by_key: BTreeMap<IdempotencyKey, ScaleOutRequest>,
    /// The number of the last request of this leadership term.
    last_number: u64,
}

impl ScaleOutRequests {
    /// Opens a request with a new idempotency key, and returns the effect that sends it. `initial_token` is
    /// the first fencing token of the leadership term.
    pub(super) fn open(
        &mut self,
        now: Instant,
        initial_token: FencingToken,
        offer: MachineOffer,
        count: u32,
    ) -> Effect {
        // Never reused: fencing tokens are unique, and so is the number within a leadership term.
        self.last_number += 1;
        let key = format!("r-{initial_token}-{}", self.last_number);
        let key = IdempotencyKey::from(key.as_str());
        tracing::debug!(
            idempotency_key = %key,
            machine_type = %offer.machine_type,
            zone = %offer.zone,
            spot = offer.spot,
            count,
            "scale-out requested"
        );
        let request = ScaleOutRequest {
            offer,
            count,
            requested_at: now,
            state: RequestState::InFlight,
        };
        let effect = request.effect(&key);
        self.by_key.insert(key, request);
        effect
    }

    /// Drops requests that have been unanswered for [`REQUEST_EXPIRY`].
    pub(super) fn abandon_expired(&mut self, now: Instant) {
        self.by_key
            .retain(|_, request| now - request.requested_at < REQUEST_EXPIRY);
    }

    /// Returns the keys of the requests to retry now.
    pub(super) fn due(&self, now: Instant) -> Vec<IdempotencyKey> {
        let due = |request: &ScaleOutRequest| match request.state {
            RequestState::InFlight => false,
            RequestState::RetryAt(at) => at <= now,
        };
        self.by_key
            .iter()
            .filter(|(_, request)| due(request))
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Retries a request; returns the effect that sends it.
    pub(super) fn retry(&mut self, key: &IdempotencyKey) -> Option<Effect> {
        let request = self.by_key.get_mut(key)?;
        request.state = RequestState::InFlight;
        Some(request.effect(key))
    }

    /// Schedules the retry of a request whose outcome is unconfirmed.
    pub(super) fn retry_later(&mut self, now: Instant, key: &IdempotencyKey) {
        if let Some(request) = self.by_key.get_mut(key) {
            request.state = RequestState::RetryAt(now + RETRY_DELAY);
        }
    }

    /// Removes and returns an answered request; None if it was abandoned before.
    pub(super) fn close(&mut self, key: &IdempotencyKey) -> Option<ScaleOutRequest> {
        self.by_key.remove(key)
    }

    /// Returns the requests in the order of their keys.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ScaleOutRequest> {
        self.by_key.values()
    }

    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }
}

impl ScaleOutRequest {
    fn effect(&self, key: &IdempotencyKey) -> Effect {
        Effect::ScaleOut {
            idempotency_key: key.clone(),
            offer: self.offer.clone(),
            count: self.count,
        }
    }
}
