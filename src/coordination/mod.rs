//! The scheduler: a deterministic state machine that turns events and the current time into effects, without I/O,
//! clock, threads or random numbers. The runtime executes the effects, and checks the leader's authority again
//! before each of them.
//!
//! This module has no rules of its own: it dispatches each event to the component concerned, and defines the
//! order of work in a step ([`Scheduler::step`]):
//!
//! 1. once a second, the periodic checks: job releases, suspected machines, aging, image locality;
//! 2. reads of the terminal records that blocked jobs wait for;
//! 3. stops of task attempts that are no longer wanted;
//! 4. if a placement pass is due: the warm pool, placement of pending tasks, preemption, scale-out and scale-in;
//! 5. one transaction to the state store;
//! 6. pushes to workers.
//!
//! A launch is sent, in a push or in a heartbeat response, only after an event has confirmed that its launch
//! intent is written.

pub mod attempts;
pub mod autoscaler;
mod counts;
mod effect;
mod event;
pub mod jobs;
pub mod leadership;
pub mod machines;
pub mod persistence;
pub mod placement;
mod policy;
mod view;

pub use counts::{AttemptCounts, JobTaskCounts, TaskCounts};
pub use effect::{Effect, RequestId, StepDownReason};
pub use event::{Event, KeyReread, OpenJob, ScaleOutAnswer, TerminalRecordRead};
pub use policy::Policy;
pub use view::ClusterView;

use crate::ids::{AttemptId, FencingToken, JobId};
use crate::time::{Instant, TimeSpan};
use attempts::ledger::TeamUsage;
use attempts::WorkQueues;
use autoscaler::Autoscaler;
use jobs::aging::Aging;
use jobs::estimates::RunTimeEstimates;
use jobs::lifecycle::CloseReason;
use jobs::table::JobTable;
use leadership::{Leadership, LeadershipTerm};
use machines::table::MachineTable;
use persistence::Writer;
use placement::PlacementState;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Interval of the checks for state that changes with time alone.
const PERIODIC_CHECK_INTERVAL: TimeSpan = TimeSpan(1000);

/// The state of the scheduler during one leadership term.
pub struct Scheduler {
    pub(crate) policy: Arc<Policy>,
    pub(crate) leadership: Leadership,
    pub(crate) jobs: JobTable,
    pub(crate) machines: MachineTable,
    /// Resource usage by team, maintained by the attempt ledger.
    pub(crate) team_usage: TeamUsage,
    pub(crate) work_queues: WorkQueues,
    pub(crate) placement: PlacementState,
    pub(crate) autoscaler: Autoscaler,
    pub(crate) estimates: RunTimeEstimates,
    pub(crate) aging: Aging,
    pub(crate) writer: Writer,
    /// Planned launches that were dropped because their job no longer allowed them.
    pub(crate) denied_launch_count: u64,
    /// The effects of the current step.
    pub(crate) effects: Vec<Effect>,
    last_request_id: RequestId,
    last_periodic_check_at: Instant,
}

impl Scheduler {
    /// Creates the scheduler of a leadership term that starts now, without any jobs or machines.
    fn new(
        policy: Arc<Policy>,
        term: LeadershipTerm,
        now: Instant,
        view_requested_at: Instant,
        unix_time_at_zero_ms: u64,
    ) -> Scheduler {
        let teams = policy.facts.teams.len();
        Scheduler {
            leadership: Leadership::new(term, now, view_requested_at, unix_time_at_zero_ms),
            jobs: JobTable::new(teams),
            machines: MachineTable::default(),
            team_usage: TeamUsage::new(teams),
            work_queues: WorkQueues::default(),
            placement: PlacementState::new(policy.facts.process_limits.cores),
            autoscaler: Autoscaler::new(policy.facts.cloud.rps),
            estimates: RunTimeEstimates::default(),
            aging: Aging::new(policy.operator.start_target_s),
            writer: Writer::new(&policy.facts.state, now),
            policy,
            denied_launch_count: 0,
            effects: Vec::new(),
            last_request_id: RequestId(0),
            last_periodic_check_at: now,
        }
    }

    /// Returns the current fencing token.
    pub fn token(&self) -> FencingToken {
        self.leadership.token()
    }

    /// Returns the fencing token at the start of the leadership term.
    pub fn initial_token(&self) -> FencingToken {
        self.leadership.initial_token()
    }

    /// Returns a request id that is unique within the leadership term.
    pub(crate) fn next_request_id(&mut self) -> RequestId {
        self.last_request_id.0 += 1;
        self.last_request_id
    }

    /// Returns an attempt id that was never used before, in any leadership term.
    pub fn next_attempt_id(&mut self) -> AttemptId {
        self.leadership.next_attempt_id()
    }

