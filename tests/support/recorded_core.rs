//! The decision core with a digest of all that it sends, for tests of the core alone.

use super::wire_digest::WireDigest;
use chalklug::coordination::leadership::Lead;
use chalklug::coordination::recovery::{Inheritance, Unreadable};
use chalklug::coordination::worker_sessions::CheckInAnswer;
use chalklug::coordination::{Core, Effect, Policy};
use chalklug::ids::Millis;
use chalklug::protocol::workers::Report;
use std::ops::{Deref, DerefMut};
use std::sync::Arc;

/// A core whose steps and answers go into a digest.
pub struct RecordedCore {
    core: Core,
    digest: WireDigest,
}

impl RecordedCore {
    /// Takes over as `Core::take_over` does.
    pub fn take_over(
        policy: Arc<Policy>,
        lead: Lead,
        now: Millis,
        found: Inheritance,
    ) -> Result<RecordedCore, Unreadable> {
        let core = Core::take_over(policy, lead, now, found)?;
        Ok(RecordedCore {
            core,
            digest: WireDigest::new(),
        })
    }

    /// One step.
    pub fn step(&mut self, now: Millis) -> Vec<Effect> {
        let effects = self.core.step(now);
        self.digest.effects(now, &effects);
        effects
    }

    /// A worker's check-in.
    pub fn check_in(&mut self, now: Millis, report: &Report) -> CheckInAnswer {
        let answer = self.core.check_in(now, report);
        let token = self.core.token();
        self.digest.check_in_answer(now, token, &answer);
        answer
    }
}

impl Deref for RecordedCore {
    type Target = Core;
    fn deref(&self) -> &Core {
        &self.core
    }
}

impl DerefMut for RecordedCore {
    fn deref_mut(&mut self) -> &mut Core {
        &mut self.core
    }
}
