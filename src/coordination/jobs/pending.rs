//! Why jobs wait, for the log: an operator who sees pending work must not have to guess.

use crate::coordination::jobs::job::Job;
use crate::coordination::{ClusterView, Scheduler};
use crate::ids::JobId;
use crate::protocol::users::Shape;
use crate::time::Instant;
use std::collections::BTreeMap;

/// What a job with tasks that are placed nowhere waits for: the first of these that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingReason {
    /// A job upstream of it is not done.
    UpstreamJobs,
    /// It failed on several machines: it backs off, or tries one task at a time.
    RetryBackoff,
    /// Its team is at its limit.
    TeamLimit,
    /// It is a gang, and members of its last attempt have not ended everywhere yet.
    LastGangAttempt,
    /// Its tasks have to share a zone and may be in several, until all but one of these are proven empty.
    ConflictingZones,
    /// No machine that fits has free capacity.
    FreeCapacity,
}

/// The jobs that wait for one reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingJobs {
    /// How many jobs.
    pub jobs: usize,
    /// How many pending tasks of theirs.
    pub tasks: usize,
    /// The job that has waited for longest.
    pub oldest: JobId,
    /// Since when it has: its release, or, while it waits for upstream jobs, its submission.
    pub since: Instant,
}

impl PendingJobs {
    fn none(id: &JobId, job: &Job) -> PendingJobs {
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
    /// The jobs that wait, by what they wait for.
    fn pending_jobs(&self) -> BTreeMap<PendingReason, PendingJobs> {
        let mut by_reason: BTreeMap<PendingReason, PendingJobs> = BTreeMap::new();
        for (id, job) in self.jobs.pending().chain(self.jobs.blocked()) {
            let pending = by_reason.entry(self.pending_reason(job));
            pending
                .or_insert_with(|| PendingJobs::none(id, job))
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
    /// The jobs that wait, by what they wait for.
    pub fn pending_jobs(&self, now: Instant) -> BTreeMap<PendingReason, PendingJobs> {
        self.view(now).pending_jobs()
    }

    /// Logs a line for each reason for which jobs wait.
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
