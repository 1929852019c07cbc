//! A scheduler with a digest of all that it sends, for tests of the scheduler alone.

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

/// A scheduler whose effects and responses go into a digest.
pub struct RecordedScheduler {
    scheduler: Scheduler,
    digest: WireDigest,
}

impl RecordedScheduler {
    /// A new leader's scheduler, as `Scheduler::recover` makes it.
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

    /// One step.
    pub fn step(&mut self, now: Instant) -> Vec<Effect> {
        let effects = self.scheduler.step(now);
        self.digest.add_effects(now, &effects);
        effects
    }

    /// A worker's heartbeat.
    #[allow(dead_code, reason = "not every test binary has workers")]
    pub fn heartbeat(&mut self, now: Instant, status: &WorkerStatus) -> HeartbeatOutcome {
        let outcome = self.scheduler.heartbeat(now, status);
        let token = self.scheduler.token();
        self.digest.add_heartbeat_response(now, token, &outcome);
        outcome
    }
}

impl RecordedScheduler {
    /// The state store has applied the transaction of that number.
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
