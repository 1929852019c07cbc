//! Scale-out requests that the cloud has not answered yet.

use super::MachineOffer;
use crate::coordination::Effect;
use crate::ids::{FencingToken, IdempotencyKey};
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeMap;

/// A request whose outcome is unclear is repeated after this.
const RETRY_DELAY: TimeSpan = TimeSpan(1_500);
/// A request without a clear answer is abandoned after this: its machines, if any, show up in the
/// cloud's list and by their heartbeats.
const REQUEST_EXPIRY: TimeSpan = TimeSpan(90_000);

/// A request for machines.
#[derive(Debug, Clone)]
pub(crate) struct ScaleOutRequest {
    /// What kind of machine.
    pub(crate) offer: MachineOffer,
    /// How many of them.
    pub(crate) count: u32,
    /// When it was first sent.
    pub(crate) requested_at: Instant,
    state: RequestState,
}

/// What happens to a request next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// It was sent, and its answer is awaited.
    AwaitingAnswer,
    /// Its outcome is unclear: it is repeated then, under the same key.
    RetryAt(Instant),
}

/// All requests without a clear answer, by idempotency key. A key is never used for anything else.
#[derive(Debug, Default)]
pub(super) struct ScaleOutRequests {
    by_key: BTreeMap<IdempotencyKey, ScaleOutRequest>,
    /// The number of the last request in this leadership.
    last_number: u64,
}

impl ScaleOutRequests {
    /// Opens a request under a new key; the effect sends it. `initial_token` is the fencing token that
    /// this leadership began with.
    pub(super) fn open(
        &mut self,
        now: Instant,
        initial_token: FencingToken,
        offer: MachineOffer,
        count: u32,
    ) -> Effect {
        // Unique for ever: tokens are, and so is the number within one leadership.
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
            state: RequestState::AwaitingAnswer,
        };
        let effect = request.effect(&key);
        self.by_key.insert(key, request);
        effect
    }

    /// Drops requests that have had no clear answer for too long.
    pub(super) fn abandon_expired(&mut self, now: Instant) {
        self.by_key
            .retain(|_, request| now - request.requested_at < REQUEST_EXPIRY);
    }

    /// The requests to be repeated now.
    pub(super) fn due(&self, now: Instant) -> Vec<IdempotencyKey> {
        let due = |request: &ScaleOutRequest| match request.state {
            RequestState::AwaitingAnswer => false,
            RequestState::RetryAt(at) => at <= now,
        };
        self.by_key
            .iter()
            .filter(|(_, request)| due(request))
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Repeats a request; the effect sends it.
    pub(super) fn repeat(&mut self, key: &IdempotencyKey) -> Option<Effect> {
        let request = self.by_key.get_mut(key)?;
        request.state = RequestState::AwaitingAnswer;
        Some(request.effect(key))
    }

    /// Whether the request was executed is not known: it is repeated a little later.
    pub(super) fn retry_later(&mut self, now: Instant, key: &IdempotencyKey) {
        if let Some(request) = self.by_key.get_mut(key) {
            request.state = RequestState::RetryAt(now + RETRY_DELAY);
        }
    }

    /// The request was answered: it is taken out, unless it was abandoned before.
    pub(super) fn close(&mut self, key: &IdempotencyKey) -> Option<ScaleOutRequest> {
        self.by_key.remove(key)
    }

    /// The requests, in the order of their keys.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ScaleOutRequest> {
        self.by_key.values()
    }

    /// How many requests there are.
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
