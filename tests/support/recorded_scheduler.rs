//! The decision core with a digest of all that it sends, for tests of the core alone.

use super::wire_digest::WireDigest;
use chalklug::coordination::attempts::reconciliation::HeartbeatOutcome;
use chalklug::coordination::leadership::recovery::{RecoveredState, UnreadableRecord};
use chalklug::coordination::leadership::LeadershipTerm;
use chalklug::coordination::{Effect, Policy, Scheduler};
use chalklug::protocol::workers::WorkerStatus;
use chalklug::time::Instant;
use std::ops::{Deref, DerefMut};
use std::sync::Arc;

/// A core whose steps and answers go into a digest.
pub struct RecordedScheduler {
    core: Scheduler,
    digest: WireDigest,
}

impl RecordedScheduler {
    /// Takes over as `Scheduler::recover` does.
    pub fn recover(
        policy: Arc<Policy>,
        lead: LeadershipTerm,
        now: Instant,
        found: RecoveredState,
    ) -> Result<RecordedScheduler, UnreadableRecord> {
        let core = Scheduler::recover(policy, lead, now, found)?;
        Ok(RecordedScheduler {
            core,
            digest: WireDigest::new(),
        })
    }

    /// One step.
    pub fn step(&mut self, now: Instant) -> Vec<Effect> {
        let effects = self.core.step(now);
        self.digest.effects(now, &effects);
        effects
    }

    /// A worker's check-in.
    #[allow(dead_code, reason = "not every test binary has workers")]
    pub fn heartbeat(&mut self, now: Instant, report: &WorkerStatus) -> HeartbeatOutcome {
        let answer = self.core.heartbeat(now, report);
        let token = self.core.token();
        self.digest.heartbeat_response(now, token, &answer);
        answer
    }
}

impl Deref for RecordedScheduler {
    type Target = Scheduler;
    fn deref(&self) -> &Scheduler {
        &self.core
    }
}

impl DerefMut for RecordedScheduler {
    fn deref_mut(&mut self) -> &mut Scheduler {
        &mut self.core
    }
}
