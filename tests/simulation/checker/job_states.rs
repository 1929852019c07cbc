//! Rules on the job phases that users see: accepted jobs stay known, unknown jobs don't appear, no job is
//! done before its tasks, no job changes after its end, and the jobs downstream of a cancelled job are
//! cancelled in time.

use super::Checker;
use crate::simulation::state_store::StateStore;
use chalklug::ids::JobId;
use chalklug::protocol::users::JobPhase;
use chalklug::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// Time after the last fault within which the leader has to write the terminal records of jobs that were
/// cancelled with an upstream job.
const SETTLING_TIME: TimeSpan = TimeSpan(20_000);

impl Checker {
    pub(super) fn check_job_states(&mut self, now: Instant, store: &StateStore) {
        if store.phase(&self.unknown_job).is_some() {
            self.record_violation(now, "invented", self.unknown_job.to_string());
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            match store.phase(&id) {
                Some(phase) => self.check_job_state(now, &id, phase),
                None => self.record_violation(now, "forgotten", id.to_string()),
            }
        }
    }

    fn check_job_state(&mut self, now: Instant, id: &JobId, phase: JobPhase) {
        let completed_tasks = self.completed_tasks.get(id).map_or(0, BTreeSet::len) as u32;
        if phase == JobPhase::Done && completed_tasks < self.jobs[id].tasks {
            self.record_violation(now, "not_done", id.to_string());
        }
        let upstream_cancelled_at = self.upstream_cancelled_at(id);
        if phase == JobPhase::Queued && self.is_orphaned(now, id, upstream_cancelled_at) {
            self.record_violation(now, "orphaned", id.to_string());
        }
        let previous = self.last_phases.insert(id.clone(), phase);
        let was_terminal = matches!(previous, Some(JobPhase::Done | JobPhase::Cancelled));
        let cancelled_by_nobody = phase == JobPhase::Cancelled
            && !self.cancelled_at.contains_key(id)
            && upstream_cancelled_at.is_none();
        if (was_terminal && previous != Some(phase)) || cancelled_by_nobody {
            self.record_violation(now, "went_back", id.to_string());
        }
    }

    /// Whether the terminal record of a job with a cancelled upstream job is overdue. Controllers
    /// derive the phase of such a job from its upstream jobs' records; the leader has to write the
    /// job's own record within `cancel_s`, unless a recent fault may have prevented it.
    fn is_orphaned(
        &self,
        now: Instant,
        id: &JobId,
        upstream_cancelled_at: Option<Instant>,
    ) -> bool {
        let limit = TimeSpan::from_secs(self.facts.workers.cancel_s);
        let settled = now - self.last_fault_at > SETTLING_TIME;
        let since = upstream_cancelled_at.map(|at| at.max(self.accepted_at[id]));
        settled && since.is_some_and(|at| now - at > limit)
    }

    /// Returns the earliest cancellation of a job that the job depends on, directly or transitively.
    fn upstream_cancelled_at(&self, id: &JobId) -> Option<Instant> {
        let mut seen = BTreeSet::new();
        let mut pending: Vec<&JobId> = self.upstream[id].iter().collect();
        let mut earliest: Option<Instant> = None;
        while let Some(ancestor) = pending.pop() {
            if seen.insert(ancestor) {
                let at = self.cancelled_at.get(ancestor).copied();
                earliest = earliest.into_iter().chain(at).min();
                pending.extend(self.upstream.get(ancestor).into_iter().flatten());
            }
        }
        earliest
    }
}
