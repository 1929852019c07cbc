//! A job as the leader holds it.

use super::retry::RetryBackoff;
use super::run_times::TaskRunTimes;
use super::tasks::TaskStates;
use super::tasks_by_zone::TasksByZone;
use crate::ids::{KeyRevision, MachineId, TeamIndex, Zone};
use crate::protocol::users::{JobSpec, Shape};
use crate::resources::Resources;
use crate::storage::records::CompletedTasks;
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// How far a job has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobState {
    /// Waits for upstream jobs to be done. Until then it counts for nothing but its deadline.
    Blocked,
    /// All upstream jobs are done: its tasks may be placed.
    Released,
    /// Cancelled or finished: nothing may start, what runs is stopped.
    Closed,
}

/// A job that the leader holds: open, or closed but with task attempts not yet proven gone.
///
/// Changed only through [`JobTable::update`](super::table::JobTable::update) and the events of the table.
#[derive(Debug)]
pub struct Job {
    spec: JobSpec,
    team: Option<TeamIndex>,
    open_record_revision: KeyRevision,
    submitted_at: Instant,
    ready_at: Instant,
    dependency_pages: u32,
    state: JobState,
    ancestor_cancelled: bool,
    tasks: TaskStates,
    attempt_count: u32,
    running_count: u32,
    has_run: bool,
    run_times: TaskRunTimes,
    gang_attempt_failed: bool,
    image_wait_since: Option<Instant>,
    retry: RetryBackoff,
}

impl Job {
    /// A job of which nothing has happened yet.
    pub fn new(
        spec: JobSpec,
        team: Option<TeamIndex>,
        open_record_revision: KeyRevision,
        submitted_at: Instant,
        dependency_pages: u32,
    ) -> Job {
        Job {
            team,
            open_record_revision,
            submitted_at,
            ready_at: submitted_at,
            dependency_pages,
            state: JobState::Blocked,
            ancestor_cancelled: false,
            tasks: TaskStates::all_pending(spec.tasks),
            attempt_count: 0,
            running_count: 0,
            has_run: false,
            run_times: TaskRunTimes::default(),
            gang_attempt_failed: false,
            image_wait_since: None,
            retry: RetryBackoff::default(),
            spec,
        }
    }

    /// What its user asked for.
    pub fn spec(&self) -> &JobSpec {
        &self.spec
    }

    /// Its team, if the settings know it.
    pub fn team(&self) -> Option<TeamIndex> {
        self.team
    }

    /// The revision of its open record: the precondition of every write on the job's behalf.
    pub fn open_record_revision(&self) -> KeyRevision {
        self.open_record_revision
    }

    /// When it was accepted, on the leader's clock: deadlines count from here.
    pub fn submitted_at(&self) -> Instant {
        self.submitted_at
    }

    /// When it could first have run: when it was accepted, or the last upstream job was done. All times but
    /// its deadline count from here.
    pub fn ready_at(&self) -> Instant {
        self.ready_at
    }

    /// How many pages on the state service name upstream jobs of it.
    pub fn dependency_pages(&self) -> u32 {
        self.dependency_pages
    }

    /// Whether it is cancelled or finished: nothing may start, what runs is stopped.
    pub fn is_closed(&self) -> bool {
        self.state == JobState::Closed
    }

    /// Whether it is open and waits for upstream jobs to be done.
    pub fn is_blocked(&self) -> bool {
        self.state == JobState::Blocked
    }

    /// Whether it is open and all upstream jobs are done.
    pub fn is_released(&self) -> bool {
        self.state == JobState::Released
    }

    /// Whether a job upstream of it, directly or through others, is cancelled: it is to be cancelled too.
    pub fn is_ancestor_cancelled(&self) -> bool {
        self.ancestor_cancelled
    }

    /// Its completed tasks.
    pub fn completed(&self) -> &CompletedTasks {
        self.tasks.completed()
    }

    /// Completed tasks of which the state service does not know yet.
    pub fn unpersisted(&self) -> &BTreeSet<u32> {
        self.tasks.unpersisted()
    }

    /// Tasks that are neither completed nor on any machine.
    pub fn pending(&self) -> &BTreeSet<u32> {
        self.tasks.pending()
    }

    /// The machines on which each task may be: more than one only after a failover.
    pub fn placements(&self) -> &BTreeMap<u32, Vec<MachineId>> {
        self.tasks.placements()
    }

    /// How many of its tasks may be in each zone.
    pub fn tasks_by_zone(&self) -> &TasksByZone {
        self.tasks.by_zone()
    }

    /// Whether all its tasks have to be in one zone.
    pub fn has_affinity(&self) -> bool {
        self.spec.zone_affinity && self.spec.tasks > 1
    }

    /// Whether its tasks have to share a zone and may be in several: nothing of it can start until all but one
    /// of these are proven empty.
    pub fn is_in_conflicting_zones(&self) -> bool {
        self.has_affinity() && self.tasks_by_zone().zones().len() > 1
    }

    /// How many attempts of its tasks are in the ledger.
    pub fn attempt_count(&self) -> u32 {
        self.attempt_count
    }

    /// How many of its attempts were seen running and have not ended since.
    pub fn running_count(&self) -> u32 {
        self.running_count
    }

    /// Whether a task of it has run, or may have under a former leader.
    pub fn has_run(&self) -> bool {
        self.has_run
    }

    /// How long its completed tasks ran.
    pub fn run_times(&self) -> &TaskRunTimes {
        &self.run_times
    }

