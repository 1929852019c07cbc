//! Why jobs wait, for the log: an operator who sees work standing must not have to guess.

use crate::coordination::jobs::job::Job;
use crate::coordination::Scheduler;
use crate::ids::JobId;
use crate::protocol::users::Shape;
use crate::time::Instant;
use std::collections::BTreeMap;

/// What a job with tasks that are nowhere waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingReason {
    /// A job that it depends on has not finished.
    Producers,
    /// It has failed on several machines and tries again later, or one task at a time.
    Failures,
    /// Its team is at its limit.
    TeamLimit,
    /// Tasks of its last attempt have not ended everywhere yet.
    LastAttempt,
    /// Room on a machine that fits.
    Room,
}

/// The jobs that wait for one reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingJobs {
    /// How many jobs, and how many of their tasks.
    pub jobs: usize,
    pub tasks: usize,
    /// The one that has waited for longest, and since when: its release, or, while it waits for others,
    /// its submission.
    pub oldest: JobId,
    pub since: Instant,
}

impl Scheduler {
    /// The jobs that wait, by what they wait for.
    pub fn pending_jobs(&self, now: Instant) -> BTreeMap<PendingReason, PendingJobs> {
        let mut by_reason: BTreeMap<PendingReason, PendingJobs> = BTreeMap::new();
        for (id, job) in self.jobs.pending().chain(self.jobs.blocked()) {
            let reason = self.pending_reason(now, job);
            let entry = by_reason.entry(reason).or_insert_with(|| PendingJobs {
                jobs: 0,
                tasks: 0,
                oldest: id.clone(),
                since: job.ready_at(),
            });
            entry.jobs += 1;
            entry.tasks += job.pending().len();
            if job.ready_at() < entry.since {
                entry.oldest = id.clone();
                entry.since = job.ready_at();
            }
        }
        by_reason
    }

    fn pending_reason(&self, now: Instant, job: &Job) -> PendingReason {
        if job.is_blocked() {
            return PendingReason::Producers;
        }
        if !job.retry().allows_start(now) || job.fails_everywhere() {
            return PendingReason::Failures;
        }
        let gang = job.spec().shape == Shape::Gang;
        if gang && !job.placements().is_empty() {
            return PendingReason::LastAttempt;
        }
        let needed = if gang { job.pending().len() as u32 } else { 1 };
        if self
            .team_usage
            .headroom(&self.policy, job.team(), job.spec())
            < needed
        {
            return PendingReason::TeamLimit;
        }
        PendingReason::Room
    }

    /// A line for each reason for which jobs wait.
    pub(crate) fn log_waiting(&self, now: Instant) {
        for (reason, waiting) in self.pending_jobs(now) {
            tracing::info!(
                ?reason,
                jobs = waiting.jobs,
                tasks = waiting.tasks,
                oldest = %waiting.oldest,
                age_s = (now - waiting.since).secs(),
                "waiting"
            );
        }
    }
}