    /// Handles an event: passes it to the component concerned. The decisions that follow from it are made in the
    /// next step.
    pub fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::JobOpened(open_job) => self.job_opened(now, *open_job),
            Event::JobClosed { id } => self.job_closed(now, &id, CloseReason::Unknown),
            Event::JobCancelled { id } => self.job_closed(now, &id, CloseReason::Cancelled),
            Event::ViewRefreshed { requested_at } => self.leadership.view_refreshed(requested_at),
            Event::TerminalRecordsRead(records) => self.terminal_records_read(now, records),
            Event::OpenJobsListed(open_jobs) => self.open_jobs_listed(now, open_jobs),
            Event::PushAnswered {
                machine_id,
                request_id,
                status,
            } => self.push_answered(now, &machine_id, request_id, &status),
            Event::PushFailed {
                machine_id,
                request_id,
                sent,
            } => self.push_failed(now, &machine_id, request_id, sent),
            Event::MachineTypes(machine_types) => {
                self.machines.set_types(machine_types);
                self.placement.request_pass();
            }
            Event::MachinesListed {
                requested_at,
                machines,
            } => self.machines_listed(now, requested_at, machines),
            Event::ScaleOutAnswered {
                idempotency_key,
                answer,
            } => self.scale_out_answered(now, &idempotency_key, answer),
            Event::ScaleOutUnconfirmed { idempotency_key } => {
                self.autoscaler.scale_out_unconfirmed(now, &idempotency_key)
            }
            Event::MachinesTerminated { machine_ids } => {
                self.machines_terminated(now, &machine_ids)
            }
            Event::ScaleInFailed { machine_ids } => self.scale_in_failed(now, &machine_ids),
            Event::WriteApplied {
                request_id,
                store_revision,
            } => self.write_applied(now, request_id, store_revision),
            Event::WriteNotApplied { request_id } => self.write_not_applied(now, request_id),
            Event::WriteRateLimited { request_id, pause } => {
                self.write_rate_limited(now, request_id, pause)
            }
            Event::WriteRejected { request_id } => self.write_rejected(now, request_id),
            Event::WriteUnconfirmed {
                request_id,
                failed_preconditions,
            } => self.write_unconfirmed(now, request_id, &failed_preconditions),
            Event::Reread { request_id, items } => self.reread(now, request_id, items),
        }
    }

    /// Makes all pending decisions and returns their effects. Called soon after events, and at least once a second.
    pub fn step(&mut self, now: Instant) -> Vec<Effect> {
        if now - self.last_periodic_check_at >= PERIODIC_CHECK_INTERVAL {
            self.last_periodic_check_at = now;
            self.run_periodic_checks(now);
        }
        self.read_terminal_records(now);
        self.stop_unwanted_attempts(now);
        if self.placement.start_pass_if_due(now) {
            self.place_and_scale(now);
        }
        self.write_records(now);
        self.send_pushes(now);
        std::mem::take(&mut self.effects)
    }

    /// Checks state that changes with time alone, and state that is too costly to update with every event.
    fn run_periodic_checks(&mut self, now: Instant) {
        self.release_ready_jobs(now);
        self.recheck_machines(now);
        self.aging
            .update_endangered_groups(now, self.jobs.pending().map(|(_, job)| job));
        self.machines.recount_cached_images();
        self.remove_closed_jobs();
        self.log_cluster_state(now);
        self.placement.request_pass();
    }

    /// Places pending tasks, preempts tasks for those that were not placed, and scales the cluster in or out.
    fn place_and_scale(&mut self, now: Instant) {
        self.jobs.refresh_graph();
        self.update_warm_pool(now);
        let unplaced = self.place(now);
        self.preempt(now, &unplaced);
        self.autoscale(now, &unplaced);
    }

    /// Handles the full list of open jobs: a job that is missing from the list is no longer open.
    fn open_jobs_listed(&mut self, now: Instant, open_jobs: Vec<OpenJob>) {
        let id_of = |open_job: &OpenJob| open_job.record.spec.id.clone();
        let listed: BTreeSet<JobId> = open_jobs.iter().map(id_of).collect();
        let closed: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(id, job)| !job.is_closed() && !listed.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in closed {
            self.job_closed(now, &id, CloseReason::Unknown);
        }
        for open_job in open_jobs {
            self.job_opened(now, open_job);
        }
    }

    /// Removes closed jobs without task attempts and without a write in flight.
    fn remove_closed_jobs(&mut self) {
        let removable: Vec<JobId> = self
            .jobs
            .removable()
            .filter(|id| !self.writer.has_job_write_in_flight(id))
            .cloned()
            .collect();
        for id in removable {
            self.jobs.remove(&id);
        }
    }
}
