//! A scheduler whose output is recorded in a digest, for tests that run only the scheduler.

use super::wire_digest::WireDigest;
use chalklug::coordination::attempts::reconciliation::HeartbeatOutcome;
use chalklug::coordination::leadership::recovery::{RecoveredState, UnreadableRecord};
use chalklug::coordination::leadership::LeadershipTerm;
use chalklug::coordination::{Effect, Event, Policy, RequestId, Scheduler};
use chalklug::ids::StoreRevision;
use chalklug::protocol::workers::WorkerStatus;
use chalklug::time::Instant;
use std::ops::{Deref, DerefMut};
use std::sync::Arc;

/// A scheduler whose effects and heartbeat responses are added to a digest.
pub struct RecordedScheduler {
    scheduler: Scheduler,
    digest: WireDigest,
}

impl RecordedScheduler {
    /// Creates a new leader's scheduler with [`Scheduler::recover`].
    pub fn recover(
        policy: Arc<Policy>,
        term: LeadershipTerm,
        now: Instant,
        recovered: RecoveredState,
    ) -> Result<RecordedScheduler, UnreadableRecord> {
        let scheduler = Scheduler::recover(policy, term, now, recovered)?;
        Ok(RecordedScheduler {
            scheduler,
            digest: WireDigest::new(),
        })
    }

    /// Runs one step of the scheduler. Returns its effects.
    pub fn step(&mut self, now: Instant) -> Vec<Effect> {
        let effects = self.scheduler.step(now);
        self.digest.add_effects(now, &effects);
        effects
    }

    /// Passes a worker's heartbeat to the scheduler. Returns the response.
    #[allow(dead_code, reason = "not every test binary has workers")]
    pub fn heartbeat(&mut self, now: Instant, status: &WorkerStatus) -> HeartbeatOutcome {
        let outcome = self.scheduler.heartbeat(now, status);
        let token = self.scheduler.token();
        self.digest.add_heartbeat_response(now, token, &outcome);
        outcome
    }
}

impl RecordedScheduler {
    /// Notifies the scheduler that the state store has applied the transaction with this request id.
    pub fn write_applied(
        &mut self,
        now: Instant,
        request_id: RequestId,
        store_revision: StoreRevision,
    ) {
        let event = Event::WriteApplied {
            request_id,
            store_revision,
        };
        self.scheduler.handle(now, event);
    }
}

impl Deref for RecordedScheduler {
    type Target = Scheduler;
    fn deref(&self) -> &Scheduler {
        &self.scheduler
    }
}

impl DerefMut for RecordedScheduler {
    fn deref_mut(&mut self) -> &mut Scheduler {
        &mut self.scheduler
    }
}