    /// Whether a member of its last gang attempt gave up waiting for the others.
    pub fn gang_attempt_failed(&self) -> bool {
        self.gang_attempt_failed
    }

    /// Since when it has left free capacity to other jobs, for machines that have its image.
    pub fn image_wait_since(&self) -> Option<Instant> {
        self.image_wait_since
    }

    /// Where its tasks failed, and when it may be placed again.
    pub fn retry(&self) -> &RetryBackoff {
        &self.retry
    }

    /// Whether every task is completed. A service never is.
    pub fn is_complete(&self) -> bool {
        self.spec.shape != Shape::Service && self.completed().count() >= self.spec.tasks
    }

    /// Whether it has failed on several machines and never succeeded: most likely it fails on all.
    pub fn fails_everywhere(&self) -> bool {
        self.retry.failed_on_several() && self.completed().count() == 0
    }

    /// Whether a task still has to run.
    pub fn needs_run(&self, index: u32) -> bool {
        !self.is_closed() && index < self.spec.tasks && !self.completed().contains(index)
    }

    /// What its uncompleted tasks take together.
    pub fn remaining_request(&self) -> Resources {
        let completed = self.completed().count().min(self.spec.tasks);
        Resources::of(&self.spec).times(f64::from(self.spec.tasks - completed))
    }

    /// Whether its tasks can only run all at once: a gang of several of which none has completed.
    pub fn needs_gang_scheduling(&self) -> bool {
        self.spec.shape == Shape::Gang && self.spec.tasks > 1 && self.completed().count() == 0
    }

    /// Its open record was found at another revision.
    pub fn set_open_record_revision(&mut self, revision: KeyRevision) {
        self.open_record_revision = revision;
    }

    /// All upstream jobs are done, the last of them at that time if there was one.
    pub(super) fn release(&mut self, now: Instant, last_upstream_done_at: Option<Instant>) {
        if self.is_blocked() {
            self.state = JobState::Released;
        }
        if let Some(done_at) = last_upstream_done_at {
            self.ready_at = done_at.min(now).max(self.submitted_at);
        }
    }

    /// A job upstream of it is cancelled.
    pub(super) fn cancel_with_ancestor(&mut self) {
        self.ancestor_cancelled = true;
    }

    /// It is cancelled or finished: none of its tasks may start any more.
    pub(super) fn close(&mut self) {
        self.state = JobState::Closed;
        self.tasks.drop_pending();
    }

    /// A task may be on that machine, in that zone, from now on.
    pub fn task_placed(&mut self, index: u32, machine_id: &MachineId, zone: &Zone) {
        self.tasks.placed(index, machine_id, zone);
    }

    /// A task is not on that machine, in that zone, any more: it is pending again if it still has to run.
    pub fn task_left_machine(&mut self, index: u32, machine_id: &MachineId, zone: &Zone) {
        self.tasks.left_machine(index, machine_id, zone);
        if self.needs_run(index) {
            self.tasks.requeue(index);
        }
    }

    /// A task is completed. Without effect on a closed job.
    pub fn task_completed(&mut self, index: u32) {
        if !self.is_closed() && index < self.spec.tasks {
            self.tasks.complete(index);
        }
    }

    /// The state service knows that these tasks are completed.
    pub fn progress_persisted(&mut self, indices: &BTreeSet<u32>) {
        self.tasks.persisted(indices);
    }

    /// Takes in a progress record: tasks that were completed under a former leader.
    pub fn load_progress(&mut self, chunk: u32, text: &str) {
        self.tasks.load_progress(chunk, text);
        self.has_run |= self.completed().count() > 0;
    }

    /// An attempt of a task is in the ledger.
    pub fn attempt_added(&mut self, runs: bool) {
        self.attempt_count += 1;
        self.running_count += u32::from(runs);
    }

    /// An attempt of a task is off the ledger.
    pub fn attempt_removed(&mut self, runs: bool) {
        self.attempt_count = self.attempt_count.saturating_sub(1);
        self.running_count = self.running_count.saturating_sub(u32::from(runs));
    }

    /// An attempt began to run. True if it is the first of the job that does.
    pub fn attempt_started(&mut self) -> bool {
        self.running_count += 1;
        !std::mem::replace(&mut self.has_run, true)
    }

    /// An attempt that ran has ended.
    pub fn attempt_stopped_running(&mut self) {
        self.running_count = self.running_count.saturating_sub(1);
    }

    /// A completed task ran for so many seconds.
    pub fn run_time_measured(&mut self, run_time_s: f64) {
        self.run_times.add(run_time_s);
    }

    /// A task ended in an error on that machine.
    pub fn task_failed(&mut self, now: Instant, machine_id: &MachineId) {
        self.retry.task_failed(now, machine_id);
    }

    /// Nothing of it is to be placed before that time.
    pub fn postpone(&mut self, until: Instant) {
        self.retry.postpone(until);
    }

    /// A member of a gang gave up waiting for the others.
    pub fn gang_member_timed_out(&mut self) {
        self.gang_attempt_failed = true;
    }

    /// Tasks of it were placed: a new gang attempt, if it is a gang.
    pub fn gang_attempt_started(&mut self) {
        self.gang_attempt_failed = false;
    }

    /// It leaves free capacity to other jobs, for machines that have its image.
    pub fn image_wait_started(&mut self, now: Instant) {
        self.image_wait_since.get_or_insert(now);
    }

    /// Tasks of it were placed on machines that have its image.
    pub fn image_wait_ended(&mut self) {
        self.image_wait_since = None;
    }
}
