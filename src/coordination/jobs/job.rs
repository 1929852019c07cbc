//! A job as tracked by the leader.

use super::retry::RetryBackoff;
use super::run_times::TaskRunTimes;
use super::task_set::TaskSet;
use super::tasks::TaskStates;
use super::tasks_by_zone::TasksByZone;
use crate::ids::{KeyRevision, MachineId, TeamIndex, Zone};
use crate::protocol::users::{JobSpec, Shape};
use crate::resources::Resources;
use crate::storage::records::CompletedTasks;
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// The lifecycle state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobState {
    /// Waits for upstream jobs. Of all times, only the deadline counts from before the release.
    Blocked,
    /// All upstream jobs are done: the tasks may be placed.
    Released,
    /// Cancelled or finished: no task may start, and running tasks are stopped.
    Closed,
}

/// A job that the leader tracks: an open job, or a closed one until all its task attempts are removed.
///
/// Jobs are changed only through the job table, mostly by [`JobTable::update`](super::table::JobTable::update).
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
    /// Creates a blocked job with all its tasks pending.
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

    /// Returns the user's job specification.
    pub fn spec(&self) -> &JobSpec {
        &self.spec
    }

    /// Returns the job's team, if it is in the settings.
    pub fn team(&self) -> Option<TeamIndex> {
        self.team
    }

    /// Returns the revision of the open record, which is a precondition of every write for the job.
    pub fn open_record_revision(&self) -> KeyRevision {
        self.open_record_revision
    }

    /// Returns when the job was accepted, on the leader's clock; deadlines count from this time.
    pub fn submitted_at(&self) -> Instant {
        self.submitted_at
    }

    /// Returns when the job became ready to run: when it was accepted or, if later, when its last upstream job was
    /// done. All times but the deadline count from this time.
    pub fn ready_at(&self) -> Instant {
        self.ready_at
    }

    /// Returns the number of pages in the state store that list the job's upstream jobs.
    pub fn dependency_pages(&self) -> u32 {
        self.dependency_pages
    }

    /// Whether the job is cancelled or finished.
    pub fn is_closed(&self) -> bool {
        self.state == JobState::Closed
    }

    /// Whether the job is open and waits for upstream jobs.
    pub fn is_blocked(&self) -> bool {
        self.state == JobState::Blocked
    }

    /// Whether the job is open and all its upstream jobs are done.
    pub fn is_released(&self) -> bool {
        self.state == JobState::Released
    }

    /// Whether a direct or indirect upstream job is cancelled, so that this job has to be cancelled too.
    pub fn is_ancestor_cancelled(&self) -> bool {
        self.ancestor_cancelled
    }

    /// Returns the completed tasks.
    pub fn completed(&self) -> &CompletedTasks {
        self.tasks.completed()
    }

    /// Returns the completed tasks whose completion is not yet persisted in the state store.
    pub fn unpersisted(&self) -> &BTreeSet<u32> {
        self.tasks.unpersisted()
    }

    /// Returns the tasks that are neither completed nor placed.
    pub fn pending(&self) -> &TaskSet {
        self.tasks.pending()
    }

    /// Returns the machines on which each task may be; more than one only after a failover.
    pub fn placements(&self) -> &BTreeMap<u32, Vec<MachineId>> {
        self.tasks.placements()
    }

    /// Returns the machines on which any task may be, each once.
    pub fn placement_machines(&self) -> BTreeSet<&MachineId> {
        self.placements().values().flatten().collect()
    }

    /// Returns the number of tasks that may be in each zone.
    pub fn tasks_by_zone(&self) -> &TasksByZone {
        self.tasks.by_zone()
    }

    /// Whether all tasks of the job have to be in one zone.
    pub fn has_affinity(&self) -> bool {
        self.spec.zone_affinity && self.spec.tasks > 1
    }

    /// Whether the job has zone affinity but its tasks may be in several zones. No task can start until all but one
    /// of these zones are proven empty.
    pub fn is_in_conflicting_zones(&self) -> bool {
        self.has_affinity() && self.tasks_by_zone().zones().len() > 1
    }

    /// Returns the number of task attempts in the ledger.
    pub fn attempt_count(&self) -> u32 {
        self.attempt_count
    }

    /// Returns the number of task attempts reported as running that have not ended since.
    pub fn running_count(&self) -> u32 {
        self.running_count
    }

    /// Whether a task of the job has run, possibly under a former leader.
    pub fn has_run(&self) -> bool {
        self.has_run
    }

    /// Returns the run times of the completed tasks.
    pub fn run_times(&self) -> &TaskRunTimes {
        &self.run_times
    }

    /// Whether a member of the last gang attempt timed out waiting for the other members.
    pub fn gang_attempt_failed(&self) -> bool {
        self.gang_attempt_failed
    }

    /// Returns when the job started to wait for machines with its image cached, leaving free capacity to other jobs.
    pub fn image_wait_since(&self) -> Option<Instant> {
        self.image_wait_since
    }

    /// Returns the retry backoff: where tasks failed, and when the job may be placed again.
    pub fn retry(&self) -> &RetryBackoff {
        &self.retry
    }

    /// Whether all tasks are completed; never true for a service.
    pub fn is_complete(&self) -> bool {
        self.spec.shape != Shape::Service && self.completed().count() >= self.spec.tasks
    }

    /// Whether the job has failed on several machines and completed no task, so that it probably fails everywhere.
    pub fn fails_everywhere(&self) -> bool {
        self.retry.failed_on_several() && self.completed().count() == 0
    }

    /// Whether the task still has to run.
    pub fn needs_run(&self, index: u32) -> bool {
        !self.is_closed() && index < self.spec.tasks && !self.completed().contains(index)
    }

    /// Returns the total resource request of the tasks that are not completed.
    pub fn remaining_request(&self) -> Resources {
        let completed = self.completed().count().min(self.spec.tasks);
        Resources::of(&self.spec).times(f64::from(self.spec.tasks - completed))
    }

    /// Whether all tasks have to be placed at once: the job is a gang of several tasks, none of them completed.
    pub fn needs_gang_scheduling(&self) -> bool {
        self.spec.shape == Shape::Gang && self.spec.tasks > 1 && self.completed().count() == 0
    }

    /// Updates the revision of the open record.
    pub fn set_open_record_revision(&mut self, revision: KeyRevision) {
        self.open_record_revision = revision;
    }

    /// Releases the job, because all upstream jobs are done, the last of them at `last_upstream_done_at`.
    pub(super) fn release(&mut self, now: Instant, last_upstream_done_at: Option<Instant>) {
        if self.is_blocked() {
            self.state = JobState::Released;
        }
        if let Some(done_at) = last_upstream_done_at {
            self.ready_at = done_at.min(now).max(self.submitted_at);
        }
    }

    /// Records that an upstream job is cancelled.
    pub(super) fn cancel_with_ancestor(&mut self) {
        self.ancestor_cancelled = true;
    }

    /// Closes the job, so that none of its tasks may start any more.
    pub(super) fn close(&mut self) {
        self.state = JobState::Closed;
        self.tasks.drop_pending();
    }

    /// Records that a task may be on a machine in the given zone.
    pub fn task_placed(&mut self, index: u32, machine_id: &MachineId, zone: &Zone) {
        self.tasks.placed(index, machine_id, zone);
    }

    /// Records that a task is no longer on a machine in the given zone. The task becomes pending if it still has to
    /// run.
    pub fn task_left_machine(&mut self, index: u32, machine_id: &MachineId, zone: &Zone) {
        self.tasks.left_machine(index, machine_id, zone);
        if self.needs_run(index) {
            self.tasks.requeue(index);
        }
    }

    /// Marks a task as completed. Has no effect on a closed job.
    pub fn task_completed(&mut self, index: u32) {
        if !self.is_closed() && index < self.spec.tasks {
            self.tasks.complete(index);
        }
    }

    /// Records that the completion of these tasks is persisted.
    pub fn progress_persisted(&mut self, indices: &BTreeSet<u32>) {
        self.tasks.persisted(indices);
    }

    /// Loads a chunk of the progress record: tasks completed under a former leader.
    pub fn load_progress(&mut self, chunk: u32, text: &str) {
        self.tasks.load_progress(chunk, text);
        self.has_run |= self.completed().count() > 0;
    }

    /// Counts a task attempt that was inserted into the ledger.
    pub fn attempt_added(&mut self, is_running: bool) {
        self.attempt_count += 1;
        self.running_count += u32::from(is_running);
    }

    /// Subtracts a task attempt that was removed from the ledger.
    pub fn attempt_removed(&mut self, is_running: bool) {
        self.attempt_count = self.attempt_count.saturating_sub(1);
        self.running_count = self.running_count.saturating_sub(u32::from(is_running));
    }

    /// Records that a task attempt started to run. Returns whether it is the first of the job to do so.
    pub fn attempt_started(&mut self) -> bool {
        self.running_count += 1;
        !std::mem::replace(&mut self.has_run, true)
    }

    /// Records that a running task attempt has ended.
    pub fn attempt_stopped_running(&mut self) {
        self.running_count = self.running_count.saturating_sub(1);
    }

    /// Records the run time of a completed task, in seconds.
    pub fn run_time_measured(&mut self, run_time_s: f64) {
        self.run_times.add(run_time_s);
    }

    /// Records that a task ended in an error on a machine.
    pub fn task_failed(&mut self, now: Instant, machine_id: &MachineId) {
        self.retry.task_failed(now, machine_id);
    }

    /// Delays placement of the job until at least `until`.
    pub fn postpone(&mut self, until: Instant) {
        self.retry.postpone(until);
    }

    /// Records that a gang member timed out waiting for the other members.
    pub fn gang_member_timed_out(&mut self) {
        self.gang_attempt_failed = true;
    }

    /// Records that tasks of the job were placed, which starts a new attempt of a gang.
    pub fn gang_attempt_started(&mut self) {
        self.gang_attempt_failed = false;
    }

    /// Records that the job waits for machines with its image cached, leaving free capacity to other jobs.
    pub fn image_wait_started(&mut self, now: Instant) {
        self.image_wait_since.get_or_insert(now);
    }

    /// Records that tasks of the job were placed on machines with its image cached.
    pub fn image_wait_ended(&mut self) {
        self.image_wait_since = None;
    }
}
