//! The reasons why jobs wait, logged for operators.

use crate::coordination::jobs::job::Job;
use crate::coordination::{ClusterView, Scheduler};
use crate::ids::JobId;
use crate::protocol::users::Shape;
use crate::time::Instant;
use std::collections::BTreeMap;

/// Why a job is waiting; one reason even if several apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingReason {
    /// An upstream job is not done.
    UpstreamJobs,
    /// The job failed on several machines: it backs off, or runs one task at a time.
    RetryBackoff,
    /// The job's team is at its limit.
    TeamLimit,
    /// The job is a gang, and members of its last attempt may still be on machines.
    LastGangAttempt,
    /// The job has zone affinity, but its tasks may be in several zones; all but one must be proven empty first.
    ConflictingZones,
    /// No suitable machine has enough free capacity.
    FreeCapacity,
}

/// The jobs that are waiting for one reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingJobs {
    /// The number of jobs.
    pub jobs: usize,
    /// The number of pending tasks of these jobs.
    pub tasks: usize,
    /// The job that has waited the longest.
    pub oldest: JobId,
    /// When the oldest job started to wait: at its release, or at its submission if it waits for upstream jobs.
    pub since: Instant,
}

impl PendingJobs {
    fn empty(id: &JobId, job: &Job) -> PendingJobs {
        PendingJobs {
            jobs: 0,
            tasks: 0,
            oldest: id.clone(),
            since: job.ready_at(),
        }
    }

    fn add(&mut self, id: &JobId, job: &Job) {
        self.jobs += 1;
        self.tasks += job.pending().len();
        if job.ready_at() < self.since {
            self.oldest = id.clone();
            self.since = job.ready_at();
        }
    }
}

impl ClusterView<'_> {
    /// Returns the waiting jobs by reason.
    fn pending_jobs(&self) -> BTreeMap<PendingReason, PendingJobs> {
        let mut by_reason: BTreeMap<PendingReason, PendingJobs> = BTreeMap::new();
        for (id, job) in self.jobs.pending().chain(self.jobs.blocked()) {
            let pending = by_reason.entry(self.pending_reason(job));
            pending
                .or_insert_with(|| PendingJobs::empty(id, job))
                .add(id, job);
        }
        by_reason
    }

    fn pending_reason(&self, job: &Job) -> PendingReason {
        if job.is_blocked() {
            return PendingReason::UpstreamJobs;
        }
        if !job.retry().allows_start(self.now) || job.fails_everywhere() {
            return PendingReason::RetryBackoff;
        }
        let is_gang = job.spec().shape == Shape::Gang;
        if is_gang && !job.placements().is_empty() {
            return PendingReason::LastGangAttempt;
        }
        if job.is_in_conflicting_zones() {
            return PendingReason::ConflictingZones;
        }
        let needed = if is_gang {
            job.pending().len() as u32
        } else {
            1
        };
        let headroom = self
            .team_usage
            .headroom(self.policy, job.team(), job.spec());
        if headroom < needed {
            return PendingReason::TeamLimit;
        }
        PendingReason::FreeCapacity
    }
}

impl Scheduler {
    /// Returns the waiting jobs by reason.
    pub fn pending_jobs(&self, now: Instant) -> BTreeMap<PendingReason, PendingJobs> {
        self.view(now).pending_jobs()
    }

    /// Logs the waiting jobs, one line for each reason.
    pub(crate) fn log_pending_jobs(&self, now: Instant) {
        for (reason, pending) in self.pending_jobs(now) {
            tracing::info!(
                ?reason,
                jobs = pending.jobs,
                tasks = pending.tasks,
                oldest = %pending.oldest,
                age_s = (now - pending.since).secs(),
                "jobs pending"
            );
        }
    }
}
